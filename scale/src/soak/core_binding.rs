//! Binds processes to one core each, as the deployment does.
use nix::sched::{sched_getaffinity, sched_setaffinity, CpuSet};
use nix::unistd::Pid;
use std::io;

/// Binds the current thread, and the processes that it starts, to one core until it is dropped.
pub struct CoreBinding {
    allowed: CpuSet,
}

const THIS_THREAD: Pid = Pid::from_raw(0);

impl CoreBinding {
    /// Binds to one of the cores that this process may use, the same one for the same number.
    ///
    /// # Errors
    /// Fails if the cores cannot be read or set.
    pub fn new(number: usize) -> io::Result<CoreBinding> {
        let allowed = sched_getaffinity(THIS_THREAD)?;
        let cores: Vec<usize> =
            (0..CpuSet::count()).filter(|&core| allowed.is_set(core).unwrap_or(false)).collect();
        let mut one = CpuSet::new();
        one.set(cores[number % cores.len()])?;
        sched_setaffinity(THIS_THREAD, &one)?;
        Ok(CoreBinding { allowed })
    }
}

impl Drop for CoreBinding {
    fn drop(&mut self) {
        let _ = sched_setaffinity(THIS_THREAD, &self.allowed); // fails only if the cores are taken away
    }
}
