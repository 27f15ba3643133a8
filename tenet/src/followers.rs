//! Whom the tail tells that there is news, and how often.
//!
//! Each follower that is told asks for what is new. A change must therefore not cost a message to each
//! follower by itself: changes that come close together are told of together, at a pace that bounds the
//! messages a second whatever the number of followers.

use crate::base::{Addr, Mark, Time, FOLLOWER_KEPT, LARGE_AGAIN, NUDGES_PER_MILLI};
use speedy::Writable;
use std::collections::BTreeMap;

/// An answer that takes a while on its way.
#[derive(Clone, Copy, Writable)]
struct LargeAnswer {
    last: Mark,
    until: Time,
}

/// The followers that asked of late.
#[derive(Clone, Default, Writable)]
pub struct Followers {
    asked: BTreeMap<Addr, Time>,
    /// Something was synced of which they were not told yet.
    news: bool,
    /// Before which they are not told again.
    next: Time,
    /// What each was last given that was large.
    under_way: BTreeMap<Addr, LargeAnswer>,
}

impl Followers {
    /// A follower asked for what is new.
    pub fn asked(&mut self, follower: Addr, now: Time) {
        self.asked.insert(follower, now);
    }

    /// There is something that they were not told of.
    pub fn has_news(&mut self) {
        self.news = true;
    }

    /// When they are to be told next, if there is news.
    pub fn nudge_due(&self) -> Option<Time> {
        self.news.then_some(self.next)
    }

    /// Whom to tell now.
    pub fn nudged(&mut self, now: Time) -> Vec<Addr> {
        if !self.news || now < self.next {
            return Vec::new();
        }
        self.asked.retain(|_, at| now < *at + FOLLOWER_KEPT);
        self.news = false;
        self.next = now + 1 + self.asked.len() as Time / NUDGES_PER_MILLI;
        self.asked.keys().copied().collect()
    }

    /// Whether a large answer that ends with this log index may be sent; none is while one that reaches as
    /// far is on its way.
    pub fn sends_large(&mut self, follower: Addr, last: Mark, now: Time) -> bool {
        self.under_way.retain(|_, answer| now < answer.until);
        let busy = self
            .under_way
            .get(&follower)
            .is_some_and(|answer| answer.last >= last);
        if !busy {
            let until = now + LARGE_AGAIN;
            self.under_way.insert(follower, LargeAnswer { last, until });
        }
        !busy
    }
}
