//! What this node would do with each server now, and why: the status and figures that operators read, and the
//! check whether a replica may serve a bounded read.

use crate::base::*;
use crate::front::Front;
use crate::route;
use crate::table::*;
use serde_json::{json, Map, Value};

#[derive(Clone, PartialEq, Default)]
pub struct Standing {
    text: String,
    at: Time,
}

impl Front {
    pub fn explain(&self, id: &str) -> Vec<String> {
        let v = self
            .traces
            .show(id)
            .and_then(|v| v.as_array().cloned())
            .unwrap_or_default();
        v.iter()
            .map(|s| format!("{:x} +{} {}", self.me, s["at"], s["text"]))
            .collect()
    }

    pub(crate) fn figures(&self) -> Value {
        let opened: u64 = self.pools.iter().map(|p| p.opened).sum();
        let held: u32 = self.pools.iter().map(|p| p.total()).sum();
        json!({"served": self.served, "sessions": self.sessions.len(), "opened": opened,
            "connections": held, "trips": self.trips.len(), "jobs": self.jobs.len(), "transactions": self.txns.len()})
    }

    pub(crate) fn may_read(
        &self,
        now: Time,
        t: &Table,
        db: usize,
        i: usize,
        row: &KindRow,
        bound: Time,
    ) -> Result<Time, String> {
        let (d, s, k) = (&t.dbs[db], &t.servers[i], &self.known[i]);
        let no = [
            (s.off.is_some(), s.off.unwrap_or("")),
            (Some(i) == d.primary, "takes writes; bounded reads spare it"),
            (s.addr == Addr::NONE, "being failed over"),
            (
                !row.sel.matches(&s.labels),
                "the kind's selector leaves it out",
            ),
            (
                !d.can.guards && !k.reach || now < k.shun,
                "this node does not reach it",
            ),
            (
                !d.can.guards && k.life != s.life,
                "its data is not the data it announced",
            ),
        ];
        if let Some((_, w)) = no.iter().find(|n| n.0) {
            return Err(w.to_string());
        }
        if d.can.guards {
            let age = self.marks[db]
                .newest_of(d.epoch)
                .map(|t| now.saturating_sub(t));
            return age
                .filter(|a| a + GUARD_SPARE < bound)
                .ok_or("the primary's position was not seen lately".into());
        }
        match self.proof(now, t, db, i, k.pos) {
            None => Err("no proof of what its log holds".into()),
            Some(a) if a + PROOF_MARGIN < by_slow_clock(bound) => Ok(a),
            Some(a) => Err(format!("its log is proved only as of {a} ms ago")),
        }
    }

    fn reads(&self, now: Time, t: &Table, db: usize, i: usize) -> Value {
        let d = &t.dbs[db];
        let near = route::homes(t, d, None).contains(&t.servers[i].region);
        let mut m = Map::new();
        for r in t.kinds.iter().filter(|r| !r.cfg.writes) {
            let v = match r.cfg.fresh.within_ms {
                None => {
                    json!({"may": Some(i) == d.primary, "why": "current reads go to the primary"})
                }
                Some(b) if Some(i) == d.primary && r.sel.matches(&t.servers[i].labels) => {
                    json!({"may": true, "behind_ms": 0, "bound_ms": b, "why": "the primary, when no replica is recent enough"})
                }
                Some(_) if !near => json!({"may": false, "why": "outside the homes"}),
                Some(b) => match self.may_read(now, t, db, i, r, b) {
                    Ok(a) => json!({"may": true, "behind_ms": a, "bound_ms": b}),
                    Err(w) => json!({"may": false, "bound_ms": b, "why": w}),
                },
            };
            m.insert(r.name.clone(), v);
        }
        Value::Object(m)
    }

    fn writes(&self, now: Time, t: &Table, db: usize, i: usize) -> (bool, String) {
        let d = &t.dbs[db];
        match () {
            _ if d.primary != Some(i) => (false, "not the primary".into()),
            _ if d.phase != "steady" => (false, format!("failover is at '{}'", d.phase)),
            _ if self.new_work[i].is_over(now) => (false, crate::fence::OFF_LONG.into()),
            _ if d.can.confirms && d.heirs.is_empty() => {
                (false, "no replica counts as holding the log yet".into())
            }
            _ => (true, "the primary".into()),
        }
    }

    pub(crate) fn note_standings(&mut self, now: Time) {
        let Some(t) = self.t.clone() else { return };
        let rules = self.rules();
        self.standings
            .resize_with(t.servers.len(), Standing::default);
        for (db, d) in t.dbs.iter().enumerate() {
            for i in &d.servers {
                let (may, why) = self.writes(now, &t, db, *i);
                let warming = self.pools[*i].limit(now, &rules) < self.pools[*i].share;
                let text = format!(
                    "{may} {why} {:?} {warming} {}",
                    t.servers[*i].off, self.known[*i].reach
                );
                if self.standings[*i].text != text {
                    self.standings[*i] = Standing { text, at: now };
                }
            }
        }
    }

    pub fn verdicts(&self, now: Time) -> Value {
        let Some(t) = self.t.as_ref() else {
            return json!({});
        };
        let rules = self.rules();
        let mut m = Map::new();
        for (db, d) in t.dbs.iter().enumerate() {
            for i in &d.servers {
                let (s, p) = (&t.servers[*i], &self.pools[*i]);
                let (may, why) = self.writes(now, t, db, *i);
                let limit = p.limit(now, &rules);
                let off = |w: &str| s.off.is_some_and(|o| o.contains(w));
                let since = self.standings.get(*i).map_or(0, |x| x.at);
                let v = json!({"database": d.name, "writes": {"may": may, "why": why}, "reads": self.reads(now, t, db, *i),
                    "reached": self.known[*i].reach, "warming": limit < p.share, "connections_now": limit, "connections_share": p.share,
                    "draining": off("leaving") || off("drained"), "emptied": off("evacuated"),
                    "why_off": s.off, "unchanged_for_ms": now.saturating_sub(since)});
                m.insert(s.name.clone(), v);
            }
        }
        json!({"node": format!("{:x}", self.me), "current": self.allows(now), "mark": t.mark, "servers": m})
    }
}
