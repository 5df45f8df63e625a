//! Runs of real front-end processes, started as the deploy file says, on loopback sockets. Each has the full
//! worker list and a front end's share of the calls, against simulated workers, clients and a simulated
//! discovery server.
//!
//! Front ends that do not run are simulated as load and copies at the workers (see
//! [`crate::world::BackgroundLoad`]) and as changes of the worker list.
pub(crate) mod clients;
mod deploy;
mod discovery;
mod process;
mod run;
pub mod usage;
pub(crate) mod wire;
mod workers;

pub use deploy::{settings, Deploy, DeployError};
pub use run::{run, NodeError};
