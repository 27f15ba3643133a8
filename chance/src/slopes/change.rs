//! Measures a configuration change through a fleet, a snapshot for a joining node, and the loss of many nodes.

use crate::slopes::fit::{spread, Spread};
use crate::slopes::fleet::{timed, Fleet, Node};
use crate::slopes::scene::*;
use std::time::Duration;
use tenet::base::*;
use tenet::config::Config;
use tenet::control::In;
use tenet::snapshot::*;
use tenet::state::{Op, State};

/// One configuration change through a running fleet. Times in ms of virtual time, from the ask.
pub struct Change {
    pub text: usize,
    pub took: Spread,
    pub missing: usize,
    pub head: Duration,
    pub tail_out: u64,
    pub node_in: u64,
}

pub fn change(f: &mut Fleet, turn: u32, wait: Time) -> Change {
    let text = f.sc.text(turn);
    let size = text.len();
    let base = match &f.nodes[0] {
        Node::Real(c) => c.state().cfg_mark,
        _ => 0,
    };
    f.forced.iter_mut().for_each(|t| *t = 0);
    f.reset();
    let at = f.now;
    f.poll(
        VOTERS,
        In::Ask {
            call: 1,
            id: None,
            op: Op::Config { base, text },
        },
    );
    f.run(at + wait);
    let real: Vec<usize> = (VOTERS..f.nodes.len())
        .filter(|i| matches!(f.nodes[*i], Node::Real(_)))
        .collect();
    let took: Vec<f64> = real
        .iter()
        .filter(|i| f.forced[**i] > 0)
        .map(|i| (f.forced[*i] - at) as f64)
        .collect();
    let bytes = |i: usize, k: &str| f.tally[i].got.get(k).map_or(0, |v| v.1);
    Change {
        text: size,
        missing: real.len() - took.len(),
        took: spread(&took),
        head: f.tally[0].worst,
        tail_out: f.tally[VOTERS - 1].totals().0 .1,
        node_in: real.iter().map(|i| bytes(*i, "fresh")).sum::<u64>() / real.len().max(1) as u64,
    }
}

/// A snapshot of the state to a joining node: bytes, then encoding, decoding and reading the configuration.
pub struct Joined {
    pub snapshot: usize,
    pub text: usize,
    pub write: Duration,
    pub read: Duration,
    pub parse: Duration,
}

pub fn joined(st: &State) -> Joined {
    let mut sender = SnapshotSender::default();
    let (id, write) = timed(|| sender.offer(1, st, 0));
    let (_, read) = timed(|| read_all(&mut sender, id));
    let (_, parse) = timed(|| Config::parse(&st.cfg).is_ok());
    Joined {
        snapshot: id.length as usize,
        text: st.cfg.len(),
        write,
        read,
        parse,
    }
}

fn read_all(sender: &mut SnapshotSender, id: SnapshotId) -> bool {
    let mut receiver = SnapshotReceiver::default();
    let mut next = receiver.offered(1, id).map(|offset| (id, offset));
    while let Some(part) = next.and_then(|(id, offset)| sender.part(1, id, offset)) {
        next = match receiver.take(1, &part) {
            Received::More { id, offset } => Some((id, offset)),
            Received::Whole(_) => return true,
            _ => None,
        };
    }
    false
}

/// Ten followers die at once: ms until the head's table has each as not alive, and how many it never had.
pub fn loss(f: &mut Fleet, wait: Time) -> (Vec<f64>, usize) {
    let at = f.now;
    let n = f.nodes.len() - VOTERS;
    let v: Vec<usize> = (0..LOST.min(n / 3))
        .map(|k| VOTERS + k * n / LOST.min(n / 3))
        .collect();
    for i in &v {
        f.nodes[*i] = Node::Dead;
        f.victims.push(seat(*i).id);
    }
    while f.now < at + wait && f.seen_off.len() < v.len() {
        f.run(f.now + 1000);
    }
    let took = f.seen_off.values().map(|t| (t - at) as f64).collect();
    (took, v.len() - f.seen_off.len())
}

const LOST: usize = 10;
