//! The cores that programs and threads under test may use.
use nix::sched::{sched_getaffinity, sched_setaffinity, CpuSet};
use nix::unistd::Pid;

/// Runs this with the processes and threads that it starts bound to one core, as a front end has.
pub fn on_one_core<T>(run: impl FnOnce() -> T) -> T {
    let this_thread = Pid::from_raw(0);
    let allowed = sched_getaffinity(this_thread).expect("the allowed cores");
    let core = (0..CpuSet::count()).find(|&core| allowed.is_set(core).expect("in range")).expect("a core");
    let mut one = CpuSet::new();
    one.set(core).expect("in range");
    sched_setaffinity(this_thread, &one).expect("bound");
    let result = run();
    sched_setaffinity(this_thread, &allowed).expect("released");
    result
}
