//! Time since the start of the process, wall clock time and randomness.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tenet::base::{digest, mix, Time};

/// Milliseconds since it was made; never 0.
#[derive(Clone, Copy)]
pub struct Clock {
    zero: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Clock {
            zero: Instant::now(),
        }
    }
    /// The present time.
    pub fn now(&self) -> Time {
        self.zero.elapsed().as_millis() as Time + 1
    }
    /// How long it is until a time; zero for one that is past.
    pub fn until(&self, t: Time) -> Duration {
        Duration::from_millis(t.saturating_sub(self.now()))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

/// Milliseconds since the epoch.
pub fn wall() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// A number that no other process has.
pub fn entropy() -> u64 {
    let mut b = [0u8; 16];
    let read = std::fs::File::open("/dev/urandom")
        .and_then(|mut f| std::io::Read::read_exact(&mut f, &mut b));
    let more = read.map_or(0, |_| digest(&b));
    mix(more ^ wall() ^ mix(std::process::id() as u64))
}
