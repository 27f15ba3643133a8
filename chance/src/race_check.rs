//! What must hold of orders that race, whatever the operators heard.
use crate::races::{Order, Outcome};
use crate::sim::Sim;
use std::collections::{BTreeMap, BTreeSet};
use tenet::kind::Reject;
use tenet::state::Op;

/// What the control chain has answered, also where the answer was lost.
#[derive(Default)]
pub struct RaceBook {
    /// The document confirmed under each version.
    documents: BTreeMap<u64, u64>,
    confirmed: BTreeSet<usize>,
    pub confirmations: usize,
    pub refusals: usize,
    /// Looks at a zone that were left out, for an order of it had no clear answer.
    pub unclear: usize,
}

impl RaceBook {
    /// Notes an answer to order `k`, and returns what it breaks.
    pub(crate) fn answered(&mut self, k: usize, op: &Op, r: Option<&Reject>) -> Vec<String> {
        let Some(reject) = r else {
            return self.confirm(k, op);
        };
        if reject.kind.row().code >= 500 {
            return Vec::new();
        }
        self.refusals += 1;
        let mut found = Vec::new();
        if self.confirmed.contains(&k) {
            found.push(format!(
                "race: order {k} was confirmed, then refused: {reject}"
            ));
        }
        if matches!(op, Op::Hold { .. }) {
            found.push(format!("race: evacuation {k} was refused: {reject}"));
        }
        found
    }

    fn confirm(&mut self, k: usize, op: &Op) -> Vec<String> {
        self.confirmations += 1;
        self.confirmed.insert(k);
        let Op::Publish {
            version, document, ..
        } = op
        else {
            return Vec::new();
        };
        let first = *self.documents.entry(*version).or_insert(*document);
        match first == *document {
            true => Vec::new(),
            false => vec![format!(
                "race: two documents were confirmed under version {version}"
            )],
        }
    }
}

impl Sim {
    pub(crate) fn expect_evacuated(&mut self, zone: &str, expected: bool) {
        let told = |o: &&Order| {
            matches!(&o.op, Op::Hold { domain, .. } if domain == zone)
                && o.outcome != Outcome::Confirmed
        };
        if self.watch.races.orders.iter().any(|o| told(&o)) {
            self.watch.races.book.unclear += 1;
            return;
        }
        let wrong = self.nodes.iter().filter(|n| {
            let control = n.control.as_ref().filter(|_| n.up);
            control.is_some_and(|c| c.state().evacuated.contains_key(zone) != expected)
        });
        let nodes: Vec<usize> = wrong.map(|n| n.i).collect();
        if !nodes.is_empty() {
            let now = self.now;
            self.watch.faults.push(format!(
                "race: at {now} nodes {nodes:?} hold zone {zone} evacuated {}, its orders say {expected}",
                !expected
            ));
        }
    }

    pub(crate) fn conclude_races(&mut self) {
        let book = &self.watch.races.book;
        let newest = book.documents.last_key_value();
        let mut found = Vec::new();
        for (k, order) in self.watch.races.orders.iter().enumerate() {
            let published = matches!(order.op, Op::Publish { .. });
            if published && order.outcome == Outcome::Open {
                found.push(format!("race: configuration {k} never had a clear answer"));
            }
        }
        for n in self.nodes.iter().filter(|n| n.up) {
            let Some(state) = n.control.as_ref().map(|c| c.state()) else {
                continue;
            };
            let held = tenet::base::digest(state.cfg.as_bytes());
            if newest.is_some_and(|(v, d)| (*v, *d) != (state.cfg_version, held)) {
                found.push(format!(
                    "race: node {} holds version {} with another document than was confirmed",
                    n.i, state.cfg_version
                ));
            }
        }
        self.watch.faults.extend(found);
    }
}
