//! Notices at once when clients close their connections.
//!
//! A reader sees the end of a connection only once it has read everything before it. The system knows of the
//! end earlier, and what is sent to a worker after it serves nobody.
use crate::connection_limiter::ConnectionLimiter;
use crate::messages::Message;
use nix::errno::Errno;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use std::os::fd::AsFd;
use std::sync::mpsc::Sender;
use std::sync::{Arc, OnceLock};

/// Linux's flag of a socket whose other side has closed it. `nix` does not name it.
const POLLRDHUP: PollFlags = PollFlags::from_bits_retain(0x2000);
/// Events that are taken from the system at a time.
const EVENTS_PER_WAIT: usize = 64;

/// Watches client connections for their end. Clones share one thread.
#[derive(Clone, Default)]
pub struct HangUpWatcher(Arc<OnceLock<Epoll>>);

impl HangUpWatcher {
    /// Starts the thread that tells the limiter and the core of connections that have ended.
    ///
    /// # Errors
    /// Fails if the system gives no descriptor or no thread. A watcher that has not started watches nothing;
    /// ends are then seen by the readers alone.
    pub fn start(&self, limiter: ConnectionLimiter, core: Sender<Message>) -> std::io::Result<()> {
        let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?;
        let _ = self.0.set(epoll); // fails if it was started before
        let watcher = self.clone();
        let run = move || watcher.run(&limiter, &core);
        std::thread::Builder::new().name("hang-ups".to_owned()).spawn(run).map(drop)
    }

    /// Watches a connection until its descriptor is closed.
    pub fn watch(&self, socket: &impl AsFd, connection: u64) {
        let Some(epoll) = self.0.get() else { return };
        let flags = EpollFlags::EPOLLRDHUP | EpollFlags::EPOLLONESHOT;
        if let Err(e) = epoll.add(socket, EpollEvent::new(flags, connection)) {
            log_limited!("client: the end of a connection will be noticed late: {e}");
        }
    }

    fn run(&self, limiter: &ConnectionLimiter, core: &Sender<Message>) {
        let Some(epoll) = self.0.get() else { return };
        let mut events = [EpollEvent::empty(); EVENTS_PER_WAIT];
        loop {
            let count = match epoll.wait(&mut events, EpollTimeout::NONE) {
                Ok(count) => count,
                Err(Errno::EINTR) => continue,
                Err(e) => return log!("client: ends of connections will be noticed late: {e}"),
            };
            for connection in events[..count].iter().map(EpollEvent::data) {
                limiter.record_hang_up(connection);
                // Fails only when the process ends.
                let _ = core.send(Message::ClientDisconnected { connection });
            }
        }
    }
}

/// Whether the other side has closed a connection, however much of what it sent is unread.
pub fn has_hung_up(socket: &impl AsFd) -> bool {
    let mut descriptors = [PollFd::new(socket.as_fd(), POLLRDHUP)];
    let failed = PollFlags::POLLHUP | PollFlags::POLLERR;
    // If the poll fails, the reader will see the end. `revents` is `None` for flags that `nix` does not name.
    poll(&mut descriptors, PollTimeout::ZERO).is_ok_and(|ready| ready > 0)
        && descriptors[0].revents().is_none_or(|events| events.intersects(failed))
}
