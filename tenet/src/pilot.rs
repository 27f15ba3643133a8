//! The failover controller on the head of the chain: from the control state and what nodes observe of servers it
//! proposes members, placements and the steps of failovers. It only proposes; the log decides, and the state
//! rejects what no longer fits.

use crate::base::*;
use crate::colleagues::Colleagues;
use crate::config::Config;
use crate::departures::Silence;
use crate::placement::Round;
pub use crate::promotion::Promote;
use crate::promotion::PromotionAsk;
use crate::state::*;
use crate::table::{away, db_servers, server_off};
use crate::wire::Sight;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A node's observation of a server, and when (ms) the head got it.
pub struct Seen {
    /// When it came.
    pub at: Time,
    /// The observation.
    pub s: Sight,
}

/// The failover controller's memory. It is empty on a new head, and nothing safe rests on it.
#[derive(Default)]
pub struct Watch {
    /// Observations by node and server.
    pub seen: BTreeMap<(NodeId, String), Seen>,
    /// By fencing node and database: the failover step (`Db::since`) for which it has nothing under way.
    pub clean: BTreeMap<(NodeId, String), Mark>,
    pub(crate) learned: BTreeMap<String, (Mark, Time)>,
    pub(crate) placed: BTreeMap<String, (Vec<NodeId>, Time)>,
    /// When a placement of each database was last proposed.
    pub(crate) proposed: BTreeMap<String, Time>,
    /// When placements are looked at next.
    pub(crate) place_at: Time,
    /// What the platform was asked for, by database.
    pub(crate) asks: BTreeMap<String, PromotionAsk>,
    pub(crate) unknown: BTreeMap<String, (Mark, Time)>,
    pub(crate) chosen: BTreeMap<String, Mark>,
    pub(crate) member_at: BTreeMap<NodeId, (Mark, Time)>,
    pub(crate) join_at: BTreeMap<(String, String), (Mark, Time)>,
    pub(crate) gone_at: BTreeMap<(String, String), Time>,
    /// By database: since when no work of the present failover step can be acknowledged any more.
    pub(crate) sealed: BTreeMap<String, (Mark, Time)>,
    /// Servers that said they are gone and are silent.
    pub(crate) ended: BTreeMap<String, Silence>,
    pub(crate) began: Option<Time>,
}

/// What the controller decides from.
pub struct Sky<'a> {
    /// Now (ms).
    pub now: Time,
    /// This process, the head.
    pub me: NodeId,
    /// The control state.
    pub st: &'a State,
    /// The configuration in force.
    pub cfg: &'a Arc<Config>,
    /// Who is alive.
    pub c: &'a Colleagues,
}

impl Sky<'_> {
    /// Why new work is kept from a server of a database; none if it is not.
    pub(crate) fn off(&self, db: &str, server: &Server) -> Option<&'static str> {
        server_off(self.st, server).or_else(|| away(self.cfg, db, server))
    }

    /// Whether the logs of a database's replicas are counted to know what was acknowledged.
    pub(crate) fn counts_logs(&self, db: &str) -> bool {
        let database = self.cfg.databases.get(db);
        database.is_some_and(|d| d.can.acknowledges_by_quorum())
    }
}

pub(crate) fn since<K: Ord, V: PartialEq>(
    m: &mut BTreeMap<K, (V, Time)>,
    k: K,
    v: V,
    now: Time,
) -> Time {
    match m.get(&k) {
        Some((w, t)) if *w == v => *t,
        _ => {
            m.insert(k, (v, now));
            now
        }
    }
}

impl Watch {
    /// This process is not the head: forgets all but what nodes told.
    pub fn stopped(&mut self) {
        let (seen, clean) = (
            std::mem::take(&mut self.seen),
            std::mem::take(&mut self.clean),
        );
        *self = Watch {
            seen,
            clean,
            ..Watch::default()
        };
    }

    /// Takes the observations of a node, and forgets old ones.
    pub fn sights(&mut self, now: Time, from: NodeId, v: Vec<Sight>) {
        for s in v {
            self.seen
                .insert((from, s.server.clone()), Seen { at: now, s });
        }
        self.seen.retain(|_, s| now < s.at + SIGHT_KEPT);
    }

    /// What to propose now, and what to ask the platform for. Proposing the same again is harmless.
    pub fn tick(&mut self, k: &Sky) -> (Vec<Op>, Vec<Promote>) {
        let mut ops = Vec::new();
        let mut calls = Vec::new();
        let began = *self.began.get_or_insert(k.now);
        let occupants = k.occupants();
        let round = Round { began, occupants };
        self.members(k, &round, &mut ops);
        self.place_all(k, &round, &mut ops);
        self.departures(k, &mut ops);
        for n in k.cfg.databases.keys() {
            if let Some(d) = k.st.dbs.get(n) {
                let at = since(&mut self.learned, n.clone(), d.since, k.now);
                match d.phase.as_str() {
                    "empty" => self.adopt(k, n, &mut ops),
                    "steady" => self.steady(k, n, d, at, &mut ops),
                    "closing" => self.closing(k, n, d, at, &mut ops),
                    "fenced" => self.fenced(k, n, d, at, &mut ops),
                    "promoting" => self.promoting(k, n, d, &mut ops, &mut calls),
                    _ => (),
                }
            }
        }
        (ops, calls)
    }

