use crate::mix::Class;
use crate::world::World;
use std::collections::BTreeMap;

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Out {
    Kept,
    Nothing,
    Unknown,
}

#[derive(Clone, Debug)]
pub struct Event {
    pub start: u64,
    pub end: u64,
    pub session: u64,
    pub class: Class,
    pub id: String,
    pub key: String,
    pub value: i64,
    pub out: Out,
}

#[derive(Clone, Debug)]
pub struct Off {
    pub server: String,
    pub since: u64,
    pub until: u64,
    pub bound: u64,
}

#[derive(Default)]
pub struct History {
    pub events: Vec<Event>,
    pub hops: Vec<(String, Vec<String>, Vec<String>)>,
    pub settings: Vec<(String, String)>,
    pub off: Vec<Off>,
    pub kinds: BTreeMap<String, u64>,
}

fn last<'a>(w: &'a World, db: &str) -> Option<&'a crate::world::Srv> {
    w.last_leader.get(db).map(|i| &w.servers[*i])
}

pub fn check(h: &History, w: &World) -> Vec<String> {
    let mut f: Vec<String> = w.faults.clone();
    writes(h, w, &mut f);
    reads(h, &mut f);
    if w.over_cap > 0 {
        f.push(format!(
            "caps: servers had to reject {} connections over their cap",
            w.over_cap
        ));
    }
    for (who, n) in w
        .cold
        .iter()
        .filter(|(_, n)| w.cold_limit > 0 && **n > w.cold_limit)
    {
        f.push(format!(
            "cold: {who} had {n} connections within 500 ms, {} is warm enough",
            w.cold_limit
        ));
    }
    for (allowed, path, _) in h.hops.iter().map(|(_, p, a)| (a, p, 0)) {
        if let Some(r) = path.iter().find(|r| !allowed.contains(r)) {
            f.push(format!(
                "homes: a request went through {r}, allowed were {allowed:?}"
            ));
        }
    }
    for (want, got) in h.settings.iter().filter(|(a, b)| a != b) {
        f.push(format!(
            "settings: a client that set '{want}' ran under '{got}'"
        ));
    }
    for o in &h.off {
        let i = w.ix(&o.server);
        let late: Vec<u64> = w
            .worked
            .iter()
            .filter(|(t, s)| Some(*s) == i && *t > o.since + o.bound && *t < o.until)
            .map(|x| x.0)
            .collect();
        if let (Some(a), Some(z)) = (late.first(), late.last()) {
            let n = late.len();
            f.push(format!(
                "leaving: {} got {n} statements more than {} ms after {}, at {a} to {z}",
                o.server, o.bound, o.since
            ));
        }
    }
    f
}

fn writes(h: &History, w: &World, f: &mut Vec<String>) {
    let mut count: BTreeMap<&str, u32> = BTreeMap::new();
    let mut values: BTreeMap<String, i64> = BTreeMap::new();
    let dbs: Vec<&String> = w.last_leader.keys().collect();
    for s in dbs.iter().filter_map(|d| last(w, d)) {
        for l in &s.data.log {
            *count.entry(&l.id).or_default() += 1;
            for o in &l.ops {
                let (k, v) = (
                    o["key"].as_str().unwrap_or(""),
                    o["value"].as_i64().unwrap_or(0),
                );
                let e = values.entry(k.into()).or_insert(v);
                if v < *e {
                    f.push(format!(
                        "late: {k} went back from {e} to {v} in the log of {}",
                        s.name
                    ));
                }
                *e = v;
            }
        }
    }
    for e in h.events.iter().filter(|e| e.class == Class::Write) {
        let n = count.get(e.id.as_str()).copied().unwrap_or(0);
        match e.out {
            Out::Kept if n == 0 => f.push(format!(
                "lost: {} was acknowledged at {} and is gone",
                e.id, e.end
            )),
            Out::Nothing if n > 0 => f.push(format!(
                "kept: {} was told nothing kept at {} and is there",
                e.id, e.end
            )),
            _ if n > 1 => f.push(format!("twice: {} took effect {n} times", e.id)),
            _ => (),
        }
    }
}

