//! What a run notes beside the history: operators' orders and their outcomes, when configurations were adopted,
//! which faults found their target. Broken rules are collected here.

use crate::fault::Fault;
use crate::sim::*;
use std::collections::BTreeMap;
use tenet::base::*;
use tenet::control::*;
use tenet::kind::Kind;
use tenet::state::{Op, Verdict};

#[derive(Default)]
pub struct Watcher {
    pub faults: Vec<String>,
    pub accepted: Vec<(Time, Mark)>,
    pub config_base: Mark,
    pub config_calls: Vec<u64>,
    pub config_marks: Vec<Mark>,
    pub bad_sent: Vec<u64>,
    pub stale_sent: Vec<u64>,
    pub slowest_adopt: Time,
    pub tiers: BTreeMap<(usize, usize), Vec<Time>>,
    pub loss_at: Time,
    pub back_after: Time,
    pub spared: Option<(u64, String, Time)>,
    pub agreed: u64,
    pub read_at: Vec<(Time, String)>,
    pub evac_calls: BTreeMap<u64, (String, bool)>,
    pub vain: BTreeMap<String, u64>,
    pub took: BTreeMap<String, u64>,
    pub planned: Vec<Time>,
    pub unplanned: bool,
    pub rough: bool,
    pub heal_at: Time,
    pub healed: BTreeMap<usize, Time>,
    pub races: crate::races::Races,
    pub release: crate::rolls::Release,
    /// Strikes right after the next acknowledged configuration.
    pub after_ack: Option<Fault>,
    /// A configuration must be acknowledged after it; 0: none need be.
    pub accepts_after: Time,
}

const BAD: &str = r#"{"name":"x","domains":{},"databases":{},"kinds":{}}"#;

impl Sim {
    pub fn operator(&mut self, op: Op) -> u64 {
        let up: Vec<usize> = self
            .nodes
            .iter()
            .filter(|n| n.up && !n.frozen)
            .map(|n| n.i)
            .collect();
        self.next_call += 1;
        let call = self.next_call;
        if up.is_empty() {
            return call;
        }
        let i = up[self.roll(up.len() as u64) as usize];
        let life = self.nodes[i].life;
        self.at(
            self.now + 1,
            Ev::Control(i, life, In::Ask { call, id: None, op }),
        );
        call
    }

    pub fn configure(&mut self) {
        if self.termed.is_some() {
            return self.publish();
        }
        let mut c = self.cfg.clone();
        c.timeouts.patience_ms = 2500 + self.watch.accepted.len() as u64;
        let text = serde_json::to_string(&c).unwrap_or_default();
        let base = self.watch.config_base;
        let k = self.operator(Op::Config { base, text });
        self.watch.config_calls.push(k);
    }

    pub fn stale_configure(&mut self) {
        let text = self.text.clone();
        let base = self.watch.config_base + 7_000_000;
        let k = self.operator(Op::Config { base, text });
        self.watch.stale_sent.push(k);
    }

    pub fn bad_configure(&mut self) {
        let base = self.watch.config_base;
        let k = self.operator(Op::Config {
            base,
            text: BAD.into(),
        });
        self.watch.bad_sent.push(k);
    }

    pub fn operator_told(&mut self, call: u64, r: Reply) {
        if call == 0 {
            return;
        }
        if self.race_told(call, &r) || self.order_told(call, &r) {
            return;
        }
        let ok = matches!(&r, Reply::Verdict(v) if v.reject.is_none());
        self.evacuation_told(call, ok);
        let (bad, stale) = (
            self.watch.bad_sent.contains(&call),
            self.watch.stale_sent.contains(&call),
        );
        match r {
            Reply::Verdict(Verdict { reject: None, .. }) if bad || stale => {
                self.watch.faults.push(format!(
                    "configuration: one that is {} was accepted",
                    if bad { "bad" } else { "stale" }
                ));
            }
            Reply::Verdict(Verdict { mark, reject: None }) => {
                self.watch.accepted.push((self.now, mark));
                let now = self.now;
                self.watch
                    .spared
                    .iter_mut()
                    .filter(|s| s.0 == call)
                    .for_each(|s| s.2 = now);
                if self.watch.config_calls.contains(&call) {
                    self.watch.config_base = self.watch.config_base.max(mark);
                    self.watch.config_marks.push(mark);
                    self.strike_after_ack();
                }
            }
            Reply::Verdict(Verdict {
                reject: Some(r), ..
            }) if bad && r.kind != Kind::BadConfig => {
                self.watch
                    .faults
                    .push(format!("configuration: a bad one was answered with {r}"));
            }
            _ => (),
        }
    }

    fn strike_after_ack(&mut self) {
        if let Some(f) = self.watch.after_ack.take() {
            let at = self.now + self.roll(4);
            self.at(at, Ev::Fault(f));
        }
    }

    pub fn look(&mut self) {
        self.look_at_rolls();
        let now = self.now;
        for n in self.nodes.iter_mut().filter(|n| n.up && !n.frozen) {
            let local = n.local(now);
            let Some(f) = n.front.as_ref().filter(|f| f.allows(local)) else {
                continue;
            };
            let Some(t) = f.t.as_ref() else { continue };
            if t.mark < n.mark {
                self.watch.faults.push(format!(
                    "mark: node {} fell from {} to {}",
                    n.i, n.mark, t.mark
                ));
            }
            n.mark = t.mark;
            for (at, m) in &self.watch.accepted {
                if t.mark < *m && now > at + 3000 {
                    self.watch.faults.push(format!(
                        "configuration: node {} serves at {} without mark {m} of {at}",
                        n.i, now
                    ));
                }
                if t.mark < *m {
                    self.watch.slowest_adopt = self.watch.slowest_adopt.max(now - at);
                }
            }
        }
        self.watch.faults.truncate(50);
    }

    pub fn faults(&self) -> Vec<String> {
        if self.termed.is_some() {
            return self.judged().faults;
        }
        let mut v = guise::check::check(&self.history, &self.world);
        v.extend(self.watch.faults.clone());
        v
    }
}
