//! Basic types of the core: time in ms, log index, node id, address; hashing and the numbers a process gives.

pub use crate::bounds::*;
use speedy::{Readable, Writable};
use std::fmt;
use std::net::{IpAddr, Ipv6Addr, SocketAddr};

/// A moment of this process's own clock, or a duration, in ms. Clocks of two processes have nothing in
/// common.
pub type Time = u64;
/// A log index; 0 stands before the first entry.
pub type Mark = u64;
/// A process; it changes with each start, unless the process has a disk.
pub type NodeId = u64;

/// An IP address and port, as they stand in packets.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Readable, Writable)]
pub struct Addr {
    /// IPv6, or IPv4 mapped into it.
    pub ip: [u8; 16],
    /// The port.
    pub port: u16,
}

impl Addr {
    /// No address.
    pub const NONE: Addr = Addr {
        ip: [0; 16],
        port: 0,
    };
}

impl From<SocketAddr> for Addr {
    fn from(a: SocketAddr) -> Self {
        let ip = match a.ip() {
            IpAddr::V4(v) => v.to_ipv6_mapped(),
            IpAddr::V6(v) => v,
        };
        Addr {
            ip: ip.octets(),
            port: a.port(),
        }
    }
}

impl From<Addr> for SocketAddr {
    fn from(a: Addr) -> Self {
        let v = Ipv6Addr::from(a.ip);
        let ip = v.to_ipv4_mapped().map(IpAddr::V4).unwrap_or(IpAddr::V6(v));
        SocketAddr::new(ip, a.port)
    }
}

impl fmt::Display for Addr {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", SocketAddr::from(*self))
    }
}

/// A well spread hash of a number.
pub fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A digest of bytes, against damage and mistakes; it withstands no attacker.
pub fn digest(b: &[u8]) -> u64 {
    b.iter().fold(0xcbf2_9ce4_8422_2325, |h, c| {
        mix((h ^ *c as u64).wrapping_mul(0x0100_0000_01b3))
    })
}

/// Numbers that a process gives: no two are equal but by chance.
pub struct Ids {
    seed: u64,
    n: u64,
}

impl Ids {
    /// The series of a seed, which each start of a process must draw anew.
    pub fn new(seed: u64) -> Self {
        Ids { seed, n: 0 }
    }
    /// The next number, of 53 bits, so that JSON carries it.
    pub fn take(&mut self) -> u64 {
        self.n += 1;
        mix(self.seed ^ mix(self.n)) & 0x001f_ffff_ffff_ffff
    }
}

/// The first number of a life's asks for a lease: above those of earlier lives while the wall
/// clock does not step back, and other than theirs if it does.
pub(crate) fn first_ask(wall: u64, seed: u64) -> u64 {
    const RANDOM_BITS: u32 = 20;
    (wall << RANDOM_BITS) | (mix(seed ^ 5) >> (u64::BITS - RANDOM_BITS))
}
