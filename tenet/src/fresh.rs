//! What this node knows of each server, and which log positions a primary had when. From it follows how stale a
//! replica's log may be: the age of an observation counts as staleness.

use crate::base::*;
use std::collections::VecDeque;

#[derive(Clone, Default)]
pub struct Known {
    pub life: u64,
    pub pos: u64,
    pub follows: String,
    pub leads: bool,
    pub link: bool,
    pub at: Time,
    pub heard: Time,
    pub reach: bool,
    pub told_life: u64,
    pub term: u64,
    pub shun: Time,
}

#[derive(Default)]
pub struct Marks {
    epoch: Mark,
    v: VecDeque<(Time, u64)>,
}

impl Marks {
    pub fn add(&mut self, epoch: Mark, at: Time, pos: u64) {
        if epoch < self.epoch {
            return;
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            self.v.clear();
        }
        let i = self.v.partition_point(|(t, _)| *t <= at);
        self.v.insert(i, (at, pos));
        while self.v.len() > 400 {
            self.v.pop_front();
        }
    }

    pub fn age(&self, now: Time, epoch: Mark, pos: u64) -> Option<Time> {
        (epoch == self.epoch)
            .then(|| {
                self.v
                    .iter()
                    .rev()
                    .find(|(_, p)| *p <= pos)
                    .map(|(t, _)| now.saturating_sub(*t))
            })
            .flatten()
    }

    /// The newest position that is at least `settled` ms old, else the newest of all; none when
    /// that was observed more than `most` ms ago.
    pub fn within(&self, now: Time, epoch: Mark, settled: Time, most: Time) -> Option<u64> {
        let old = self
            .v
            .iter()
            .rev()
            .find(|(t, _)| t + settled <= now)
            .filter(|(t, _)| now <= t + most);
        let any = self.v.back().filter(|(t, _)| now <= t + most);
        old.or(any).filter(|_| epoch == self.epoch).map(|(_, p)| *p)
    }

    pub fn newest_of(&self, epoch: Mark) -> Option<Time> {
        self.v
            .back()
            .filter(|_| epoch == self.epoch)
            .map(|(t, _)| *t)
    }

    pub fn newest(&self) -> Time {
        self.v.back().map_or(0, |(t, _)| *t)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    #[test]
    fn the_age_of_what_was_observed_counts_as_staleness() {
        let mut m = Marks::default();
        m.add(1, 100, 10);
        m.add(1, 300, 12);
        m.add(1, 200, 11);
        assert_eq!(m.age(400, 1, 12), Some(100));
        assert_eq!(m.age(400, 1, 11), Some(200));
        assert_eq!(m.age(400, 1, 9), None);
        assert_eq!(m.age(2000, 1, 99), Some(1700));
        m.add(2, 500, 20);
        assert_eq!(m.age(600, 1, 12), None);
        m.add(1, 550, 12);
        assert_eq!(m.age(600, 2, 20), Some(100));
    }
}
