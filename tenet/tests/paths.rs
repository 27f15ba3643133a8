//! The way of a request from node to node.
#![cfg(not(loom))]

mod placed;

use placed::*;

#[test]
fn the_path_crosses_a_region_unless_homes_forbid_it() {
    let (c, s, _) = fleet();
    let d = s.dbs["members"].clone();
    let region = |n: NodeId| c.region(&s.members[&n].domain).unwrap().to_string();
    let local = *d.gateways.iter().find(|g| region(**g) == "geneva").unwrap();
    let remote = *d.gateways.iter().find(|g| region(**g) == "zurich").unwrap();
    let go = |me: NodeId, l: &Load| {
        let t = table(&c, &s, me);
        hop(&t, &t.dbs[t.db_ix["members"]], l, 0, &Silent::default())
    };
    let homes = ["geneva", "zurich"];
    assert!(matches!(go(local, &load(&homes, vec![9])), Hop::Gateway(g) if region(g) == "zurich"));
    assert!(matches!(go(remote, &load(&homes, vec![9])), Hop::Fence(f) if d.fencers.contains(&f)));
    assert!(matches!(
        go(local, &load(&homes, vec![9, remote])),
        Hop::Fence(_)
    ));
    assert!(matches!(
        go(local, &load(&["geneva"], vec![9])),
        Hop::Fence(_)
    ));
    assert!(matches!(
        go(remote, &load(&["zurich"], vec![9])),
        Hop::Nowhere(Kind::NoHome, _)
    ));
}

#[test]
fn a_gateway_that_cannot_reach_fencing_goes_around_by_a_region_that_can() {
    let (c, s, _) = fleet();
    let d = s.dbs["members"].clone();
    let region = |n: NodeId| c.region(&s.members[&n].domain).unwrap().to_string();
    let far = *d.gateways.iter().find(|g| region(**g) == "zurich").unwrap();
    let t = table(&c, &s, far);
    let go = |silent: &Silent, hops: Vec<NodeId>| {
        hop(
            &t,
            &t.dbs[t.db_ix["members"]],
            &load(&["geneva", "zurich"], hops),
            0,
            silent,
        )
    };
    let one: Silent = d.fencers[..1].iter().copied().collect();
    assert_eq!(go(&one, vec![far]), Hop::Fence(d.fencers[1]));
    let both: Silent = d.fencers.iter().copied().collect();
    let way: Vec<NodeId> = d
        .gateways
        .iter()
        .copied()
        .filter(|g| region(*g) == "geneva" && !both.contains(g))
        .collect();
    match way.first() {
        Some(_) => assert!(matches!(go(&both, vec![far]), Hop::Gateway(g) if way.contains(&g))),
        None => assert!(matches!(go(&both, vec![far]), Hop::Fence(_))),
    }
    let geneva = *d.gateways.iter().find(|g| region(**g) == "geneva").unwrap();
    assert!(matches!(go(&both, vec![geneva, far]), Hop::Fence(_)));
}

#[test]
fn work_leaves_a_peer_that_answers_nothing_and_comes_back_to_one_that_does() {
    let mut p = tenet::peers::Peers::default();
    p.sent(10, 7, Addr::NONE);
    p.sent(90, 7, Addr::NONE);
    assert_eq!(p.tick(50).0.len(), 0);
    assert_eq!(p.tick(10 + PEER_ASK).0.len(), 1);
    assert!(p.silent.is_empty());
    assert!(p.tick(10 + PEER_SILENT).1.is_empty() && p.silent.contains(&7));
    assert_eq!(p.tick(10 + PEER_LOST).1, [7]);
    assert!(p.tick(20 + PEER_LOST).1.is_empty());
    p.heard(7);
    assert!(p.silent.is_empty() && p.tick(5000).0.is_empty());
}
