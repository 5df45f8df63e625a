//! How the platform's limit on memory is shared out: what each part of the process may take at most.
//!
//! The parts add up to the limit; `docs/CAPACITY.md` has the sum and the runs that measured its terms.

/// Memory of a client connection that sends nothing, in bytes: the used part of its reader's stack, its buffers
/// and table entries, and [`UNRESERVED_RESPONSES`].
const CLIENT_CONNECTION_BYTES: usize = 20 * 1024;
/// Memory in bytes that the requests and unsent responses of each client connection can always take.
pub const GUARANTEED_BYTES: usize = 8 * 1024;
/// Memory in bytes that responses on a connection may take although none is reserved for them.
pub const UNRESERVED_RESPONSES: usize = 1024;
/// Memory of a worker connection without exchanges, in bytes: the used parts of its two stacks, and its
/// buffers.
const WORKER_CONNECTION_BYTES: usize = 34 * 1024;
/// What each part of the process may take. The rest of the memory, more than an eighth, is for the process
/// itself, the worker list, and what the allocator cannot reuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShares {
    /// Maximum client connections.
    pub client_connections: usize,
    /// Bytes for requests and unsent responses beyond the guaranteed parts of their connections.
    pub buffered_bytes: usize,
    /// Maximum worker connections.
    pub worker_connections: usize,
    /// Bytes for replies of workers that have arrived in part.
    pub reply_bytes: usize,
    /// Bytes for the ids that are remembered of requests that have ended.
    pub wire_id_bytes: usize,
    /// Bytes for the functions that the controller remembers.
    pub function_bytes: usize,
}

impl MemoryShares {
    /// Shares out `memory` bytes; `max_clients` is the limit on client connections by the descriptors.
    pub fn new(memory: usize, max_clients: usize) -> Self {
        let for_clients = memory / 3;
        let per_client = CLIENT_CONNECTION_BYTES + GUARANTEED_BYTES;
        let client_connections = max_clients.min(for_clients / per_client);
        MemoryShares {
            client_connections,
            buffered_bytes: memory / 8 + for_clients - client_connections * per_client,
            worker_connections: memory / 4 / WORKER_CONNECTION_BYTES,
            reply_bytes: memory / 16,
            wire_id_bytes: memory / 64,
            function_bytes: memory / 12,
        }
    }
}
