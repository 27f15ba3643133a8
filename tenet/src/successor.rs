//! Chooses who takes over a database whose servers acknowledge a commit by themselves, once some replicas hold it.
//!
//! Which replicas acknowledged is not told, so a log is known to hold every acknowledged commit only if it is the
//! longest of enough logs, or as long as that of the old primary. Invariant: no other one is promoted. Whether a
//! replica is in service decides only between logs that are equally long: one that leaves, stands in an evacuated
//! zone or outside the homes is promoted first, if it holds more, and the planned change to another one follows.

use crate::base::*;
use crate::pilot::*;
use crate::state::*;
use crate::table::replicas;

/// A replica that was seen since nothing can be acknowledged any more.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    position: u64,
    in_service: bool,
    server: &'a Server,
}

impl Watch {
    /// Proposes the target of a failover, or that the old primary goes on where that one is back and no log is
    /// known to be complete. `fenced_at` is when (ms) the head learnt that the old primary is out.
    pub(crate) fn choose_by_logs(
        &mut self,
        k: &Sky,
        n: &str,
        d: &Db,
        fenced_at: Time,
        ops: &mut Vec<Op>,
    ) {
        let sealed_at = since(&mut self.sealed, n.to_string(), d.since, k.now);
        let seen_from = sealed_at + SIGHT_TRANSIT;
        let mut listed = replicas(k.cfg, k.st).remove(n).unwrap_or_default();
        listed.retain(|s| d.old.as_ref() != Some(&s.name));
        let old_position = self.old_primary(k, d, seen_from);
        let candidates = self.candidates(k, n, &listed, seen_from);
        let quorum = candidates.len() + synced(k, n) > listed.len();
        let longest = candidates
            .into_iter()
            .max_by_key(|c| (c.position, c.in_service, &c.server.name));
        let complete =
            longest.filter(|c| quorum || old_position.is_some_and(|old| c.position >= old));
        let other = listed.iter().any(|s| k.off(n, s).is_none());
        let waits = |best: &Candidate| {
            d.planned && !best.in_service && other && k.now < fenced_at + HEIR_WAIT
        };
        let (db, epoch) = (n.to_string(), d.epoch);
        if let Some(best) = complete {
            if waits(&best) {
                return;
            }
            self.chosen.insert(db.clone(), epoch);
            ops.push(Op::Target {
                db,
                epoch,
                server: best.server.name.clone(),
                asker: k.me,
                any: true,
            });
        } else if old_position.is_some() && k.now > fenced_at + patience(d) {
            ops.push(Op::Reopen {
                db,
                epoch,
                why: "no replica is known to hold every acknowledged commit, and the old primary is here"
                    .into(),
            });
        }
    }

    fn candidates<'a>(
        &self,
        k: &Sky,
        n: &str,
        listed: &[&'a Server],
        seen_from: Time,
    ) -> Vec<Candidate<'a>> {
        let candidate = |server: &&'a Server| {
            let seen = self.sight(k, &server.name, server.life, seen_from)?;
            Some(Candidate {
                position: seen.pos,
                in_service: k.off(n, server).is_none(),
                server,
            })
        };
        listed.iter().filter_map(candidate).collect()
    }

    /// The position of the old primary, where it runs and still leads.
    fn old_primary(&self, k: &Sky, d: &Db, seen_from: Time) -> Option<u64> {
        let old = k.st.servers.get(d.old.as_ref()?)?;
        let seen = self.sight(k, &old.name, old.life, seen_from)?;
        seen.leads.then_some(seen.pos)
    }
}

/// How many replicas hold a commit before it is acknowledged.
fn synced(k: &Sky, n: &str) -> usize {
    let database = k.cfg.databases.get(n);
    database.map_or(0, |d| d.can.synced as usize)
}

/// How long a complete log is waited for before the old primary goes on.
fn patience(d: &Db) -> Time {
    match d.planned {
        true => CATCH_UP,
        false => HEIR_WAIT,
    }
}
