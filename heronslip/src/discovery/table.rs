//! What the board has told of each worker, so that only what changes goes on to the core.
use super::instance::Unreadable;
use crate::messages::{ListedWorker, WorkerProtocol};
use heronslip_policy::WorkerState;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// A listed worker.
#[derive(Debug)]
struct Listed {
    /// Stands for all that the list tells of it.
    fingerprint: u64,
    address: SocketAddr,
    /// The last event that named it, by the table's count.
    named_in: u32,
    /// Whether that event changes it.
    changed: bool,
}

/// The list as the board told it last.
///
/// An event is staged entry by entry and changes nothing before it is committed: one that breaks off leaves the
/// list as it was.
#[derive(Debug, Default)]
pub struct Table {
    listed: HashMap<Box<str>, Listed>,
    /// Workers listed at each address. Where there are several the core has to choose again each time.
    at: HashMap<SocketAddr, u32>,
    event: u32,
}

/// An event on its way.
#[derive(Debug, Default)]
pub struct Staged {
    changed: Vec<ListedWorker>,
    /// Entries that could not be read.
    pub unreadable: Vec<Unreadable>,
}

fn fingerprint(member: &ListedWorker) -> u64 {
    let mut hasher = DefaultHasher::new();
    (member.address, member.started_at, member.cell).hash(&mut hasher);
    (member.zone.as_str(), member.machine_type.as_str()).hash(&mut hasher);
    (member.state as u8).hash(&mut hasher);
    hasher.finish()
}

impl Table {
    /// Begins an event; what was staged of another is to be dropped.
    pub fn begin(&mut self) -> Staged {
        self.event = self.event.wrapping_add(1);
        Staged::default()
    }

    /// Stages an entry, unless it tells what is known already.
    pub fn stage(&mut self, entry: Result<ListedWorker, Unreadable>, staged: &mut Staged) {
        let member = match entry {
            Ok(member) => member,
            Err(unreadable) => {
                if let Some(listed) = unreadable.id.as_deref().and_then(|id| self.listed.get_mut(id)) {
                    (listed.named_in, listed.changed) = (self.event, false);
                }
                staged.unreadable.push(unreadable);
                return;
            }
        };
        if let Some(listed) = self.listed.get_mut(member.id.as_str()) {
            let named_before = listed.named_in == self.event && listed.changed;
            let contested = self.at.get(&listed.address).is_some_and(|&n| n > 1);
            let same = listed.fingerprint == fingerprint(&member) && !contested;
            (listed.named_in, listed.changed) = (self.event, named_before || !same);
            if same && !named_before {
                return;
            }
        }
        staged.changed.push(member);
    }

    /// Takes an event over; what the core is to be told of it. A whole list leaves out whoever it does not name.
    pub fn commit(&mut self, full: bool, staged: Staged) -> Vec<ListedWorker> {
        let mut told = Vec::new();
        if full {
            let event = self.event;
            let left_out = self.listed.iter().filter(|(_, l)| l.named_in != event);
            told.extend(left_out.map(|(id, l)| gone(id, l.address)));
            told.sort_by(|a, b| a.id.cmp(&b.id)); // the table has no order of its own
            for member in &told {
                self.remove(&member.id);
            }
        }
        for member in staged.changed {
            let known = self.remove(&member.id);
            if member.state != WorkerState::Gone {
                self.insert(&member);
            } else if !known {
                continue;
            }
            told.push(member);
        }
        told
    }

    /// Workers listed.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Whether no worker is listed.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    fn insert(&mut self, member: &ListedWorker) {
        let (fingerprint, address) = (fingerprint(member), member.address);
        let listed = Listed { fingerprint, address, named_in: self.event, changed: false };
        self.listed.insert(member.id.as_str().into(), listed);
        *self.at.entry(address).or_default() += 1;
    }

    /// Drops a worker; whether it was listed.
    fn remove(&mut self, id: &str) -> bool {
        let Some(listed) = self.listed.remove(id) else { return false };
        if let Some(count) = self.at.get_mut(&listed.address) {
            *count -= 1;
            if *count == 0 {
                self.at.remove(&listed.address);
            }
        }
        true
    }
}

/// The word of a worker's end that a whole list gives by leaving it out.
fn gone(id: &str, address: SocketAddr) -> ListedWorker {
    ListedWorker {
        id: id.to_owned(),
        address,
        state: WorkerState::Gone,
        started_at: 0,
        zone: String::new(),
        machine_type: String::new(),
        cell: 0,
        protocol: WorkerProtocol::Frames,
    }
}
