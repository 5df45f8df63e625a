//! SIGINT and SIGTERM, upon which a run stops and ends the processes that it has started.
use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Listens for SIGINT and SIGTERM from its creation on.
pub struct Interrupt {
    interrupt: Signal,
    terminate: Signal,
}

impl Interrupt {
    /// Starts to listen. From now on the signals no longer end this process by themselves.
    ///
    /// # Errors
    /// Fails if the handlers cannot be installed.
    pub fn listen() -> io::Result<Interrupt> {
        Ok(Interrupt {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    /// Waits for a signal, or returns at once if one has arrived since the last call.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}
