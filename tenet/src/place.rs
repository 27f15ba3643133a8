use crate::base::*;
use crate::config::Config;
use crate::state::*;
use crate::table::db_servers;

pub struct Seats {
    pub fencers: Vec<NodeId>,
    pub gateways: Vec<NodeId>,
}

fn pick(want: usize, old: &[NodeId], from: &[NodeId], stay: &[NodeId], salt: u64) -> Vec<NodeId> {
    let keeps = |n: &NodeId| from.iter().chain(stay).any(|m| m == n);
    let mut v: Vec<NodeId> = old
        .iter()
        .filter(|n| keeps(n))
        .copied()
        .take(want)
        .collect();
    let mut rest: Vec<NodeId> = from.iter().copied().filter(|n| !v.contains(n)).collect();
    rest.sort_by_key(|n| mix(n ^ salt));
    v.extend(rest.into_iter().take(want - v.len().min(want)));
    v
}

pub type Fit<'a> = &'a dyn Fn(&Member) -> bool;

pub fn place(c: &Config, st: &State, name: &str, fit: Fit, stay: Fit, gate: Fit) -> Option<Seats> {
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
    let members: Vec<&Member> = st.members.values().filter(|m| !m.disk && fit(m)).collect();
    let staying: Vec<&Member> = st.members.values().filter(|m| !m.disk && stay(m)).collect();
    let gating: Vec<&Member> = st.members.values().filter(|m| !m.disk && gate(m)).collect();
    let of = |v: &[&Member], r: &str| -> Vec<NodeId> {
        v.iter()
            .filter(|m| c.region(&m.domain) == Some(r))
            .map(|m| m.id)
            .collect()
    };
    let salt = digest(name.as_bytes());
    let want = if cfg.homes.len() == 1 { 3 } else { 2 };
    let mut f = pick(
        want,
        &db.fencers,
        &of(&members, home),
        &of(&staying, home),
        salt,
    );
    let mut others = cfg.homes.iter().filter(|h| *h != home);
    while f.is_empty() {
        let h = others.next()?;
        f = pick(want, &db.fencers, &of(&members, h), &of(&staying, h), salt);
    }
    let gateways = match cfg.homes.len() {
        1 => f.clone(),
        _ => cfg
            .homes
            .iter()
            .flat_map(|h| pick(2, &db.gateways, &of(&members, h), &of(&gating, h), salt ^ 1))
            .collect(),
    };
    Some(Seats {
        fencers: f,
        gateways,
    })
}