fn reads(h: &History, f: &mut Vec<String>) {
    let mut acked: BTreeMap<&str, Vec<(u64, i64, u64)>> = BTreeMap::new();
    for e in h
        .events
        .iter()
        .filter(|e| e.class == Class::Write && e.out == Out::Kept)
    {
        acked
            .entry(&e.key)
            .or_default()
            .push((e.end, e.value, e.session));
    }
    for e in h
        .events
        .iter()
        .filter(|e| e.class != Class::Write && e.out == Out::Kept)
    {
        let v = acked.get(e.key.as_str());
        let need = |before: u64, own: bool| {
            v.into_iter()
                .flatten()
                .filter(|(t, _, s)| *t <= before && (!own || *s == e.session))
                .map(|(_, x, _)| *x)
                .max()
                .unwrap_or(0)
        };
        let (want, rule) = match e.class {
            Class::Current => (need(e.start, false), "current"),
            Class::Within(b) => (need(e.start.saturating_sub(b), false), "behind"),
            Class::Own(b) => (
                need(e.start, true).max(need(e.start.saturating_sub(b), false)),
                "own",
            ),
            Class::Write => (0, ""),
        };
        if e.value < want {
            f.push(format!(
                "{rule}: a read of {} at {} got {}, acknowledged was {want}",
                e.key, e.start, e.value
            ));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::world::Shape;
    use serde_json::json;

    fn event(class: Class, id: &str, value: i64, at: u64, out: Out) -> Event {
        Event {
            start: at,
            end: at + 1,
            session: 1,
            class,
            id: id.into(),
            key: "k".into(),
            value,
            out,
        }
    }

    fn world() -> World {
        World::new(&Shape {
            dbs: vec![("d".into(), vec!["a".into()], 2)],
            lag: 60,
        })
    }

    #[test]
    fn each_planted_fault_is_found_by_its_rule() {
        let plant = |rule: &str, f: &dyn Fn(&mut History, &mut World)| {
            let (mut h, mut w) = (History::default(), world());
            let put = |w: &mut World, id: &str, v: i64| {
                let c = w.handle(1, 0, "/connect", &json!({})).unwrap()["conn"].clone();
                w.handle(1, 0, "/statement", &json!({"conn": c, "id": id, "write": true, "body": {"op": "put", "key": "k", "value": v}})).unwrap();
                w.handle(1, 0, "/close", &json!({ "conn": c })).unwrap();
            };
            put(&mut w, "a", 1);
            put(&mut w, "b", 2);
            h.events.push(event(Class::Write, "a", 1, 10, Out::Kept));
            h.events.push(event(Class::Write, "b", 2, 20, Out::Kept));
            h.events.push(event(Class::Current, "", 2, 30, Out::Kept));
            assert_eq!(check(&h, &w), Vec::<String>::new());
            f(&mut h, &mut w);
            let got = check(&h, &w);
            assert!(got.iter().any(|s| s.starts_with(rule)), "{rule}: {got:?}");
        };
        plant("lost", &|h, _| {
            h.events.push(event(Class::Write, "x", 3, 40, Out::Kept))
        });
        plant("kept", &|h, _| h.events[1].out = Out::Nothing);
        plant("twice", &|_, w| {
            let l = w.servers[0].data.log[1].clone();
            w.servers[0].data.put_line(l);
        });
        plant("late", &|_, w| {
            let l = w.servers[0].data.log[0].clone();
            w.servers[0].data.put_line(l);
        });
        plant("current", &|h, _| h.events[2].value = 1);
        plant("behind", &|h, _| {
            h.events
                .push(event(Class::Within(1500), "", 1, 2000, Out::Kept))
        });
        plant("own", &|h, _| {
            h.events.push(event(Class::Own(2500), "", 1, 40, Out::Kept))
        });
        plant("homes", &|h, _| {
            h.hops.push(("".into(), vec!["x".into()], vec!["y".into()]))
        });
        plant("settings", &|h, _| {
            h.settings.push(("a".into(), "b".into()))
        });
        plant("leaving", &|h, w| {
            w.worked.push((9000, 0));
            h.off.push(Off {
                server: "d-0".into(),
                since: 1000,
                until: u64::MAX,
                bound: 7000,
            });
        });
        plant("caps", &|_, w| w.over_cap = 1);
        plant("cold", &|_, w| {
            w.cold_limit = 5;
            w.cold.insert("d-0@1".into(), 6);
        });
        plant("two servers", &|_, w| {
            w.promote(50, "d-1").unwrap();
            let c = w.handle(60, 0, "/connect", &json!({})).unwrap()["conn"].clone();
            w.handle(60, 0, "/statement", &json!({"conn": c, "id": "z", "write": true, "body": {"op": "put", "key": "q", "value": 1}})).unwrap();
        });
    }
}
