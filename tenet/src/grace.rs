//! The times of a planned stop. All of them follow from how long a process may go on after it was told to end.

use crate::base::Time;
use crate::bounds::{STOP_GRACE, STOP_LEAST, STOP_SEEN_OFF};

/// How long a process may go on after it was told to end, in ms; after that it may be killed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Grace(Time);

impl Default for Grace {
    fn default() -> Self {
        Grace(STOP_GRACE)
    }
}

impl Grace {
    /// A grace of so many ms.
    pub fn of_ms(ms: Time) -> Self {
        Grace(ms)
    }

    /// How long it is, in ms.
    pub fn ms(self) -> Time {
        self.0
    }

    /// Open transactions may end until then, in ms after the stop.
    pub fn transactions(self) -> Time {
        self.0 / 2
    }

    /// Every request has its answer by then, in ms after the stop.
    pub fn answers(self) -> Time {
        self.transactions() + self.0 / 30
    }

    /// The process ends then in any case, in ms after the stop.
    pub fn end(self) -> Time {
        self.0 * 2 / 3
    }

    /// All sessions at rest were told to leave by then, in ms after the stop.
    pub fn sessions_told(self) -> Time {
        STOP_SEEN_OFF.min(self.transactions())
    }

    /// A process without sessions goes on for that long, in ms, so that others learn of its stop.
    pub fn least(self) -> Time {
        STOP_LEAST.min(self.transactions())
    }
}
