//! How the open requests are spread over the clients, so that one with many does not crowd out the others.
use std::collections::HashMap;

/// Clients with more open requests count as having so many.
const MAX_COUNTED: usize = 64;

/// The open requests of each client connection.
pub struct ClientShares {
    open: HashMap<u64, usize>,
    /// Clients by their number of open requests.
    clients: [usize; MAX_COUNTED + 1],
}

impl ClientShares {
    /// No request is open.
    pub fn new() -> Self {
        ClientShares { open: HashMap::new(), clients: [0; MAX_COUNTED + 1] }
    }

    /// Records that a request of this connection is open. Returns the requests that would be open if each
    /// client had at most as many as this one, as a fraction of those that are.
    pub fn open(&mut self, connection: u64) -> f64 {
        let open = self.open.entry(connection).or_default();
        self.clients[(*open).min(MAX_COUNTED)] -= usize::from(*open > 0);
        *open += 1;
        let own = (*open).min(MAX_COUNTED);
        self.clients[own] += 1;
        let (mut all, mut bounded) = (0, 0);
        for (count, clients) in self.clients.iter().enumerate() {
            all += clients * count;
            bounded += clients * count.min(own);
        }
        bounded as f64 / all as f64
    }

    /// Records that a request of this connection is no longer open.
    pub fn close(&mut self, connection: u64) {
        let Some(open) = self.open.get_mut(&connection) else { return };
        self.clients[(*open).min(MAX_COUNTED)] -= 1;
        *open -= 1;
        if *open > 0 {
            self.clients[(*open).min(MAX_COUNTED)] += 1;
        } else {
            self.open.remove(&connection);
        }
    }
}
