//! Runs a script on one of the two example deployments, and checks at its end that the fleet came to rest: each
//! database with a server left takes writes again.

use crate::fault::Plant;
use crate::scripts::Script;
use crate::sim::*;
use tenet::base::*;

pub const ALUMNI: &str = include_str!("../../examples/alumni.json");
pub const THESSALY: &str = include_str!("../../examples/thessaly.json");

pub fn run(sc: &Script, place: &str, seed: u64, plant: Plant) -> Sim {
    run_with(sc, place, seed, plant, 0)
}

pub fn run_with(sc: &Script, place: &str, seed: u64, plant: Plant, nodes: usize) -> Sim {
    let thessaly = place == "thessaly";
    let setup = Setup {
        text: if thessaly { THESSALY } else { ALUMNI }.into(),
        nodes: match nodes {
            0 if thessaly => 9,
            0 => 12,
            n => n,
        },
        sessions: 36,
        seed,
        pause: 250,
        sync_ms: if thessaly { 4 } else { 25 },
        region_ms: if thessaly { 8 } else { 12 },
    };
    let mut s = Sim::new(&setup);
    s.plant = plant;
    let f = (sc.faults)(&mut s);
    s.script(&f);
    s.run(sc.end);
    s.at_rest(sc.end);
    s
}

impl Sim {
    pub(crate) fn at_rest(&mut self, end: Time) {
        let before = end.saturating_sub(4000);
        for d in self.cfg.databases.keys() {
            let served = self.served_since(d, before)
                || self.history.events.iter().any(|e| {
                    e.end > before
                        && e.out == guise::check::Out::Kept
                        && e.class == guise::mix::Class::Write
                        && e.key.starts_with(d.as_str())
                });
            let off = |n: &String| {
                self.history
                    .off
                    .iter()
                    .any(|o| o.server == *n && o.until > end)
            };
            let alive = self
                .world
                .servers
                .iter()
                .filter(|s| s.db == *d && s.up && !off(&s.name))
                .count();
            if !served && alive > 1 {
                let tell = |s: &guise::world::Srv| {
                    format!(
                        "{} up {} leads {} leaving {} stalled {} follows {:?}",
                        s.name, s.up, s.leads, s.leaving, s.stalled, s.follows
                    )
                };
                let v: Vec<String> = self
                    .world
                    .servers
                    .iter()
                    .filter(|s| s.db == *d)
                    .map(tell)
                    .collect();
                self.watch.faults.push(format!(
                    "away: {d} took no write in the last 4 s: {}",
                    v.join("; ")
                ));
            }
        }
        let loss = self.watch.loss_at;
        for d in self
            .cfg
            .databases
            .keys()
            .filter(|_| loss > 0 && self.termed.is_none())
        {
            let back = self.history.events.iter().filter(|e| {
                e.start > loss
                    && e.out == guise::check::Out::Kept
                    && e.class == guise::mix::Class::Write
                    && e.key.starts_with(d.as_str())
            });
            let after = back.map(|e| e.end - loss).min().unwrap_or(Time::MAX);
            self.watch.back_after = self.watch.back_after.max(after);
            if after > 12_000 {
                self.watch.faults.push(format!(
                    "away: {d} was back {after} ms after the total loss"
                ));
            }
        }
        let newest = self.watch.config_marks.iter().copied().max().unwrap_or(0);
        let c = self
            .nodes
            .iter()
            .filter(|n| n.up && !n.disk)
            .filter_map(|n| n.control.as_ref());
        let least = c.map(|c| c.state().cfg_mark).min().unwrap_or(0);
        if least < newest {
            self.watch.faults.push(format!(
                "forgotten: configuration {newest} was accepted, a node has {least}"
            ));
        }
        self.accepts_again();
        self.stop_clients = true;
        self.run(end + 12_000);
    }
}
