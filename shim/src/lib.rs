//! System calls that fail in the ways that Linux documents, and a wall clock that can be stepped, for one process.
//!
//! The fault tool loads this library into the front ends that it starts (`LD_PRELOAD`) and into nothing else. Both
//! sides map the same small file, named by `HERONSLIP_SHIM_CONTROL`: the tool writes there what is to fail and how often,
//! the library what it has injected. All times other than the wall clock's are left alone.
#![warn(missing_docs)]

mod calls;
