//! Real front-end processes, as the deploy file starts them, on loopback sockets: with the whole list of workers
//! and a real front end's share of calls, before hollow workers, a hollow board and hollow clients.
//!
//! Front ends that do not run show at the workers as load and as copies (see [`crate::world::Others`]) and at the
//! board as changes of the list.
mod board;
pub(crate) mod clients;
mod deploy;
mod process;
mod run;
pub mod usage;
pub(crate) mod wire;
mod workers;

pub use deploy::{settings, Deploy, DeployError};
pub(crate) use run::interrupted;
pub use run::{run, NodeError};
