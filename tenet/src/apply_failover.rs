//! Changes of a failover, and of who counts as an in-sync replica.

use crate::apply::{stale, Res};
use crate::base::*;
use crate::chart;
use crate::kind::Kind;
use crate::state::*;

impl State {
    pub(crate) fn failover(&mut self, a: &Ask) -> Res {
        let m = self.mark;
        let (n, ep, ev, text) = match &a.op {
            Op::Adopt { db, server } => (
                db,
                None,
                "adopt",
                format!("{server} adopted as first primary"),
            ),
            Op::Close { db, epoch, why } => (db, Some(*epoch), "close", format!("closing: {why}")),
            Op::Reopen { db, epoch, why } => {
                (db, Some(*epoch), "reopen", format!("reopened: {why}"))
            }
            Op::Offline { db, epoch, why } => (
                db,
                Some(*epoch),
                "offline",
                format!("old primary offline: {why}"),
            ),
            Op::Target {
                db, epoch, server, ..
            } => (
                db,
                Some(*epoch),
                "target",
                format!("{server} chosen, holds every acknowledged commit"),
            ),
            Op::Asker { db, epoch, asker } => (
                db,
                Some(*epoch),
                "asker",
                format!("{asker:x} asks for the promotion now"),
            ),
            Op::Promoted { db, epoch, server } => (
                db,
                Some(*epoch),
                "promoted",
                format!("{server} takes writes"),
            ),
            Op::Rejected { db, epoch, server } => (
                db,
                Some(*epoch),
                "rejected",
                format!("the platform will not promote {server}"),
            ),
            Op::HeirJoin { db, epoch, server } => return self.turn_heir(db, *epoch, server, 0),
            Op::HeirFull { db, epoch, server } => return self.turn_heir(db, *epoch, server, 1),
            Op::HeirLeave {
                db,
                epoch,
                server,
                why,
            } => {
                self.tell(a.at, db, format!("{db}: {server} counts no longer: {why}"));
                return self.turn_heir(db, *epoch, server, 2);
            }
            _ => return Err(Kind::BadRequest.into()),
        };
        let n = n.clone();
        let heir = match &a.op {
            Op::Target { server, .. } => self.dbs.get(&n).is_some_and(|d| self.heir(d, server)),
            _ => true,
        };
        let d = self.db(&n)?;
        if ep.is_some_and(|e| e != d.epoch) {
            return Err(stale(format!("epoch is {}", d.epoch)));
        }
        let to = chart::failover()
            .step(&d.phase, ev)
            .ok_or_else(|| stale(format!("{ev} in {}", d.phase)))?;
        match &a.op {
            Op::Promoted { server, .. } | Op::Rejected { server, .. }
                if d.target.as_ref() != Some(server) =>
            {
                return Err(stale("another target"))
            }
            Op::Target { any: false, .. } if !heir => return Err(stale("no heir")),
            Op::Reopen { .. } if d.phase == "fenced" => {
                d.primary = d.old.take();
                d.epoch = m;
            }
            _ => (),
        }
        d.phase = to.into();
        d.since = m;
        self.failover_set(a, &n);
        self.tell(a.at, &n, format!("{n}: {text}"));
        Ok(m)
    }

    fn failover_set(&mut self, a: &Ask, n: &str) {
        let m = self.mark;
        let lives: Vec<(String, u64)> = self
            .servers
            .values()
            .filter(|s| !s.terms)
            .map(|s| (s.name.clone(), s.life))
            .collect();
        let Ok(d) = self.db(n) else { return };
        match &a.op {
            Op::Adopt { server, .. } => {
                d.primary = Some(server.clone());
                d.epoch = m;
            }
            Op::Close { .. } => d.planned = true,
            Op::Reopen { .. } => d.planned = false,
            Op::Offline { .. } => {
                d.old = d.primary.take();
                d.epoch = m;
            }
            Op::Target { server, asker, .. } => {
                d.target = Some(server.clone());
                d.asker = *asker;
            }
            Op::Asker { asker, .. } => d.asker = *asker,
            Op::Rejected { .. } => d.target = None,
            Op::Promoted { server, .. } => {
                d.primary = Some(server.clone());
                d.target = None;
                d.planned = false;
                d.epoch = m;
                d.heirs.remove(server);
                d.joining.clear();
                d.retired.remove(server);
                let o = d.old.take();
                if let Some((s, l)) = o.and_then(|o| lives.into_iter().find(|(s, _)| *s == o)) {
                    d.retired.insert(s, l);
                }
            }
            _ => (),
        }
    }

    fn turn_heir(&mut self, db: &str, epoch: Mark, server: &str, how: u8) -> Res {
        let m = self.mark;
        let life = self.servers.get(server).map(|s| s.life);
        let d = self.db(db)?;
        if d.epoch != epoch
            || d.phase != "steady"
            || life.is_none()
            || d.primary.as_deref() == Some(server)
        {
            return Err(stale(format!("epoch is {}, {}", d.epoch, d.phase)));
        }
        match how {
            0 => {
                d.joining.entry(server.into()).or_insert(m);
            }
            1 => {
                d.joining
                    .remove(server)
                    .ok_or_else(|| stale("not joining"))?;
                d.heirs.insert(server.into(), life.unwrap_or(0));
            }
            _ if d.heirs.len() == 1 && d.heirs.contains_key(server) => {
                return Err(stale("the last heir stays"))
            }
            _ => {
                d.joining.remove(server);
                d.heirs.remove(server);
            }
        }
        Ok(m)
    }
}
