use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tenet::base::{digest, mix, Time};

#[derive(Clone, Copy)]
pub struct Clock {
    zero: Instant,
}

impl Clock {
    pub fn new() -> Self {
        Clock {
            zero: Instant::now(),
        }
    }
    pub fn now(&self) -> Time {
        self.zero.elapsed().as_millis() as Time + 1
    }
    pub fn until(&self, t: Time) -> Duration {
        Duration::from_millis(t.saturating_sub(self.now()))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

pub fn wall() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

pub fn entropy() -> u64 {
    let mut b = [0u8; 16];
    let read = std::fs::File::open("/dev/urandom")
        .and_then(|mut f| std::io::Read::read_exact(&mut f, &mut b));
    let more = read.map_or(0, |_| digest(&b));
    mix(more ^ wall() ^ mix(std::process::id() as u64))
}
