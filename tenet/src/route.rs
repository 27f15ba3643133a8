//! The next hop of a request: serve it here, a fencing node, another gateway, or none with the reason. A hop
//! outside the request's allowed regions is never chosen.

use crate::base::*;
use crate::kind::Kind;
use crate::plant::{planted, Bug};
use crate::table::*;
use crate::wire::{Act, Load};
use std::collections::BTreeSet;

pub type Silent = BTreeSet<NodeId>;

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Hop {
    Serve,
    Fence(NodeId),
    Gateway(NodeId),
    Nowhere(Kind, &'static str),
}

fn allowed(t: &Table, n: NodeId, l: &Load) -> bool {
    t.nodes
        .get(&n)
        .is_some_and(|r| l.regions.contains(&r.region) || planted(Bug::HomesIgnored))
}

fn alive_first(t: &Table, v: &[NodeId], l: &Load, turn: u64) -> Vec<NodeId> {
    let mut v: Vec<NodeId> = v.iter().filter(|n| allowed(t, **n, l)).copied().collect();
    let n = v.len().max(1);
    v.rotate_left(turn as usize % n);
    v.sort_by_key(|n| !t.nodes.get(n).is_some_and(|r| r.alive));
    v
}

pub fn hop(t: &Table, db: &DbRow, l: &Load, turn: u64, silent: &Silent) -> Hop {
    let lead = db.primary.map(|p| t.servers[p].region.clone());
    if lead.is_some_and(|r| !l.regions.contains(&r)) {
        return Hop::Nowhere(Kind::NoHome, "the primary is in no home of this tenant");
    }
    if db.merged && db.fences && (l.fence == 0 || l.fence == t.me) {
        return Hop::Serve;
    }
    if !db.gates {
        return Hop::Nowhere(Kind::NoPrimary, "this node is no gateway for the database");
    }
    let fence_region = db
        .fencers
        .iter()
        .filter_map(|f| t.nodes.get(f))
        .map(|r| &r.region)
        .next();
    let local = fence_region == Some(&t.region);
    if local && db.detour && !db.merged && l.hops.len() < 2 {
        let far: Vec<NodeId> = db
            .gateways
            .iter()
            .filter(|g| {
                !silent.contains(g)
                    && t.nodes
                        .get(g)
                        .is_some_and(|r| r.region != t.region && r.alive)
            })
            .copied()
            .collect();
        if let Some(g) = alive_first(t, &far, l, turn).first() {
            return Hop::Gateway(*g);
        }
    }
    if l.fence != 0 && !(l.act == Act::Commit && l.look_up && !db.fencers.contains(&l.fence)) {
        return match db.fencers.contains(&l.fence) {
            false => Hop::Nowhere(Kind::Aborted, "its fencing node holds the role no more"),
            true if silent.contains(&l.fence) => {
                around(t, db, l, turn, silent).unwrap_or(Hop::Fence(l.fence))
            }
            true => Hop::Fence(l.fence),
        };
    }
    let all = alive_first(t, &db.fencers, l, turn);
    let near = all
        .iter()
        .find(|f| !silent.contains(f))
        .map(|f| Hop::Fence(*f));
    near.or_else(|| around(t, db, l, turn, silent))
        .or(all.first().map(|f| Hop::Fence(*f)))
        .unwrap_or(Hop::Nowhere(
            Kind::NoPrimary,
            "no fencing node within the allowed regions",
        ))
}

/// Another gateway that this node reaches, in a region that the request has not passed.
fn around(t: &Table, db: &DbRow, l: &Load, turn: u64, silent: &Silent) -> Option<Hop> {
    let region = |n: &NodeId| t.nodes.get(n).map(|r| r.region.as_str());
    let passed = |n: &NodeId| l.hops.iter().any(|h| region(h) == region(n));
    let fresh =
        |n: &&NodeId| !silent.contains(n) && region(n) != Some(t.region.as_str()) && !passed(n);
    alive_first(t, &db.gateways, l, turn)
        .iter()
        .find(fresh)
        .map(|g| Hop::Gateway(*g))
}

pub fn gateways(t: &Table, db: &DbRow, l: &Load, turn: u64, silent: &Silent) -> Vec<NodeId> {
    let mut v = alive_first(t, &db.gateways, l, turn);
    v.sort_by_key(|n| {
        let r = t.nodes.get(n);
        (
            silent.contains(n),
            !r.is_some_and(|r| r.alive),
            r.is_none_or(|r| r.region != t.region),
        )
    });
    v
}

pub fn homes(t: &Table, db: &DbRow, tenant: Option<&str>) -> Vec<String> {
    let mut v = tenant
        .and_then(|x| db.tenants.get(x))
        .unwrap_or(&db.homes)
        .clone();
    if !v.contains(&t.region) {
        v.push(t.region.clone());
    }
    v
}
