//! What must never happen on servers of `termed`, judged from outside.
use crate::check::Out;
use crate::mix::Class;
use crate::termed::Fleet;
use std::collections::{BTreeMap, BTreeSet};

pub struct Asked {
    pub start: u64,
    pub session: u64,
    pub service: String,
    pub txn: u64,
    pub text: String,
    pub class: Class,
    pub commits: bool,
    pub shape: Option<String>,
    pub options: BTreeMap<String, String>,
}

pub struct Told {
    pub id: String,
    pub end: u64,
    pub out: Out,
    pub body: String,
}

#[derive(Default)]
pub struct Book {
    pub asked: BTreeMap<String, Asked>,
    pub told: Vec<Told>,
}

#[derive(Default)]
pub struct Found {
    pub faults: Vec<String>,
    pub lost: Vec<(String, u64)>,
}

pub fn judge(b: &Book, f: &Fleet, planned: bool) -> Found {
    let mut v = Found {
        faults: f.faults.clone(),
        lost: Vec::new(),
    };
    ran(b, f, &mut v.faults);
    answers(b, f, &mut v.faults);
    reads(b, f, &mut v.faults);
    let cut: BTreeMap<&str, u64> = f.cut.iter().map(|c| (c.id.as_str(), c.at)).collect();
    for t in b
        .told
        .iter()
        .filter(|t| t.out == Out::Kept && b.asked.get(&t.id).is_some_and(|a| a.commits))
    {
        if let Some(at) = cut.get(t.id.as_str()) {
            v.lost.push((t.id.clone(), *at));
            if planned {
                v.faults.push(format!(
                    "lost: {} was acknowledged at {} and cut back by a planned change at {at}",
                    t.id, t.end
                ));
            }
        }
    }
    let logs: BTreeSet<&str> = f
        .leader
        .values()
        .flat_map(|i| f.servers[*i].log.iter().map(|l| l.id.as_str()))
        .collect();
    let gone = |t: &&Told| {
        t.out == Out::Kept
            && f.kept.iter().any(|k| k.1 == t.id)
            && !logs.contains(t.id.as_str())
            && !cut.contains_key(t.id.as_str())
    };
    v.faults.extend(
        b.told
            .iter()
            .filter(gone)
            .map(|t| format!("lost: {} is in no log and no promotion cut it back", t.id)),
    );
    v
}

fn ran(b: &Book, f: &Fleet, out: &mut Vec<String>) {
    let (mut ours, mut theirs) = (BTreeMap::new(), BTreeMap::new());
    for r in &f.runs {
        let Some(a) = b.asked.get(&r.id).filter(|a| a.text == r.text) else {
            out.push(format!("unasked: a server ran '{} {}'", r.id, r.text));
            continue;
        };
        if a.options != r.options {
            out.push(format!(
                "pinned: {} ran under {:?}, its client set {:?}",
                r.id, r.options, a.options
            ));
        }
        if a.shape != r.shape {
            out.push(format!(
                "pinned: {} ran the shape {:?}, its client prepared {:?}",
                r.id, r.shape, a.shape
            ));
        }
        if (a.txn > 0) != r.txn.is_some() {
            out.push(format!(
                "pinned: {} of transaction {} ran in {:?}",
                r.id, a.txn, r.txn
            ));
        }
        if let (true, Some(t)) = (a.txn > 0, r.txn) {
            let (x, y) = (
                *ours.entry(a.txn).or_insert((r.server, r.conn, t)),
                *theirs.entry(t).or_insert(a.txn),
            );
            if x != (r.server, r.conn, t) || y != a.txn {
                out.push(format!(
                    "pinned: {} of transaction {} ran in that of {y}",
                    r.id, a.txn
                ));
            }
        }
    }
    let mut count: BTreeMap<&str, u32> = BTreeMap::new();
    for (_, id) in &f.kept {
        *count.entry(id).or_default() += 1;
        if b.asked.get(id).is_none_or(|a| !a.commits) {
            out.push(format!("unasked: {id} was committed"));
        }
    }
    out.extend(
        count
            .iter()
            .filter(|c| *c.1 > 1)
            .map(|(id, n)| format!("twice: {id} took effect {n} times")),
    );
}

fn answers(b: &Book, f: &Fleet, out: &mut Vec<String>) {
    let given: BTreeSet<(&str, &str)> = f
        .runs
        .iter()
        .map(|r| (r.id.as_str(), r.body.as_str()))
        .collect();
    let stamps: BTreeMap<&str, &str> = f
        .runs
        .iter()
        .rev()
        .map(|r| (r.body.as_str(), r.id.as_str()))
        .collect();
    let kept: BTreeSet<&str> = f.kept.iter().map(|k| k.1.as_str()).collect();
    for t in &b.told {
        let (id, body) = (t.id.as_str(), t.body.as_str());
        match t.out {
            Out::Kept if !given.contains(&(id, body)) || stamps.get(body) != Some(&id) => {
                out.push(format!("mixed: {id} was answered '{body}'"))
            }
            Out::Nothing if kept.contains(id) => out.push(format!(
                "refused: {id} was told nothing kept at {} and was committed",
                t.end
            )),
            _ => (),
        }
    }
}

fn reads(b: &Book, f: &Fleet, out: &mut Vec<String>) {
    let mut at: BTreeMap<&str, usize> = BTreeMap::new();
    for i in f.leader.values() {
        at.extend(
            f.servers[*i]
                .log
                .iter()
                .enumerate()
                .map(|(n, l)| (l.id.as_str(), n + 1)),
        );
    }
    let mut acked: BTreeMap<&str, Vec<(u64, usize, u64)>> = BTreeMap::new();
    for t in b.told.iter().filter(|t| t.out == Out::Kept) {
        if let (Some(a), Some(n)) = (b.asked.get(&t.id), at.get(t.id.as_str())) {
            acked
                .entry(&a.service)
                .or_default()
                .push((t.end, *n, a.session));
        }
    }
    for r in f.runs.iter().filter(|r| {
        r.text.starts_with("FETCH") || r.shape.as_ref().is_some_and(|s| s.starts_with("FETCH"))
    }) {
        let Some(a) = b.asked.get(&r.id) else {
            continue;
        };
        let need = |before: u64, own: bool| {
            let v = acked.get(a.service.as_str()).into_iter().flatten();
            v.filter(|(t, _, s)| *t < before && (!own || *s == a.session))
                .map(|x| x.1)
                .max()
                .unwrap_or(0)
        };
        let (want, rule) = match a.class {
            Class::Within(m) => (need(a.start.saturating_sub(m), false), "bounded"),
            Class::Own(m) => (
                need(a.start, true).max(need(a.start.saturating_sub(m), false)),
                "owned",
            ),
            _ => (need(a.start, false), "current"),
        };
        if r.holds < want {
            let s = &f.servers[r.server].name;
            out.push(format!(
                "stale: {rule} read {} of {} at {} ran on {s} with {} of {want} commits",
                r.id, a.start, r.at, r.holds
            ));
        }
    }
}
