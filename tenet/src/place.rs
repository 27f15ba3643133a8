//! Who fences a database and who are its gateways: those that hold the role, while they may, and others
//! in an order that differs by database.

use crate::base::*;
use crate::config::Config;
use crate::state::*;
use crate::table::db_servers;
use std::collections::BTreeMap;

/// The holders of a database's roles.
pub struct Seats {
    /// Hold the primary's address.
    pub fencers: Vec<NodeId>,
    /// Take requests from everywhere.
    pub gateways: Vec<NodeId>,
}

/// Chooses `want` nodes: those that keep their seat, then others. Who stops keeps a seat beside them.
fn pick(want: usize, old: &[NodeId], kept: &Candidates, salt: u64) -> Vec<NodeId> {
    let stays = |n: &&NodeId| kept.from.contains(n) || kept.stay.contains(n);
    let old: Vec<NodeId> = old.iter().filter(stays).copied().collect();
    let (leaving, mut chosen): (Vec<NodeId>, Vec<NodeId>) =
        old.into_iter().partition(|n| kept.leaving.contains(n));
    chosen.truncate(want);
    let unchosen = kept.from.iter().filter(|n| !chosen.contains(n));
    let mut rest: Vec<NodeId> = unchosen.copied().collect();
    rest.sort_by_key(|n| mix(n ^ salt));
    let missing = want - chosen.len();
    chosen.extend(rest.into_iter().take(missing));
    chosen.extend(leaving);
    chosen
}

/// The members of a region by what they may do.
struct Candidates {
    /// May take a seat.
    from: Vec<NodeId>,
    /// May keep one.
    stay: Vec<NodeId>,
    /// Are stopping.
    leaving: Vec<NodeId>,
}

/// Which members may take or keep a role.
pub struct Roles<'a> {
    /// May take over a role that it does not hold.
    pub take_over: Fit<'a>,
    /// May go on fencing.
    pub keep_fencing: Fit<'a>,
    /// May go on as a gateway.
    pub keep_gateway: Fit<'a>,
    /// Is stopping: it keeps what it has open, and another one is chosen beside it.
    pub stopping: Fit<'a>,
}

impl Roles<'_> {
    /// Everybody may take and keep every role, and nobody stops.
    pub fn unrestricted() -> Roles<'static> {
        Roles {
            take_over: &|_| true,
            keep_fencing: &|_| true,
            keep_gateway: &|_| true,
            stopping: &|_| false,
        }
    }
}

/// Whether a member fits.
pub type Fit<'a> = &'a dyn Fn(&Member) -> bool;

/// Chooses who fences a database and who are its gateways. `None`: no home of it has a node.
pub fn place(c: &Config, st: &State, name: &str, roles: &Roles) -> Option<Seats> {
    let cfg = c.databases.get(name)?;
    let blank = Db::default();
    let db = st.dbs.get(name).unwrap_or(&blank);
    let told = || {
        db_servers(c, st, name)
            .into_iter()
            .filter(|s| s.leads)
            .map(|s| &s.name)
            .collect::<Vec<_>>()
    };
    let at = db
        .primary
        .as_ref()
        .or(db.target.as_ref())
        .or(db.old.as_ref());
    let lone = at
        .is_none()
        .then(told)
        .filter(|v| v.len() == 1)
        .map(|v| v[0]);
    let at = at.or(lone);
    let region = |s: &String| st.servers.get(s).and_then(|s| c.region(&s.domain));
    let home = at.and_then(region).unwrap_or(&cfg.homes[0]);
    let mut by_region: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for member in st.members.values().filter(|m| !m.disk) {
        let region = c.region(&member.domain).unwrap_or("");
        by_region.entry(region).or_default().push(member);
    }
    let of = |region: &str, old: &[NodeId], keep: Fit| {
        let here = by_region.get(region).map_or(&[][..], |v| &v[..]);
        let holders = here.iter().filter(|m| old.contains(&m.id));
        let holders: Vec<&Member> = holders.copied().collect();
        let ids = |members: &[&Member], fit: Fit| -> Vec<NodeId> {
            let fitting = members.iter().filter(|m| fit(m));
            fitting.map(|m| m.id).collect()
        };
        Candidates {
            from: ids(here, roles.take_over),
            stay: ids(&holders, keep),
            leaving: ids(&holders, roles.stopping),
        }
    };
    let salt = digest(name.as_bytes());
    let want = if cfg.homes.len() == 1 { 3 } else { 2 };
    let fencing = |region: &str| of(region, &db.fencers, roles.keep_fencing);
    let mut fencers = pick(want, &db.fencers, &fencing(home), salt);
    let mut others = cfg.homes.iter().filter(|h| *h != home);
    while fencers.is_empty() {
        fencers = pick(want, &db.fencers, &fencing(others.next()?), salt);
    }
    let gating = |region: &String| of(region, &db.gateways, roles.keep_gateway);
    let gateways = match cfg.homes.len() {
        1 => fencers.clone(),
        _ => cfg
            .homes
            .iter()
            .flat_map(|h| pick(2, &db.gateways, &gating(h), salt ^ 1))
            .collect(),
    };
    Some(Seats { fencers, gateways })
}
