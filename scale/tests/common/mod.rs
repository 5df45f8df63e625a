//! Short runs of the sample experiment.
use heronslip_scale::experiment::{Experiment, Failure};
use heronslip_scale::report::FleetReport;
use heronslip_scale::{fleet, node};
use std::path::Path;

/// The sample experiment of the repository.
pub fn sample() -> Experiment {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/small.toml");
    Experiment::read(&path).expect("the sample experiment is valid")
}

/// The failures of the sample experiment, starting one a second from 2 s on and lasting one second each.
#[allow(dead_code)] // only some of the test programs use it
pub fn short_failures() -> Vec<Failure> {
    let mut failures = sample().failures;
    for (n, failure) in failures.iter_mut().enumerate() {
        (failure.at_s, failure.for_s) = (2.0 + n as f64, failure.for_s.map(|_| 1.0));
    }
    failures
}

/// Runs a short experiment of four front ends and forty workers without failures, after `change` has adapted
/// it.
pub fn run_experiment(change: impl FnOnce(&mut Experiment)) -> FleetReport {
    let mut experiment = sample();
    (experiment.duration_s, experiment.warm_up_s) = (8.0, 2.0);
    (experiment.fleet.front_ends, experiment.fleet.workers) = (4, 40);
    experiment.failures.clear();
    change(&mut experiment);
    let (settings, _) = node::settings(&experiment).expect("the sample's settings are valid");
    fleet::run(&experiment, settings)
}
