//! The workers as the core knows them, and which of them it holds connections to.
use crate::messages::{AttemptKey, Member, Speech};
use crate::worker::Transport;
use heronslip_policy::{Micros, WorkerState};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Instant;

/// One worker.
pub struct Peer {
    /// What the list tells of it.
    pub member: Member,
    /// When its process started, on the core's clock; 0: long ago.
    pub started_at: Micros,
    /// The way to its address.
    pub transport: Box<dyn Transport>,
    /// To addresses where it stood before: what is out there may still be answered.
    pub former: Vec<Box<dyn Transport>>,
}

impl Peer {
    /// The ways to all its addresses.
    pub fn transports(&mut self) -> impl Iterator<Item = &mut Box<dyn Transport>> {
        self.former.iter_mut().chain([&mut self.transport])
    }

    /// Gives an attempt up, at whichever address it is out.
    pub fn cancel(&mut self, key: AttemptKey) {
        self.transports().for_each(|t| t.cancel_attempt(key));
    }

    /// What is known of it, once it is gone.
    pub fn gone(&self) -> Member {
        Member { state: WorkerState::Gone, ..self.member.clone() }
    }

    /// Whether it is listed at this address.
    pub fn stands_at(&self, address: SocketAddr) -> bool {
        self.member.address == address && self.member.state != WorkerState::Gone
    }

    fn sweep(&mut self) {
        self.transports().for_each(|t| t.sweep());
        self.former.retain(|t| !t.is_idle());
    }

    fn is_idle(&self) -> bool {
        self.former.is_empty() && self.transport.is_idle()
    }

    fn connections(&self) -> usize {
        self.former.iter().chain([&self.transport]).map(|t| t.connections().open).sum()
    }
}

/// All workers, by their names.
///
/// What looks at connections walks those workers only to which there may be any: their number is bounded by the
/// descriptors, that of the listed workers is not.
#[derive(Default)]
pub struct Peers {
    all: BTreeMap<String, Peer>,
    /// Workers that were sent something and not found without a connection since.
    connected: BTreeSet<String>,
    /// Connections, as counted last, and those opened since.
    open: usize,
}

impl Peers {
    /// A worker.
    pub fn get(&self, id: &str) -> Option<&Peer> {
        self.all.get(id)
    }

    /// A worker, to change what is known of it or to take back what is out there.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Peer> {
        self.all.get_mut(id)
    }

    /// A worker to which something is to be sent.
    pub fn reach(&mut self, id: &str) -> Option<&mut Peer> {
        let peer = self.all.get_mut(id)?;
        if !self.connected.contains(id) {
            self.connected.insert(id.to_owned());
        }
        Some(peer)
    }

    /// Puts a worker in; the one of its name that was there before.
    pub fn insert(&mut self, peer: Peer) -> Option<Peer> {
        self.all.insert(peer.member.id.clone(), peer)
    }

    /// All workers, in the order of their names.
    pub fn values(&self) -> impl Iterator<Item = &Peer> {
        self.all.values()
    }

    /// Workers known.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Connections to workers that are open or being opened; maybe more, for the time between two pulses.
    pub fn connections(&self) -> usize {
        self.open
    }

    /// One more connection is about to be opened.
    pub fn opens(&mut self) {
        self.open += 1;
    }

    /// Closes so many connections, those first that have been without an exchange for longest; how many it were.
    pub fn close_idle(&mut self, most: usize) -> usize {
        let idle = |id: &String| Some((self.all.get(id)?.transport.idle_since()?, id.clone()));
        let mut idle: Vec<(Instant, String)> = self.connected.iter().filter_map(idle).collect();
        idle.sort_unstable();
        idle.truncate(most);
        for (_, id) in &idle {
            if let Some(peer) = self.all.get_mut(id) {
                peer.transport.close_longest_idle();
            }
        }
        self.open = self.open.saturating_sub(idle.len());
        idle.len()
    }

    /// Looks whether connections on which answers are awaited still carry any.
    pub fn pulse(&mut self) {
        self.each_connected(|peer| peer.transports().for_each(|t| t.check_liveness()));
    }

    /// Counts the connections anew, without those that have ended since they were opened.
    pub fn count(&mut self) -> usize {
        self.open = self.connected.iter().filter_map(|id| self.all.get(id)).map(Peer::connections).sum();
        self.open
    }

    /// Closes connections that have been idle for long, and forgets workers that are gone once nothing is open
    /// there: workers are replaced by new ones all day long.
    pub fn sweep(&mut self) {
        self.each_connected(Peer::sweep);
        let all = &self.all;
        self.connected.retain(|id| all.get(id).is_some_and(|p| !p.is_idle()));
        let here = |p: &Peer| p.member.state != WorkerState::Gone || !p.is_idle();
        self.all.retain(|_, p| here(p));
    }

    fn each_connected(&mut self, mut look: impl FnMut(&mut Peer)) {
        for id in &self.connected {
            if let Some(peer) = self.all.get_mut(id) {
                look(peer);
            }
        }
    }

    /// Workers at whose addresses others stand now. Guards a worker from what is meant for the one that stood at its
    /// address before: the list may tell of that one's end later than of its coming, and calls would go by the old
    /// one's account. It may be new itself, or have moved there.
    pub fn displaced(&self, source: Speech, members: &[Member]) -> Vec<Member> {
        let here = |m: &Member| self.all.get(&m.id).is_some_and(|p| p.stands_at(m.address));
        let comes = |m: &&Member| m.state == WorkerState::Ready && !here(m);
        let taken: HashMap<SocketAddr, &str> =
            members.iter().filter(comes).map(|m| (m.address, m.id.as_str())).collect();
        if taken.is_empty() {
            return Vec::new();
        }
        let by_other = |p: &Peer| {
            let by = taken.get(&p.member.address).filter(|_| p.member.state != WorkerState::Gone);
            by.is_some_and(|by| *by != p.member.id)
        };
        let old = |p: &&Peer| p.member.speech == source && by_other(p);
        self.all.values().filter(old).map(Peer::gone).collect()
    }
}

/// Of ready workers at one address the one that started last stands there, of equals the one listed last.
pub fn one_at_an_address(members: &mut [Member]) {
    let mut stands = BTreeMap::new();
    for (n, m) in members.iter().enumerate().filter(|(_, m)| m.state == WorkerState::Ready) {
        let best = stands.entry(m.address).or_insert((m.started_at, n));
        *best = (*best).max((m.started_at, n));
    }
    for (n, m) in members.iter_mut().enumerate().filter(|(_, m)| m.state == WorkerState::Ready) {
        if stands.get(&m.address).is_some_and(|&(_, last)| last != n) {
            note!("member {}: taken for gone, another is listed at {}", m.id, m.address);
            m.state = WorkerState::Gone;
        }
    }
}
