//! One server: its log, its connections, and the rows that readers see.

use super::{Conn, Line, NUMBER};
use std::collections::BTreeMap;
use tenet::base::digest;

/// One stand-in server.
#[derive(Default)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Name of its database.
    pub service: String,
    /// Whether it runs.
    pub up: bool,
    /// Whether it receives nothing from the leader.
    pub stalled: bool,
    /// Whether it is the leader.
    pub leads: bool,
    /// Newest term that it knows.
    pub term: u64,
    /// What it received.
    pub log: Vec<Line>,
    /// When each entry was received, ms.
    pub got: Vec<u64>,
    /// Number of entries that it shows to readers.
    pub applied: usize,
    /// Rows that follow from the applied entries.
    pub data: BTreeMap<String, String>,
    /// Its open connections.
    pub conns: BTreeMap<u64, Conn>,
    /// Most connections that it accepts.
    pub cap: usize,
    /// Until when it refuses work, ms.
    pub busy: u64,
}

impl Server {
    /// Incarnation, as probes see it.
    pub fn life(&self) -> u64 {
        digest(self.name.as_bytes())
    }

    /// Position of the last entry received; 0 for none.
    pub fn received(&self) -> u64 {
        self.log.last().map_or(0, |line| line.pos)
    }

    /// Position of the last entry that readers see; 0 for none.
    pub fn shown(&self) -> u64 {
        let last = self.applied.checked_sub(1);
        last.map_or(0, |index| self.log[index].pos)
    }

    pub(super) fn apply(&mut self, to: usize) {
        for line in &self.log[self.applied..to] {
            self.data.extend(line.puts.iter().cloned());
        }
        self.applied = to;
    }

    pub(super) fn cut_back(&mut self, len: usize) {
        self.log.truncate(len);
        self.got.truncate(len);
        if self.applied > len {
            self.applied = 0;
            self.data = BTreeMap::new();
            self.apply(len);
        }
    }

    pub(super) fn append(&mut self, now: u64, id: &str, puts: Vec<(String, String)>) {
        let number = self.log.len() as u64 + 1;
        self.log.push(Line {
            pos: (self.term << NUMBER) | number,
            id: id.into(),
            puts,
            at: now,
        });
        self.got.push(now);
        self.apply(self.log.len());
    }
}
