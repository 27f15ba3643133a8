//! The periodic work of the data plane: silent peers, jobs and requests that are due, shares of connections,
//! observations for the controller, positions for bounded reads.

use crate::base::*;
use crate::front::*;
use crate::job::Owner;
use crate::kind::Kind;
use crate::ledger::Plan;
use crate::plan::blank;
use crate::route;
use crate::session::Session;
use crate::table::{DbRow, Table};
use crate::trip::{For, Trip};
use crate::wire::*;

impl Front {
    pub(crate) fn tick(&mut self, now: Time, out: &mut FrontOut) {
        if now >= self.swept_at + 5 {
            self.swept_at = now;
            self.peers_tick(now, out);
            for j in self.jobs.iter().map(|(i, _)| i).collect::<Vec<_>>() {
                if self.jobs.contains(j) {
                    self.job_wait(now, j, out);
                }
            }
            for i in self
                .trips
                .iter()
                .filter(|(_, t)| now >= t.wake)
                .map(|(i, _)| i)
                .collect::<Vec<_>>()
            {
                if self.trips.contains(i) {
                    self.trip_next(now, i, out);
                }
            }
            (0..self.pools.len()).for_each(|s| self.pump(now, s, out));
            self.drop_old_txns(now, out);
        }
        let Some(t) = self.t.clone() else { return };
        self.poll_servers(now, &t, out);
        if now >= self.sights_at {
            self.sights_at = now + 150;
            self.peers.keep(|id| t.nodes.contains_key(id));
            self.relays.retain(|_, r| now < r.until + 500);
            let idle = t.cfg.timeouts.session_idle_ms;
            self.sessions.retain(|_, s| s.busy || now < s.last + idle);
            out.sights = self.sights(now, &t);
            self.note_standings(now);
            self.report_clean(out);
            self.give_back(now, &t, out);
            self.ask_pos(now, &t, out);
        }
    }

    pub(crate) fn set_shares(&mut self, now: Time, t: &Table) {
        for d in &t.dbs {
            let extra = match (d.fences, now >= d.fence_from) {
                (true, true) => d.fence_share,
                (true, false) => d.fence_early,
                _ => 0,
            };
            for s in &d.servers {
                self.pools[*s].share = t.servers[*s].read_share + extra;
                self.pools[*s].warm = t.servers[*s].warm;
            }
        }
    }

    pub(crate) fn send_close(&mut self, now: Time, server: usize, conn: u64, out: &mut FrontOut) {
        let token = self.use_token(Use::Nobody);
        let to = self
            .t
            .as_ref()
            .map_or(Addr::NONE, |t| t.servers[server].addr);
        out.back.push(BackCall {
            token,
            to,
            query: Query::Close { conn },
            not_after: now + 1000,
            timeout: 1000,
        });
    }

    fn give_back(&mut self, now: Time, t: &Table, out: &mut FrontOut) {
        let rules = self.rules();
        let lost = now > self.until;
        for s in 0..self.pools.len() {
            if lost {
                self.pools[s].share = 0;
            }
            for conn in self.pools[s].surplus(now, &rules) {
                self.send_close(now, s, conn, out);
            }
        }
        if !lost {
            self.set_shares(now, t);
        }
    }

    fn sights(&self, now: Time, t: &Table) -> Vec<Sight> {
        let late = |i: usize| now >= self.polled[i].max(self.known[i].heard) + SIGHT_STALE;
        let mine = |i: &usize| {
            let counts = |d: &DbRow| d.servers.contains(i) || d.away.contains(i);
            t.dbs.iter().any(counts) && self.polled[*i] > 0 && !late(*i)
        };
        (0..t.servers.len())
            .filter(mine)
            .map(|i| {
                let k = &self.known[i];
                Sight {
                    server: t.servers[i].name.clone(),
                    life: if k.life == 0 {
                        t.servers[i].life
                    } else {
                        k.life
                    },
                    age: now.saturating_sub(if k.reach { k.at } else { k.heard }),
                    reach: k.reach,
                    pos: k.pos,
                    follows: k.follows.clone(),
                    leads: k.leads,
                    link: k.link,
                }
            })
            .collect()
    }

    fn ask_pos(&mut self, now: Time, t: &Table, out: &mut FrontOut) {
        for (i, d) in t.dbs.iter().enumerate() {
            let known = (d.fences || d.can.guards) && now < self.marks[i].newest() + POS_ASK;
            let due = now >= self.asked[i] + POS_ASK && !known && t.db_ix.contains_key(&d.name);
            let idle = d.can.guards && now > self.wanted[i] + POS_WANTED;
            if idle || !due || d.gateways.is_empty() || !self.allows(now) {
                continue;
            }
            self.asked[i] = now;
            self.turn += 1;
            let mut load = blank(String::new());
            load.db = d.name.clone();
            load.act = Act::Pos;
            load.regions = route::homes(t, d, None);
            let plan = Plan {
                gateways: route::gateways(t, d, &load, self.turn, &self.peers.silent)
                    .into_iter()
                    .take(1)
                    .collect(),
                replicas: Vec::new(),
                writes: false,
                pinned: true,
                commit: false,
                deadline: now + 500,
                patience: now,
                none: Kind::NoPrimary,
                looks_up: true,
                opens: false,
            };
            let owner = For::Pos { db: i };
            let trip = Trip::new(now, owner, load, plan, None);
            self.trip_start(now, trip, out);
        }
    }

    pub fn drained(&self) -> bool {
        let work = self
            .jobs
            .iter()
            .any(|(_, j)| matches!(j.owner, Owner::Carry(..)));
        let calls = self
            .trips
            .iter()
            .any(|(_, t)| matches!(t.owner, For::Caller { .. }));
        let open = self.sessions.values().any(Session::in_transaction);
        !work && !calls && !open && self.txns.is_empty()
    }

    pub fn empty(&self) -> bool {
        self.sessions.is_empty()
    }
}
