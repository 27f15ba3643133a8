//! How far this process trusts its own view of the others (the local health multiplier of Lifeguard).

use crate::base::Time;

/// Worst score. At it, answers are waited for three times as long.
const WORST: u32 = 4;

/// A process that is slow itself misses answers and is suspected by others. It then waits longer before it
/// suspects anybody.
#[derive(Default)]
pub struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Something suggests that this process is slow: it was suspected, paused, or missed an answer.
    pub fn worsen(&mut self) {
        self.score = (self.score + 1).min(WORST);
    }

    /// An answer came in time.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// How long to wait for what takes `time` in good health.
    pub fn stretched(&self, time: Time) -> Time {
        time + time * Time::from(self.score) / 2
    }
}
