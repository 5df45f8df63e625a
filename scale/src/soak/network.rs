//! The loopback addresses of a play: each tool has a network of its own, and each part of it an address. A port that
//! is free again after its owner has died would else come to another part, or to a play of another tool.
use std::net::Ipv4Addr;

/// Where workers listen.
pub fn workers() -> Ipv4Addr {
    address(1)
}

/// Where the board listens.
pub fn board() -> Ipv4Addr {
    address(2)
}

/// Where a front end listens.
pub fn front_end(number: usize) -> Ipv4Addr {
    address(10 + number as u8)
}

fn address(part: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    // The first networks are left to others: 127.0.0.0 is where everything else on the machine listens.
    Ipv4Addr::new(127, 64 + high % 128, low, part)
}
