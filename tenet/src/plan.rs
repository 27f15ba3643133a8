//! The plan of a request: which gateways and replicas may take it, its deadline and patience. A replica is in it
//! only with a proof that its log is recent enough.

use crate::base::*;
use crate::front::Front;
use crate::kind::Kind;
use crate::ledger::Plan;
use crate::plant::{planted, Bug};
use crate::route;
use crate::table::*;
use crate::wire::*;

impl Front {
    pub(crate) fn proof(
        &self,
        now: Time,
        t: &Table,
        db: usize,
        s: usize,
        pos: u64,
    ) -> Option<Time> {
        let d = &t.dbs[db];
        let lead = d.primary.map(|p| t.servers[p].name.as_str());
        if planted(Bug::AgeIgnored) {
            return Some(0);
        }
        let heir = d
            .heirs
            .contains(&s)
            .then(|| now.saturating_sub(self.until.saturating_sub(PERMIT)));
        let follows = Some(self.known[s].follows.as_str()) == lead;
        let seen = self.marks[db].age(now, d.epoch, pos).filter(|_| follows);
        heir.into_iter().chain(seen).min()
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn replicas(
        &self,
        now: Time,
        t: &Table,
        sid: u64,
        row: &KindRow,
        l: &Load,
        bound: Time,
        own: u64,
    ) -> Vec<usize> {
        let db = self.sessions[&sid].db;
        let d = &t.dbs[db];
        if d.can.guards && l.after == 0 {
            return Vec::new();
        }
        let mut v: Vec<(bool, u32, usize)> = d
            .servers
            .iter()
            .filter(|i| {
                let near = l.regions.contains(&t.servers[**i].region);
                near && (d.can.guards || self.known[**i].pos >= own)
                    && self.may_read(now, t, db, **i, row, bound).is_ok()
            })
            .map(|i| (t.servers[*i].region != t.region, self.pools[*i].used(), *i))
            .collect();
        v.sort();
        v.into_iter().take(2).map(|x| x.2).collect()
    }

    fn entry<'a>(&self, t: &'a Table, sid: u64) -> Option<&'a crate::entry::Entry> {
        let n = self.sessions.get(&sid).and_then(|s| s.entry.as_ref())?;
        t.entries.get(n).map(|r| &r.cfg)
    }

    /// The position a replica's log must hold for a read within `bound` ms, where servers check it.
    pub(crate) fn guard(&self, now: Time, t: &Table, db: usize, bound: Time) -> Option<u64> {
        let d = &t.dbs[db];
        let most = by_slow_clock(bound).saturating_sub(GUARD_SPARE);
        d.can
            .guards
            .then(|| self.marks[db].within(now, d.epoch, GUARD_SETTLED, most))
            .flatten()
    }

    pub(crate) fn load(&mut self, t: &Table, sid: u64, rid: Option<String>, act: Act) -> Load {
        let id = rid.unwrap_or_else(|| format!("r{:x}", self.ids.take()));
        let s = &self.sessions[&sid];
        let d = &t.dbs[s.db];
        Load {
            db: d.name.clone(),
            act,
            limit: self.entry(t, sid).map_or(0, |e| e.statement_ms),
            setup: s.setup.clone(),
            regions: route::homes(t, d, s.tenant.as_deref()),
            session: sid,
            epoch: d.epoch,
            ..blank(id)
        }
    }

    pub(crate) fn plan(
        &mut self,
        now: Time,
        t: &Table,
        sid: u64,
        l: &Load,
        budget: Option<Time>,
    ) -> Plan {
        self.turn += 1;
        let d = &t.dbs[self.sessions[&sid].db];
        let c = &t.cfg.timeouts;
        let e = self.entry(t, sid);
        let most = e.map_or(c.request_ms, |e| e.request_ms);
        Plan {
            gateways: route::gateways(t, d, l, self.turn, &self.peers.silent),
            replicas: Vec::new(),
            writes: l.writes,
            pinned: false,
            commit: false,
            deadline: (now + budget.unwrap_or(most).min(most)).min(self.stop_by().max(now)),
            patience: now + e.map_or(c.patience_ms, |e| e.patience_ms),
            looks_up: d.can.outcomes,
            opens: false,
            none: if d.gateways.is_empty() {
                Kind::NoPrimary
            } else {
                Kind::NoHome
            },
        }
    }
}

pub fn blank(id: String) -> Load {
    Load {
        db: String::new(),
        id,
        act: Act::Single,
        txn: 0,
        writes: false,
        look_up: false,
        budget: 0,
        limit: 0,
        after: 0,
        setup: SetUp::default(),
        body: "null".into(),
        regions: Vec::new(),
        hops: Vec::new(),
        fence: 0,
        session: 0,
        epoch: 0,
    }
}
