//! When a server that said it is gone leaves the state.
//!
//! Its process may run on for a while. Where servers acknowledge commits by a quorum of logs, it may hold what no other
//! replica has, so it is counted until it is silent, or another server stands at its address, and the other replicas
//! hold all that the primary had then. Elsewhere it is taken out at once.

use crate::base::*;
use crate::pilot::*;
use crate::state::*;
use crate::table::{database_of, replicas};

/// A server that answers no fencing node.
#[derive(Clone, Copy)]
pub(crate) struct Silence {
    since: Time,
    /// Where the primary was once the silence had lasted; the other replicas must hold that much.
    primary_position: Option<u64>,
}

impl Watch {
    /// Proposes to take out those that have ended.
    pub(crate) fn departures(&mut self, k: &Sky, ops: &mut Vec<Op>) {
        let departing = |name: &String| k.st.may_still_run(name);
        self.ended.retain(|name, _| departing(name));
        for server in k.st.servers.values().filter(|s| departing(&s.name)) {
            if self.is_over(k, server) {
                ops.push(Op::Depart {
                    server: server.name.clone(),
                    seq: 0,
                });
            }
        }
    }

    fn is_over(&mut self, k: &Sky, server: &Server) -> bool {
        let database = database_of(k.cfg, server).filter(|db| k.counts_logs(db));
        let Some((n, d)) = database.and_then(|n| k.st.dbs.get(n).map(|d| (n, d))) else {
            return true;
        };
        let primary = d.primary.as_ref().filter(|p| **p != server.name);
        let ended = server.has_no_address();
        let silent = ended || self.dark(k, &server.name);
        let Some(primary) = primary.filter(|_| silent) else {
            self.ended.remove(&server.name);
            return false;
        };
        let mut silence = *self.ended.entry(server.name.clone()).or_insert(Silence {
            since: k.now,
            primary_position: None,
        });
        let ended_at = match ended {
            true => silence.since,
            false => silence.since + DEPARTED_SILENT,
        };
        if silence.primary_position.is_none() {
            let primary = k.st.servers.get(primary);
            let seen = primary.and_then(|p| self.sight(k, &p.name, p.life, ended_at));
            silence.primary_position = seen.filter(|seen| seen.leads).map(|seen| seen.pos);
            self.ended.insert(server.name.clone(), silence);
        }
        let position = silence.primary_position;
        position.is_some_and(|position| self.others_hold(k, n, d, position))
    }

    /// Whether as many replicas as acknowledge a commit hold the log up to a position.
    fn others_hold(&self, k: &Sky, n: &str, d: &Db, position: u64) -> bool {
        let servers = replicas(k.cfg, k.st).remove(n).unwrap_or_default();
        let holds = |s: &&&Server| {
            let seen = self.sight(k, &s.name, s.life, 0);
            seen.is_some_and(|seen| seen.pos >= position)
        };
        let holding = servers
            .iter()
            .filter(|s| d.primary.as_ref() != Some(&s.name) && !k.st.may_still_run(&s.name))
            .filter(holds)
            .count();
        let needed = k.cfg.databases.get(n).map_or(0, |d| d.can.synced as usize);
        holding >= needed
    }
}
