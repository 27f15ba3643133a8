//! What scripts pick by chance: databases, domains, and the cuts between them.

use crate::fault::Fault::{self, Cut};
use crate::sim::Sim;
use tenet::base::Time;

pub(crate) fn db(s: &mut Sim) -> String {
    let v: Vec<String> = s.cfg.databases.keys().cloned().collect();
    v[s.roll(v.len() as u64) as usize].clone()
}

pub(crate) fn domain(s: &mut Sim) -> String {
    let v: Vec<String> = s.cfg.domains.keys().cloned().collect();
    v[s.roll(v.len() as u64) as usize].clone()
}

pub(crate) fn others(s: &Sim, d: &str) -> Vec<String> {
    s.cfg.domains.keys().filter(|x| *x != d).cloned().collect()
}

pub(crate) fn apart(s: &Sim, d: &str, both: bool, t: Time) -> Vec<(Time, Fault)> {
    let mut v = Vec::new();
    for o in others(s, d) {
        v.push((t, Cut(d.into(), o.clone())));
        if both {
            v.push((t, Cut(o, d.into())));
        }
    }
    v
}
