//! The library that is preloaded into programs under test.
use std::path::PathBuf;
use std::process::Command;

/// Builds the shim, and returns the path of its library.
pub fn build_shim() -> PathBuf {
    let target = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("shim");
    let build = Command::new(env!("CARGO"))
        .args(["build", "--quiet", "--locked", "-p", "heronslip-shim", "--target-dir"])
        .arg(&target)
        .status();
    assert!(build.expect("cargo runs").success());
    target.join("debug/libheronslip_shim.so")
}
