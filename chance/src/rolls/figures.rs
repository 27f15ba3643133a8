//! What a run, or many, measured.

use tenet::base::Time;

/// Times of acknowledgements, and how late work reached servers that leave.
#[derive(Clone, Default, Debug)]
pub struct Figures {
    /// For each acknowledged order: from its sending, or from when a majority of the control
    /// machines was connected if that was later, to the first acknowledgement.
    pub acknowledgements: Vec<Time>,
    /// Orders that ended with no acknowledgement and without a fault: no majority lasted.
    pub unclear: usize,
    /// The latest new work at a server that leaves, after the acknowledgement.
    pub lateness: Time,
    /// The same, from nodes whose process ran for `IN_TOUCH_AFTER` at least.
    pub lateness_in_touch: Time,
    /// Pieces of new work at servers that leave.
    pub late_work: usize,
    /// Configurations read back that were confirmed.
    pub read_back: usize,
}

impl Figures {
    /// Adds what another run measured.
    pub fn add(&mut self, other: &Figures) {
        self.acknowledgements.extend(&other.acknowledgements);
        self.unclear += other.unclear;
        self.lateness = self.lateness.max(other.lateness);
        self.lateness_in_touch = self.lateness_in_touch.max(other.lateness_in_touch);
        self.late_work += other.late_work;
        self.read_back += other.read_back;
    }

    /// The time within which this many percent of the acknowledgements came.
    pub fn percentile(&self, percent: usize) -> Time {
        let mut times = self.acknowledgements.clone();
        times.sort_unstable();
        let last = times.len().saturating_sub(1);
        times.get(last * percent / 100).copied().unwrap_or(0)
    }

    /// One line for a report.
    pub fn summary(&self) -> String {
        format!(
            "{} acknowledgements: p50 {} ms, p99 {} ms, longest {} ms; {} orders unclear; \
             new work at leaving servers: {} pieces, at most {} ms after the acknowledgement, \
             {} ms from nodes in touch; {} configurations read back",
            self.acknowledgements.len(),
            self.percentile(50),
            self.percentile(99),
            self.percentile(100),
            self.unclear,
            self.late_work,
            self.lateness,
            self.lateness_in_touch,
            self.read_back
        )
    }
}
