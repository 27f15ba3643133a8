//! The clock that the chain agrees on, in place of the machines' time of day.
use crate::base::Time;

/// Reads the agreed clock between entries. The clock's value is part of the replicated state: the
/// head stamps each entry, and the stamps never fall. Between stamps each member counts on with its
/// own monotonic clock, so that whoever becomes head goes on from there. Time during which no
/// member ran is not counted: the clock may lag behind true time, and it runs ahead of it only by
/// the drift of the head's clock.
#[derive(Clone, Copy, Debug, Default, speedy::Writable)]
pub struct AgreedClock {
    stamp: u64,
    since: Time,
}

impl AgreedClock {
    /// Takes over the newest stamp of the state at the local time `now`.
    pub fn observe(&mut self, now: Time, stamp: u64) {
        if self.since == 0 || stamp > self.stamp {
            *self = AgreedClock { stamp, since: now };
        }
    }

    /// The agreed time at the local time `now`.
    pub fn read(&self, now: Time) -> u64 {
        self.stamp + now.saturating_sub(self.since)
    }
}
