//! Planned work and lost servers: labels, evacuations, drains, restarts and stops of nodes, each with the check of
//! when its effect must have been seen.

use crate::fault::Fault;
use crate::sim::*;
use guise::check::Off;
use guise::mix::Class;
use serde_json::Value;
use tenet::control::In;
use tenet::drain::Drain;
use tenet::front::FrontIn;
use tenet::grace::Grace;
use tenet::rules::{Labelled, Rule};
use tenet::state::Op;

impl Sim {
    pub(crate) fn relabel(&mut self, server: String) {
        let mut c = self.cfg.clone();
        let class = c
            .kinds
            .values()
            .find_map(|k| k.labels.get("class").cloned())
            .unwrap_or_default();
        c.servers.insert(
            server.clone(),
            Labelled {
                labels: [("tier".to_string(), "spare".to_string())].into(),
            },
        );
        c.rules.push(Rule {
            name: "spare".into(),
            kinds: format!("class={class}"),
            rank: 1,
            servers: Some("tier!=spare".into()),
            fresh: None,
        });
        let (text, base) = (
            serde_json::to_string(&c).unwrap_or_default(),
            self.watch.config_base,
        );
        let k = self.operator(Op::Config { base, text });
        self.watch.config_calls.push(k);
        self.watch.spared = Some((k, server, u64::MAX));
    }

    pub(crate) fn spared(&mut self, c: usize, class: Class, start: u64, v: &Value) {
        let Class::Within(b) = class else { return };
        let server = v["server"].as_str().unwrap_or("").to_string();
        self.watch.read_at.push((start, server.clone()));
        let Some((_, s, at)) = self.watch.spared.clone() else {
            return;
        };
        if server == s && start > at.saturating_add(3000) {
            self.watch.faults.push(format!(
                "labels: a read went to {s} at {start}, its labels were changed at {at}"
            ));
        }
        let i = self.clients[c].node;
        let local = self.nodes[i].local(self.now);
        let told = self.nodes[i]
            .front
            .as_ref()
            .map(|f| f.verdicts(local)["servers"][&server]["reads"].clone());
        let mine = told
            .as_ref()
            .and_then(|r| r.as_object())
            .and_then(|m| m.values().find(|k| k["bound_ms"] == b));
        let stale = mine
            .and_then(|k| k["why"].as_str())
            .is_some_and(|w| w.contains("ago"));
        self.watch.agreed += 1;
        if start > at.saturating_add(3000) && mine.is_none_or(|k| k["may"] != true && !stale) {
            self.watch.faults.push(format!(
                "verdict: a read went to {server}, node {i} says {mine:?}"
            ));
        }
    }

    pub(crate) fn evacuate(&mut self, domain: String, on: bool) {
        if !on {
            let (d, now) = (domain.clone(), self.now);
            let mine = |s: &str| {
                self.world
                    .ix(s)
                    .is_some_and(|i| self.world.servers[i].domain == d)
            };
            self.history
                .off
                .iter_mut()
                .filter(|o| o.bound == 5000 && mine(&o.server))
                .for_each(|o| o.until = o.until.min(now));
        }
        let call = self.operator(Op::Evacuate {
            domain: domain.clone(),
            on,
        });
        self.watch.evac_calls.insert(call, (domain, on));
    }

    pub(crate) fn evacuation_told(&mut self, call: u64, accepted: bool) {
        let Some((d, on)) = self.watch.evac_calls.remove(&call) else {
            return;
        };
        let since = self.now;
        if !accepted {
            return self.at(since + 200, Ev::Fault(Fault::Evacuate(d, on)));
        }
        let gone = self.world.servers.iter().filter(|s| on && s.domain == d);
        self.history.off.extend(gone.map(|s| Off {
            server: s.name.clone(),
            since,
            until: u64::MAX,
            bound: 5000,
        }));
    }

    pub(crate) fn restart(&mut self, s: usize) {
        match self.termed.as_mut() {
            Some(t) => {
                t.fleet.servers[s].up = true;
                let w = &mut self.world.servers[s];
                (w.up, w.leaving, w.stalled) = (true, false, false);
            }
            None => self.world.restart(self.now, s),
        }
        self.stays(s);
    }

    pub(crate) fn crash(&mut self, s: usize) {
        self.world.crash(s);
        self.termed.iter_mut().for_each(|t| t.fleet.crash(s));
    }

    pub(crate) fn stays(&mut self, s: usize) {
        let (n, now) = (self.world.servers[s].name.clone(), self.now);
        self.history
            .off
            .iter_mut()
            .filter(|o| o.server == n && o.bound == 7000)
            .for_each(|o| o.until = o.until.min(now));
    }

    pub(crate) fn stop(&mut self, i: usize) {
        let n = &mut self.nodes[i];
        if !n.up || n.drain.is_some() {
            return;
        }
        n.drain = Some(Drain::new(n.local(self.now), Grace::default()));
        let (life, now) = (n.life, self.now);
        self.control(i, life, In::Stopping);
        self.front(i, life, FrontIn::Stopping);
        self.at(now + 50, Ev::Drain(i, life));
    }

    pub(crate) fn draining(&mut self, i: usize, life: u32) {
        let n = &self.nodes[i];
        if n.life != life || !n.up {
            return;
        }
        if n.frozen {
            return self.at(self.now + 50, Ev::Drain(i, life));
        }
        let busy = self
            .calls
            .values()
            .filter(|c| c.1 == i && c.2 == life)
            .count();
        let f = n.front.as_ref();
        let (empty, drained) = (
            f.is_none_or(|f| f.empty()),
            f.is_none_or(|f| f.drained()) && n.control.as_ref().is_none_or(|c| c.left()),
        );
        let done = n
            .drain
            .as_ref()
            .is_some_and(|d| d.done(n.local(self.now), empty, drained, busy));
        if !done {
            return self.at(self.now + 50, Ev::Drain(i, life));
        }
        if busy > 0 && self.nodes[i].thawed + 5000 < self.now {
            self.watch.faults.push(format!(
                "cut: the planned stop of node {i} cut off {busy} answers"
            ));
        }
        self.kill(i);
    }
}