    fn members(&mut self, k: &Sky, round: &Round, ops: &mut Vec<Op>) {
        self.member_at.retain(|id, _| k.st.members.contains_key(id));
        for m in k.st.members.values() {
            let due = k.now > since(&mut self.member_at, m.id, m.at, k.now) + FULL;
            let lost = k.c.quiet(m.id, k.now).is_some_and(|q| q > MEMBER_LOST)
                || (!k.c.alive(m.id)
                    && !k.c.all.contains_key(&m.id)
                    && k.now > round.began + MEMBER_UNSEEN);
            let twin = round.occupants.replace(m);
            let ev = match m.phase.as_str() {
                "joining" if due => Some("settle"),
                "leaving" if due => Some("forget"),
                "joining" | "full" if lost || twin => Some("expel"),
                _ => None,
            };
            ops.extend(ev.map(|e| Op::Phase {
                id: m.id,
                event: e.into(),
            }));
        }
    }

    pub(crate) fn sight(&self, k: &Sky, server: &str, life: u64, since: Time) -> Option<&Sight> {
        self.seen
            .iter()
            .filter(|((_, s), x)| s == server && x.s.life == life && x.s.reach)
            .filter(|(_, x)| x.at.saturating_sub(x.s.age) >= since && k.now < x.at + SIGHT_STALE)
            .map(|(_, x)| &x.s)
            .max_by_key(|s| s.pos)
    }

    fn adopt(&self, k: &Sky, n: &str, ops: &mut Vec<Op>) {
        let v: Vec<&Server> = db_servers(k.cfg, k.st, n)
            .into_iter()
            .filter(|s| s.leads)
            .collect();
        if let [s] = v[..] {
            if self.sight(k, &s.name, s.life, 0).is_some_and(|x| x.leads) {
                ops.push(Op::Adopt {
                    db: n.into(),
                    server: s.name.clone(),
                });
            }
        }
    }

    fn steady(&mut self, k: &Sky, n: &str, d: &Db, at: Time, ops: &mut Vec<Op>) {
        let Some(p) = d.primary.as_ref() else { return };
        let (db, epoch) = (n.to_string(), d.epoch);
        let serves =
            |s: &&Server| !s.has_no_address() && (k.counts_logs(n) || !k.st.may_still_run(&s.name));
        let Some(ps) = k.st.servers.get(p).filter(serves) else {
            ops.push(Op::Offline {
                db,
                epoch,
                why: format!("{p} has left"),
            });
            return;
        };
        if let Some(why) = self.dead(k, n, d, ps, at) {
            ops.push(Op::Offline { db, epoch, why });
            return;
        }
        let off = k.off(n, ps);
        let other = |h: &String| {
            k.st.servers.get(h).is_some_and(|s| {
                server_off(k.st, s).is_none() && self.sight(k, h, s.life, 0).is_some()
            })
        };
        let can = k.cfg.databases.get(n).map(|d| d.can).unwrap_or_default();
        let ready = match can.confirms {
            true => d.heirs.keys().any(other),
            false => {
                off.is_some()
                    && db_servers(k.cfg, k.st, n)
                        .iter()
                        .any(|s| s.name != *p && other(&s.name))
            }
        };
        if let Some(w) = off.filter(|_| ready) {
            ops.push(Op::Close {
                db,
                epoch,
                why: format!("{p}: {w}"),
            });
            return;
        }
        if can.confirms {
            self.heirs(k, n, d, at, ops);
        }
    }

    fn dead(&self, k: &Sky, n: &str, d: &Db, p: &Server, at: Time) -> Option<String> {
        let detect = k.cfg.timeouts.detect_ms;
        if k.now < at + detect || self.placed.get(n).is_some_and(|e| k.now < e.1 + detect) {
            return None;
        }
        let live: Vec<NodeId> = d
            .fencers
            .iter()
            .filter(|f| k.c.alive(**f))
            .copied()
            .collect();
        let down = |f: &NodeId| {
            self.seen.get(&(*f, p.name.clone())).is_some_and(|x| {
                k.now < x.at + SIGHT_STALE
                    && (!x.s.reach || x.s.life != p.life)
                    && x.s.age >= detect
            })
        };
        let fenced = !live.is_empty() && live.iter().all(down);
        let links: Vec<bool> = d
            .heirs
            .keys()
            .filter_map(|h| {
                k.st.servers
                    .get(h)
                    .and_then(|s| self.sight(k, h, s.life, 0))
            })
            .map(|s| s.link)
            .collect();
        let can = k.cfg.databases.get(n).map(|d| d.can).unwrap_or_default();
        let second = live.len() > 1 || !can.confirms || links.iter().any(|l| !l);
        let reborn = !p.leads && k.now > at + detect;
        (fenced && second)
            .then(|| {
                format!(
                    "{} of {} fencing nodes lost {} for {detect} ms",
                    live.len(),
                    d.fencers.len(),
                    p.name
                )
            })
            .or(
                (reborn && live.len() > 1 && live.iter().all(|f| self.gave_up(k, *f, p, at)))
                    .then(|| format!("{} came back as a replica", p.name)),
            )
    }

    fn gave_up(&self, k: &Sky, f: NodeId, p: &Server, at: Time) -> bool {
        self.seen.get(&(f, p.name.clone())).is_some_and(|x| {
            k.now < x.at + SIGHT_STALE
                && x.at.saturating_sub(x.s.age) > at
                && x.s.reach
                && !x.s.leads
        })
    }
}
