//! A library for `LD_PRELOAD` that injects system call failures, as Linux documents them, and wall clock
//! steps into one process, and checks its heap.
//!
//! The fault injection tool preloads it into the front ends that it starts and into nothing else. Both map
//! the control file that `HERONSLIP_SHIM_CONTROL` names: the tool writes there what is to fail and how often,
//! the library counts what it has injected. Clocks other than the wall clock are left alone.
#![warn(missing_docs)]

mod calls;
mod heap;
