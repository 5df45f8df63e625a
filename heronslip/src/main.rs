//! Starts a front end with the configuration of its environment.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    // First of all: a signal that arrives while the configuration is read must not end the process.
    let run = |signals| heronslip::run(heronslip::config::Config::from_environment()?, signals);
    match heronslip::shutdown::register_signals().and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            heronslip::log!("start: {message}");
            ExitCode::FAILURE
        }
    }
}
