//! When a stopping process may end: its callers have been told to leave, every request under way has its answer,
//! and open transactions have ended or used up their time.

use crate::base::*;
use crate::front::Front;
use crate::grace::Grace;
use crate::plant::{planted, Bug};
use crate::trip::For;

/// A planned stop under way.
pub struct Drain {
    began: Time,
    grace: Grace,
}

impl Drain {
    /// The process was told at `now` to end within `grace`.
    pub fn new(now: Time, grace: Grace) -> Self {
        Drain { began: now, grace }
    }

    /// Whether the process may end. `empty`: no session is open; `drained`: no transaction is open and no work under
    /// way; `busy`: how many requests have no answer yet.
    pub fn done(&self, now: Time, empty: bool, drained: bool, busy: usize) -> bool {
        if planted(Bug::StopAtOnce) {
            return true;
        }
        let t = now.saturating_sub(self.began);
        let seen_off = t > self.grace.sessions_told() || (empty && t > self.grace.least());
        (seen_off && drained && busy == 0) || t > self.grace.end()
    }
}

impl Front {
    /// Sets how long this process may go on after it was told to stop.
    pub fn with_grace(mut self, grace: Grace) -> Self {
        self.grace = grace;
        self
    }

    /// When every request must have its answer; the end of time while nobody asked this process to stop.
    pub(crate) fn stop_by(&self) -> Time {
        self.stop_at
            .map_or(Time::MAX, |at| at + self.grace.answers())
    }

    pub(crate) fn stop(&mut self, now: Time) {
        self.stop_at = self.stop_at.or(Some(now));
        self.leaving = self.leaving.or(Some(now));
        let by = self.stop_by();
        let calls = self
            .trips
            .iter_mut()
            .filter(|(_, t)| matches!(t.owner, For::Caller { .. }));
        calls.for_each(|(_, t)| {
            t.plan.deadline = t.plan.deadline.min(by);
            t.wake = t.wake.min(by);
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_stop_gives_an_emptied_node_no_new_time_to_serve() {
        let mut f = Front::new(1, Addr::NONE, 1);
        f.leaving = Some(10);
        f.stop(9000);
        assert_eq!((f.leaving, f.stop_by()), (Some(10), 9000 + 3200));
        f.stop(9500);
        assert_eq!(f.stop_by(), 9000 + 3200);
    }
}
