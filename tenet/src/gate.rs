//! The gateway: takes a request from another node, checks that it is meant for this process and in time, and
//! serves it or passes it to the next hop. The deadline travels in the clock of the node that receives it.

use crate::base::*;
use crate::front::*;
use crate::job::Owner;
use crate::kind::{Kind, Reject};
use crate::ledger::End;
use crate::plant::{planted, Bug};
use crate::route::{self, Hop};
use crate::table::Table;
use crate::wire::*;

impl Front {
    pub(crate) fn by(&self, now: Time, to: NodeId, deadline: Time) -> Time {
        let known = self.clocks.get(&to).filter(|(_, at)| now < at + CLOCK_KEPT);
        match to == self.me {
            true => deadline,
            false => known.map_or(0, |(c, at)| c + deadline.saturating_sub(*at)),
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn carry(
        &mut self,
        now: Time,
        asker: Asker,
        by: Time,
        mut load: Load,
        out: &mut FrontOut,
    ) {
        load.budget = load.budget.min(by.saturating_sub(now));
        let late = match () {
            _ if asker.asked != self.me => Some((
                Kind::NotCurrent,
                "meant for the process that was here before",
            )),
            _ if by == 0 && load.act != Act::Pos => {
                Some((Kind::NotCurrent, "sent without this node's clock"))
            }
            _ if load.budget == 0 && load.act != Act::Pos => {
                Some((Kind::TooLate, "it came after its deadline"))
            }
            _ => None,
        };
        if load.act == Act::Pos {
            load.budget = 500;
        }
        let r = late.map_or(Ok(()), |(k, w)| Err(Reject::new(k, w)));
        if let Err(r) = r.and_then(|_| self.carry_on(now, asker, load, out)) {
            out.send.push(asker.reply(now, Err(r)));
        }
    }

    fn carry_on(
        &mut self,
        now: Time,
        asker: Asker,
        mut load: Load,
        out: &mut FrontOut,
    ) -> Result<(), Reject> {
        let t = self.table()?;
        if !self.allows(now) {
            return Err(Reject::new(
                Kind::NotCurrent,
                format!("{:x} could not confirm the fleet's state", self.me),
            ));
        }
        let i = *t
            .db_ix
            .get(&load.db)
            .ok_or_else(|| Reject::new(Kind::UnknownDatabase, load.db.clone()))?;
        let mine = load.fence == self.me && t.dbs[i].fences && load.hops.len() > 1;
        self.turn += 1;
        let h = if mine {
            Hop::Serve
        } else {
            route::hop(&t, &t.dbs[i], &load, self.turn, &self.peers.silent)
        };
        if load.hops.len() > 6 {
            return Err(Reject::new(Kind::NoPrimary, "too many hops"));
        }
        load.hops.push(self.me);
        match h {
            Hop::Serve => self.fence_start(now, Owner::Carry(asker), load, i, out),
            Hop::Fence(n) => {
                load.fence = n;
                self.pass(now, &t, asker, n, load, out)
            }
            Hop::Gateway(n) => self.pass(now, &t, asker, n, load, out),
            Hop::Nowhere(k, w) => Err(Reject::new(k, w)),
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn pass(
        &mut self,
        now: Time,
        t: &Table,
        asker: Asker,
        to: NodeId,
        load: Load,
        out: &mut FrontOut,
    ) -> Result<(), Reject> {
        let n = t
            .nodes
            .get(&to)
            .ok_or_else(|| Reject::new(Kind::NoPrimary, "next hop unknown"))?;
        let k = self.ids.take();
        self.relays.insert(
            k,
            Relay {
                asker,
                to,
                until: now + load.budget,
            },
        );
        if to != self.me {
            self.peers.sent(now, to, n.addr);
        }
        if load.act != Act::Pos {
            let what = if load.fence == to {
                "fencing"
            } else {
                "gateway"
            };
            self.traces.tell(
                now,
                &load.id,
                format!("gateway {:x} passes it to {what} {to:x}", self.me),
            );
        }
        let by = self.by(now, to, now + load.budget);
        out.send.push((
            n.addr,
            Msg::Carry {
                go: k,
                to,
                by,
                load,
            },
        ));
        Ok(())
    }

    /// Takes an answer of another node. It counts when it is for this life of the process, for an
    /// attempt that is still open, and to the question as it was put to that node.
    pub(crate) fn carried(
        &mut self,
        now: Time,
        to: NodeId,
        asked: NodeId,
        go: u64,
        done: Result<Done, Reject>,
        out: &mut FrontOut,
    ) {
        let unchecked = planted(Bug::IncarnationIgnored);
        if to != self.me && !unchecked {
            return;
        }
        if self
            .relays
            .get(&go)
            .is_some_and(|r| r.to == asked || unchecked)
        {
            let relay = self.relays.remove(&go);
            out.send.extend(relay.map(|r| r.asker.reply(now, done)));
            return;
        }
        if self
            .gos
            .get(&go)
            .is_none_or(|a| a.gateway != asked && !unchecked)
        {
            return;
        }
        let Some(i) = self.gos.remove(&go).map(|a| a.trip) else {
            return;
        };
        if self.trips.get(i).is_none_or(|t| t.go_id != go) {
            return;
        }
        let n = self.trips[i].gos.len();
        match done {
            Err(r) if r.kind == Kind::Unknown => self.go_end(now, i, n, End::Lost, r.why, out),
            d => self.trip_back(now, i, n, d, out),
        }
    }

    pub(crate) fn roll_back_for(
        &mut self,
        now: Time,
        db: usize,
        key: u64,
        fence: NodeId,
        mut load: Load,
        out: &mut FrontOut,
    ) {
        let Ok(t) = self.table() else { return };
        let Some(d) = t.dbs.get(db) else { return };
        load.db = d.name.clone();
        (load.txn, load.fence, load.budget) = (key, fence, 1000);
        load.regions = route::homes(&t, d, None);
        load.hops = vec![self.me];
        let g = route::gateways(&t, d, &load, self.turn, &self.peers.silent);
        let go = self.ids.take();
        if let Some((to, n)) = g.first().and_then(|g| t.nodes.get(g).map(|n| (*g, n))) {
            let by = self.by(now, to, now + load.budget);
            out.send.push((n.addr, Msg::Carry { go, to, by, load }));
        }
    }
}
