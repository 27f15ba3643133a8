//! The phases of a failover, as the head of the chain drives them: close, wait until the old primary is fenced,
//! choose a replica, have it promoted. A target is proposed only once no fencing node can still send to the
//! old primary: each one said so, or its lease has run out.

use crate::base::*;
use crate::pilot::*;
use crate::plant::{planted, Bug};
use crate::state::*;
use crate::table::{db_servers, server_off};

impl Watch {
    /// Those who asked it lately got no answer.
    pub(crate) fn dark(&self, k: &Sky, server: &str) -> bool {
        let mut v = self
            .seen
            .iter()
            .filter(|((_, s), x)| s == server && k.now < x.at + SIGHT_STALE)
            .peekable();
        v.peek().is_some() && v.all(|(_, x)| !x.s.reach && x.s.age >= DARK)
    }

    pub(crate) fn all_clean(&self, k: &Sky, n: &str, d: &Db) -> bool {
        let old = self.placed.get(n).is_some_and(|e| k.now > e.1 + FULL);
        let said = |f: &NodeId| self.clean.get(&(*f, n.to_string())) == Some(&d.since);
        old && !d.fencers.is_empty() && d.fencers.iter().all(said)
    }

    pub(crate) fn closing(&self, k: &Sky, n: &str, d: &Db, at: Time, ops: &mut Vec<Op>) {
        let (db, epoch) = (n.to_string(), d.epoch);
        let grace = k.cfg.timeouts.transaction_drain_ms + CLOSE_EXTRA;
        let p = d.primary.as_ref().and_then(|p| k.st.servers.get(p));
        let back = p.is_some_and(|p| k.off(n, p).is_none());
        let dead = p.is_some_and(|p| self.sight(k, &p.name, p.life, 0).is_none());
        if back {
            ops.push(Op::Reopen {
                db,
                epoch,
                why: "the primary stays after all".into(),
            });
        } else if self.all_clean(k, n, d)
            || k.now > at + grace
            || (dead && k.now > at + SIGHT_STALE)
        {
            ops.push(Op::Offline {
                db,
                epoch,
                why: "planned: work under way has ended".into(),
            });
        }
    }

    pub(crate) fn fenced(&mut self, k: &Sky, n: &str, d: &Db, at: Time, ops: &mut Vec<Op>) {
        let sure = k.now > at + FULL || self.all_clean(k, n, d) || planted(Bug::OfflineSkipped);
        if !sure {
            return;
        }
        if k.counts_logs(n) {
            return self.choose_by_logs(k, n, d, at, ops);
        }
        let (db, epoch) = (n.to_string(), d.epoch);
        let since = at;
        let old = d.old.as_ref().and_then(|o| k.st.servers.get(o));
        let old_seen = old
            .and_then(|o| self.sight(k, &o.name, o.life, since))
            .filter(|x| x.leads)
            .map(|x| x.pos);
        let can = k.cfg.databases.get(n).map(|d| d.can).unwrap_or_default();
        let confirms = can.confirms;
        let all = db_servers(k.cfg, k.st, n);
        let heirs: Vec<&String> = match confirms {
            true => d.heirs.keys().filter(|h| k.st.heir(d, h)).collect(),
            false => all
                .iter()
                .map(|s| &s.name)
                .filter(|s| d.old.as_ref() != Some(*s))
                .collect(),
        };
        let awaited = |h: &&&String| {
            k.st.servers.get(**h).is_some_and(|s| {
                server_off(k.st, s).is_none() && self.sight(k, h, s.life, since).is_none()
            })
        };
        let unseen = heirs.iter().filter(awaited).any(|h| !self.dark(k, h));
        if !confirms && unseen && k.now < at + HEIR_LOOK {
            return;
        }
        let mut best: Vec<(bool, u64, &String)> = heirs
            .iter()
            .copied()
            .filter_map(|h| {
                k.st.servers
                    .get(h)
                    .and_then(|s| self.sight(k, h, s.life, since).map(|x| (s, x, h)))
            })
            .map(|(s, x, h)| (server_off(k.st, s).is_none(), x.pos, h))
            .collect();
        best.sort();
        let caught = |pos: u64| !d.planned || old_seen.is_none_or(|o| pos >= o);
        let patience = k.now > at + CATCH_UP;
        let on = |h: &String| {
            k.st.servers
                .get(h)
                .is_some_and(|s| server_off(k.st, s).is_none())
        };
        let better = d.planned && k.now < at + HEIR_WAIT && heirs.iter().any(|h| on(h));
        if let Some((good, pos, h)) = best.last() {
            if !good && better {
                return;
            }
            if caught(*pos) || patience {
                self.chosen.insert(db.clone(), epoch);
                ops.push(Op::Target {
                    db,
                    epoch,
                    server: (*h).clone(),
                    asker: k.me,
                    any: !confirms,
                });
            }
        } else if old_seen.is_some() && k.now > at + HEIR_WAIT {
            ops.push(Op::Reopen {
                db,
                epoch,
                why: "no replica can take over and the old primary is back".into(),
            });
        }
    }
}
