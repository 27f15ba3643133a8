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

impl Sky<'_> {
    /// Another process lives at the address of this member.
    pub(crate) fn replaced(&self, m: &Member) -> bool {
        self.c.live().any(|s| s.addr == m.addr && s.id != m.id)
    }

    /// It may take over work: it runs, does not stop, and its domain is not being emptied.
    fn can_take_over(&self, m: &Member) -> bool {
        m.phase != "leaving" && self.c.serves(m.id) && !self.st.evacuated.contains_key(&m.domain)
    }

    /// Nothing says that it is lost. A suspect is not lost while another one of the `role` serves, and who
    /// began to watch a moment ago has not heard of everybody yet.
    fn holds_on(&self, m: &Member, role: &[NodeId], began: Time) -> bool {
        let unheard = !self.c.all.contains_key(&m.id) && self.now < began + PLACE_UNHEARD;
        let others = || role.iter().any(|id| *id != m.id && self.c.serves(*id));
        let suspect = self.c.suspect(m.id) && others();
        let runs = self.c.alive(m.id) || suspect || unheard;
        m.phase != "leaving" && runs && !self.replaced(m)
    }
}

impl Watch {
    pub(crate) fn place_all(&mut self, k: &Sky, began: Time, ops: &mut Vec<Op>) {
        if k.now < began + PILOT_FIRST {
            return;
        }
        let mut wanted: Vec<(bool, &String, Seats)> = k
            .cfg
            .databases
            .keys()
            .filter_map(|name| {
                let seats = self.wanted_seats(k, name, began)?;
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
    fn wanted_seats(&mut self, k: &Sky, name: &str, began: Time) -> Option<Seats> {
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
            keep_fencing: &|m| k.holds_on(m, &db.fencers, began) && !emptied(m),
            keep_gateway: &|m| {
                k.holds_on(m, &db.gateways, began) && !emptied(m) && !k.c.stops(m.id)
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
