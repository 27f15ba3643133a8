//! The row of one database in a node's table: who serves it, and this node's part in it.

use crate::base::*;
use crate::config::Database;
use crate::state::*;
use crate::table::*;

impl Maker<'_> {
    pub(crate) fn db(
        &self,
        n: &str,
        mine: Vec<usize>,
        ix: &dyn Fn(&str) -> Option<usize>,
        servers: &mut [ServerRow],
        count: u32,
        full: bool,
    ) -> DbRow {
        let st = self.st;
        let (blank, none) = (Db::default(), Database::default());
        let cfg = self.cfg.databases.get(n);
        let d = cfg.unwrap_or(&none);
        let b = st.dbs.get(n).filter(|_| cfg.is_some()).unwrap_or(&blank);
        let fences = b.fencers.contains(&self.me);
        let merged = d.homes.len() == 1;
        let need = if merged { 3 } else { 2 };
        let primary = b.primary.as_deref().and_then(ix);
        for i in &mine {
            servers[*i].read_share = if full { (d.cap / 2) / count } else { 0 };
            let start = self.cfg.pool.warm_start / 2;
            servers[*i].warm =
                (start / count).max(1) + if fences { (start / need).max(1) } else { 0 };
            let s = &servers[*i];
            let stale = b.retired.get(&s.name) == Some(&s.life);
            if stale {
                servers[*i].off = Some("was primary, not rebuilt since");
            }
            if !fences
                && (primary == Some(*i) || b.old.as_deref() == Some(servers[*i].name.as_str()))
            {
                servers[*i].addr = Addr::NONE;
            }
        }
        let was = self
            .old
            .and_then(|t| t.db_ix.get(n).map(|i| &t.dbs[*i]))
            .filter(|o| o.fences);
        let gated_until = self
            .old
            .and_then(|t| t.db_ix.get(n).map(|i| t.dbs[*i].gates_until))
            .unwrap_or(0);
        let gates_until = match b.gateways.contains(&self.me) {
            true => self.now + GATEWAY_GRACE,
            false => gated_until,
        };
        let fence_from = was.map_or(self.now + PERMIT + PERMIT_DRIFT, |o| o.fence_from);
        let list = |v: Vec<&String>| v.into_iter().filter_map(|s| ix(s)).collect::<Vec<_>>();
        let at = b.primary.as_ref().or(b.old.as_ref());
        let home = at
            .and_then(|p| st.servers.get(p))
            .and_then(|s| self.cfg.region(&s.domain));
        DbRow {
            name: n.into(),
            epoch: b.epoch,
            phase: b.phase.clone(),
            since: b.since,
            planned: b.planned,
            primary,
            heirs: list(b.heirs.keys().filter(|h| st.heir(b, h)).collect()),
            joining: list(b.joining.keys().collect()),
            servers: mine,
            away: Vec::new(),
            fencers: b.fencers.clone(),
            gateways: b.gateways.clone(),
            fence_region: home.unwrap_or("").into(),
            merged,
            homes: d.homes.clone(),
            tenants: d.tenants.clone(),
            fences,
            fence_share: (d.cap - d.cap / 2) * 2 / 3 / need,
            fence_early: (d.cap - d.cap / 2) / 3 / need,
            fence_from,
            gates: self.now < gates_until,
            gates_until,
            can: d.can,
            detour: d.detour,
        }
    }
}
