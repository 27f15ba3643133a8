//! Counts messages and bytes by kind and processor time of one node.

use std::collections::BTreeMap;
use std::time::Duration;
use tenet::wire::Msg;

/// What one node did: messages and bytes by kind, and processor time.
#[derive(Clone, Default)]
pub struct Tally {
    pub sent: BTreeMap<&'static str, (u64, u64)>,
    pub got: BTreeMap<&'static str, (u64, u64)>,
    pub polls: u64,
    pub poll: Duration,
    pub codec: Duration,
    pub worst: Duration,
}

pub fn kind(m: &Msg) -> &'static str {
    match m {
        Msg::Probe { .. } | Msg::ProbeFor { .. } | Msg::ProbeOf { .. } => "probe",
        Msg::ProbeAck { .. } => "probe-ack",
        Msg::Speaks { .. } => "speaks",
        Msg::Refresh { .. } => "refresh",
        Msg::Fresh { .. } => "fresh",
        Msg::Nudge { .. } => "nudge",
        Msg::Sights { .. } => "sights",
        Msg::Append { .. } | Msg::Have { .. } => "chain",
        Msg::SnapshotAsk { .. } | Msg::SnapshotOffer { .. } | Msg::SnapshotPart { .. } => {
            "snapshot"
        }
        Msg::Propose { .. } | Msg::Outcome { .. } => "propose",
        Msg::TailAsk { .. } | Msg::TailGrant { .. } | Msg::TailGive { .. } => "tail-permit",
        Msg::Carry { .. } | Msg::Carried { .. } | Msg::Clean { .. } => "traffic",
        _ => "view",
    }
}

fn add(m: &mut BTreeMap<&'static str, (u64, u64)>, k: &'static str, n: u64, bytes: u64) {
    let e = m.entry(k).or_default();
    *e = (e.0 + n, e.1 + bytes);
}

fn total(m: &BTreeMap<&'static str, (u64, u64)>) -> (u64, u64) {
    m.values().fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
}

impl Tally {
    pub fn send(&mut self, k: &'static str, bytes: usize) {
        add(&mut self.sent, k, 1, bytes as u64);
    }

    pub fn take(&mut self, k: &'static str, bytes: usize) {
        add(&mut self.got, k, 1, bytes as u64);
    }

    pub fn ran(&mut self, d: Duration) {
        self.polls += 1;
        self.poll += d;
        self.worst = self.worst.max(d);
    }

    pub fn join(&mut self, o: &Tally) {
        o.sent
            .iter()
            .for_each(|(k, v)| add(&mut self.sent, k, v.0, v.1));
        o.got
            .iter()
            .for_each(|(k, v)| add(&mut self.got, k, v.0, v.1));
        self.polls += o.polls;
        self.poll += o.poll;
        self.codec += o.codec;
        self.worst = self.worst.max(o.worst);
    }

    /// Messages and bytes, out and in.
    pub fn totals(&self) -> ((u64, u64), (u64, u64)) {
        (total(&self.sent), total(&self.got))
    }
}

/// Resident set in bytes, from /proc/self/statm with pages of 4096; 0 where there is none.
pub fn resident() -> u64 {
    let s = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    s.split_whitespace()
        .nth(1)
        .and_then(|w| w.parse::<u64>().ok())
        .unwrap_or(0)
        * 4096
}
