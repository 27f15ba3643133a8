//! Configurations that are read back during the day, at any node, and at its end, at all.

use super::orders::OrderKind;
use crate::sim::{Ev, Sim};
use serde_json::Value;
use std::collections::BTreeMap;
use tenet::base::{Mark, Time};
use tenet::control::In;

/// How long after an acknowledgement a node may still read an older configuration back.
const OLDER_FOR: Time = 3000;
/// How often the configuration is asked for at the end, and the pause between.
const LAST_READS: u64 = 8;
const LAST_READS_PAUSE: Time = 500;

#[derive(Default)]
pub(super) struct ReadBack {
    /// When configurations were acknowledged, and the log index that they are at or below.
    pub confirmed: Vec<(Time, Mark)>,
    /// Readings under way: when each was sent, and to which node.
    calls: BTreeMap<u64, (Time, usize)>,
}

impl Sim {
    /// Asks a node for the configuration that it confirms.
    pub(super) fn read_configuration(&mut self) {
        let node = self.roll(self.nodes.len() as u64) as usize;
        self.read_configuration_at(node, self.now + 1);
    }

    fn read_configuration_at(&mut self, node: usize, at: Time) {
        self.next_call += 1;
        let call = self.next_call;
        self.watch.release.read_back.calls.insert(call, (at, node));
        let show = In::Show {
            call,
            what: "configuration".into(),
            arg: String::new(),
        };
        let life = self.nodes[node].life;
        self.at(at, Ev::Control(node, life, show));
    }

    /// Takes what a node read back; false if nobody of these days asked.
    pub(super) fn configuration_read(&mut self, call: u64, text: &str) -> bool {
        let release = &mut self.watch.release;
        let Some((sent, node)) = release.read_back.calls.remove(&call) else {
            return false;
        };
        let told: Value = serde_json::from_str(text).unwrap_or_default();
        if told["confirmed"] != true {
            return true;
        }
        release.figures.read_back += 1;
        let held = told["mark"].as_u64().unwrap_or(0);
        let due = |(at, _): &&(Time, Mark)| sent > at + OLDER_FOR;
        let confirmed = release.read_back.confirmed.iter().filter(due);
        let newest = confirmed.map(|(_, mark)| *mark).max().unwrap_or(0);
        if held < newest {
            self.watch.faults.push(format!(
                "read back: at {sent} node {node} confirms configuration {held}, \
                 {newest} was acknowledged more than {OLDER_FOR} ms before"
            ));
        }
        true
    }

    pub(super) fn conclude_rolls(&mut self) {
        self.count_unclear();
        for round in 0..LAST_READS {
            for node in 0..self.nodes.len() {
                let at = self.now + round * LAST_READS_PAUSE;
                self.read_configuration_at(node, at);
            }
        }
        self.compare_evacuations();
    }

    /// No zone is evacuated at the end, unless an order of it had no clear answer.
    fn compare_evacuations(&mut self) {
        let orders = &self.watch.release.orders.list;
        let evacuation = |kind: &OrderKind| matches!(kind, OrderKind::Evacuation(..));
        if orders.iter().any(|o| evacuation(&o.kind) && !o.is_clear()) {
            return;
        }
        let evacuated = |i: &usize| {
            let control = self.nodes[*i].control.as_ref();
            control.is_some_and(|control| !control.state().evacuated.is_empty())
        };
        let nodes: Vec<usize> = (0..self.nodes.len()).filter(evacuated).collect();
        if !nodes.is_empty() {
            let fault = format!("acks: nodes {nodes:?} hold a zone evacuated that was taken back");
            self.watch.faults.push(fault);
        }
    }
}
