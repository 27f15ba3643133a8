//! Which replicas count as in sync: those that must hold a commit before it is acknowledged. A replica joins when
//! every fencing node counts it and it has caught up; the last one never leaves.

use crate::base::*;
use crate::pilot::*;
use crate::state::*;
use crate::table::db_servers;

impl Watch {
    pub(crate) fn heir_fit(&self, k: &Sky, d: &Db, s: &Server) -> bool {
        d.primary.as_ref() != Some(&s.name) && k.st.eligible(d, &s.name) && !s.leaving
    }

    fn near(&self, k: &Sky, f: NodeId, p: &str) -> bool {
        let x = self.seen.get(&(f, p.to_string()));
        x.is_some_and(|x| x.s.reach && x.s.age < NEAR_AGE && k.now < x.at + NEAR_TOLD)
    }

    pub(crate) fn heirs(&mut self, k: &Sky, n: &str, d: &Db, at: Time, ops: &mut Vec<Op>) {
        let p = d.primary.clone().unwrap_or_default();
        let ppos =
            k.st.servers
                .get(&p)
                .and_then(|s| self.sight(k, &p, s.life, at))
                .map(|s| s.pos);
        let seen = ppos.is_some()
            && d.fencers
                .iter()
                .filter(|f| k.c.alive(**f))
                .all(|f| self.near(k, *f, &p));
        for s in db_servers(k.cfg, k.st, n) {
            let (db, epoch, server) = (n.to_string(), d.epoch, s.name.clone());
            let key = (db.clone(), server.clone());
            let x = self.sight(k, &s.name, s.life, 0);
            let follows = x.is_some_and(|x| x.follows == p && x.link);
            let near = x.zip(ppos).is_some_and(|(x, q)| x.pos + 200 >= q);
            let fit = self.heir_fit(k, d, s) && follows;
            let counted = k.st.heir(d, &server) || d.joining.contains_key(&server);
            if !counted && fit && near {
                ops.push(Op::HeirJoin { db, epoch, server });
                continue;
            }
            if d.heirs.contains_key(&server) || d.joining.contains_key(&server) {
                let since = *self.gone_at.entry(key.clone()).or_insert(k.now);
                let bad = !fit || !near;
                if !bad {
                    self.gone_at.insert(key.clone(), k.now);
                }
                let spare = d.heirs.len() > 1 || !d.heirs.contains_key(&server);
                if bad && k.now > since + HEIR_LAG && spare && seen {
                    ops.push(Op::HeirLeave {
                        db,
                        epoch,
                        server,
                        why: "cut off, leaving or far behind".into(),
                    });
                    continue;
                }
            }
            if let Some(m) = d.joining.get(&s.name) {
                let t = since(&mut self.join_at, key, *m, k.now);
                let ready = k.now > t + FULL;
                let past = |m: Time| {
                    self.seen
                        .iter()
                        .find(|((_, a), x)| *a == p && x.at.saturating_sub(x.s.age) > m)
                };
                let q = past(t + FULL).map(|(_, x)| x.s.pos);
                let got = self.sight(k, &s.name, s.life, t + FULL).map(|x| x.pos);
                if ready && fit && q.zip(got).is_some_and(|(q, g)| g >= q) {
                    ops.push(Op::HeirFull {
                        db: n.into(),
                        epoch,
                        server: s.name.clone(),
                    });
                }
            }
        }
    }
}
