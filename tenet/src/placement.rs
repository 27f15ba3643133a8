//! When nodes take over the fencing of databases and their gateways.
//!
//! A placement costs every node an entry of the log and the nodes concerned their connections. It is
//! therefore changed only for a node that is surely lost or leaves, for one database not more often than
//! each `PLACE_AGAIN`, and for at most `PLACE_MOST` databases in a round; those that nobody serves go first.

use crate::base::*;
use crate::pilot::{since, Sky, Watch};
use crate::place::{place, Roles, Seats};
use crate::state::*;
use crate::table::server_off;
use std::collections::BTreeSet;

/// The live processes by address.
pub(crate) struct Occupants(BTreeSet<(Addr, NodeId)>);

impl Occupants {
    /// Another process lives at the address of this member.
    pub(crate) fn replace(&self, m: &Member) -> bool {
        let mut here = self.0.range((m.addr, NodeId::MIN)..=(m.addr, NodeId::MAX));
        here.any(|(_, id)| *id != m.id)
    }
}

impl Sky<'_> {
    /// Who lives at which address, as gossip has it.
    pub(crate) fn occupants(&self) -> Occupants {
        let live = self.c.live().map(|s| (s.addr, s.id));
        Occupants(live.collect())
    }

    /// It may take over work: it runs, does not stop, and its domain is not being emptied.
    fn can_take_over(&self, m: &Member) -> bool {
        m.phase != "leaving" && self.c.serves(m.id) && !self.st.evacuated.contains_key(&m.domain)
    }

    /// Nothing says that it is lost. A suspect is not lost while another one of the `role` serves, and who
    /// began to watch a moment ago has not heard of everybody yet.
    fn holds_on(&self, m: &Member, role: &[NodeId], round: &Round) -> bool {
        let unheard = !self.c.all.contains_key(&m.id) && self.now < round.began + PLACE_UNHEARD;
        let others = || role.iter().any(|id| *id != m.id && self.c.serves(*id));
        let suspect = self.c.suspect(m.id) && others();
        let runs = self.c.alive(m.id) || suspect || unheard;
        m.phase != "leaving" && runs && !round.occupants.replace(m)
    }
}

/// What all placements of a round share.
pub(crate) struct Round {
    /// Since when this process leads the chain.
    pub(crate) began: Time,
    pub(crate) occupants: Occupants,
}

impl Watch {
    pub(crate) fn place_all(&mut self, k: &Sky, round: &Round, ops: &mut Vec<Op>) {
        if k.now < round.began + PILOT_FIRST || k.now < self.place_at {
            return;
        }
        self.place_at = k.now + PLACE_ROUND;
        let mut wanted: Vec<(bool, &String, Seats)> = k
            .cfg
            .databases
            .keys()
            .filter_map(|name| {
                let seats = self.wanted_seats(k, name, round)?;
                Some((!served(k, name), name, seats))
            })
            .collect();
        wanted.sort_by_key(|(unserved, ..)| !unserved);
        for (_, name, seats) in wanted.into_iter().take(PLACE_MOST) {
            self.proposed.insert(name.clone(), k.now);
            ops.push(Op::Place {
                db: name.clone(),
                fencers: seats.fencers,
                gateways: seats.gateways,
            });
        }
    }

    /// Who should hold a database's roles, if that is to change now.
    fn wanted_seats(&mut self, k: &Sky, name: &str, round: &Round) -> Option<Seats> {
        let blank = Db::default();
        let db = k.st.dbs.get(name).unwrap_or(&blank);
        since(&mut self.placed, name.into(), db.fencers.clone(), k.now);
        let pause = match served(k, name) {
            true => PLACE_AGAIN,
            false => PLACE_UNSERVED_AGAIN,
        };
        if self.proposed.get(name).is_some_and(|at| k.now < at + pause) {
            return None;
        }
        let lead = db.primary.as_ref().and_then(|p| k.st.servers.get(p));
        let moving = db.phase != "steady" || lead.is_some_and(|s| server_off(k.st, s).is_some());
        let emptied = |m: &Member| !moving && k.st.evacuated.contains_key(&m.domain);
        let roles = Roles {
            take_over: &|m| k.can_take_over(m),
            keep_fencing: &|m| k.holds_on(m, &db.fencers, round) && !emptied(m),
            keep_gateway: &|m| {
                k.holds_on(m, &db.gateways, round) && !emptied(m) && !k.c.stops(m.id)
            },
            stopping: &|m| k.c.stops(m.id),
        };
        let seats = place(k.cfg, k.st, name, &roles)?;
        (seats.fencers != db.fencers || seats.gateways != db.gateways).then_some(seats)
    }
}

/// A fencing node and a gateway of the database run and take new work.
fn served(k: &Sky, name: &str) -> bool {
    let takes_work = |ids: &[NodeId]| ids.iter().any(|id| k.c.serves(*id));
    let db = k.st.dbs.get(name);
    db.is_some_and(|d| takes_work(&d.fencers) && takes_work(&d.gateways))
}
