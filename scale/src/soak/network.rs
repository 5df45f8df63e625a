//! Loopback addresses of a run. Each process of the tool uses a network of its own, and each part of a run an
//! address of its own, because a port that a dead process leaves free could otherwise be taken by another
//! part or another run.
use std::net::Ipv4Addr;

/// The address on which workers listen.
pub fn workers() -> Ipv4Addr {
    address(1)
}

/// The address on which the discovery server listens.
pub fn discovery() -> Ipv4Addr {
    address(2)
}

/// The address on which a front end listens.
pub fn front_end(number: usize) -> Ipv4Addr {
    address(10 + number as u8)
}

fn address(host: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    // The lower networks are left out: other programs on the machine listen in 127.0.0.0/24.
    Ipv4Addr::new(127, 64 + high % 128, low, host)
}
