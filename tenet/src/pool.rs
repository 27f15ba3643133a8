//! The connections of this node to one server: which are idle, how many may be used now, who waits. Never more
//! than the node's share; the limit ramps up (slow start) after a server is new or promoted.

use crate::base::*;
use crate::plant::{planted, Bug};
use crate::wire::SetUp;
use std::collections::VecDeque;

pub struct Conn {
    pub id: u64,
    /// The life of the server that it was opened to.
    pub life: u64,
    pub user: u64,
    /// The options and prepared statements that it has. Compared by value: two sessions never count as the same.
    pub setup: SetUp,
    pub idle: Time,
}

pub enum Take {
    Conn(Conn),
    Open,
    Wait,
    Full,
}

pub struct Pool {
    pub life: u64,
    pub share: u32,
    pub warm: u32,
    pub begun: Time,
    idle: Vec<Conn>,
    out: u32,
    opening: u32,
    pub queue: VecDeque<usize>,
    pub opened: u64,
}

pub struct Rules {
    pub queue: u32,
    pub warm_ms: Time,
    pub keep: Time,
}

impl Pool {
    pub fn new(life: u64, now: Time) -> Self {
        Pool {
            life,
            share: 0,
            warm: 1,
            begun: now,
            idle: Vec::new(),
            out: 0,
            opening: 0,
            queue: VecDeque::new(),
            opened: 0,
        }
    }

    pub fn limit(&self, now: Time, r: &Rules) -> u32 {
        let t = now.saturating_sub(self.begun).min(r.warm_ms);
        let span = self.share.saturating_sub(self.warm) as u64;
        let ramp = self.warm as u64 + span * t / r.warm_ms.max(1);
        (ramp as u32).min(self.share)
    }

    pub fn used(&self) -> u32 {
        self.out + self.opening
    }

    pub fn total(&self) -> u32 {
        self.used() + self.idle.len() as u32
    }

    pub fn take(&mut self, now: Time, user: u64, setup: &SetUp, r: &Rules) -> Take {
        if self.used() >= self.limit(now, r) {
            return self.wait(r);
        }
        let same = self
            .idle
            .iter()
            .rposition(|c| c.user == user && c.setup == *setup);
        let kin = same.or_else(|| self.idle.iter().rposition(|c| c.setup == *setup));
        let any = kin.or_else(|| self.idle.len().checked_sub(1));
        if let Some(c) = any.map(|i| self.idle.remove(i)) {
            self.out += 1;
            return Take::Conn(c);
        }
        if self.total() < self.share {
            self.opening += 1;
            self.opened += 1;
            return Take::Open;
        }
        self.wait(r)
    }

    fn wait(&self, r: &Rules) -> Take {
        if self.queue.len() as u32 >= r.queue || self.share == 0 {
            return Take::Full;
        }
        Take::Wait
    }

    /// Begins anew with a new life of the server: who waits goes on waiting, and the connections
    /// given back are to be closed.
    pub fn renew(&mut self, life: u64, now: Time) -> Vec<u64> {
        let new = Pool {
            queue: std::mem::take(&mut self.queue),
            ..Pool::new(life, now)
        };
        let old = std::mem::replace(self, new);
        old.idle.iter().map(|c| c.id).collect()
    }

    /// Whether a connection to that life of the server is counted here. A server that began a new
    /// life has a new pool; what was under way to the earlier life is not part of it.
    pub fn counts(&self, life: u64) -> bool {
        self.life == life || planted(Bug::IncarnationIgnored)
    }

    pub fn opened(&mut self, life: u64) {
        if self.counts(life) {
            self.opening = self.opening.saturating_sub(1);
            self.out += 1;
        }
    }

    pub fn not_opened(&mut self, life: u64) {
        if self.counts(life) {
            self.opening = self.opening.saturating_sub(1);
        }
    }

    /// Takes a connection back; one to an earlier life of the server is returned, to be closed.
    pub fn put(&mut self, connection: Conn) -> Option<Conn> {
        if !self.counts(connection.life) {
            return Some(connection);
        }
        self.out = self.out.saturating_sub(1);
        self.idle.push(connection);
        None
    }

    pub fn lost(&mut self, life: u64) {
        if self.counts(life) {
            self.out = self.out.saturating_sub(1);
        }
    }

    pub fn surplus(&mut self, now: Time, r: &Rules) -> Vec<u64> {
        let over = self.total().saturating_sub(self.share) as usize;
        let n = over.min(self.idle.len());
        let mut v: Vec<u64> = self.idle.drain(..n).map(|c| c.id).collect();
        let (old, keep) = std::mem::take(&mut self.idle)
            .into_iter()
            .partition(|c| now > c.idle + r.keep);
        self.idle = keep;
        let old: Vec<Conn> = old;
        v.extend(old.iter().map(|c| c.id));
        v
    }
}
