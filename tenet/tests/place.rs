//! Who holds the roles of a database, and what each node's table says of it.
#![cfg(not(loom))]

mod peers;
mod placed;

use placed::*;

#[test]
fn two_fence_beside_the_primary_and_each_home_region_has_gateways() {
    let (c, mut s, _) = fleet();
    let region = |s: &State, n: &NodeId| c.region(&s.members[n].domain).unwrap().to_string();
    let d = s.dbs["members"].clone();
    assert_eq!(d.fencers.len(), 2);
    assert!(d.fencers.iter().all(|f| region(&s, f) == "geneva"));
    assert_eq!(d.gateways.len(), 4);
    assert!(
        d.gateways.iter().all(|g| region(&s, g) != "lugano"),
        "lugano is no home of members"
    );
    let out = d.fencers[0];
    let roles = Roles {
        take_over: &|m| m.id != out,
        keep_fencing: &|_| true,
        keep_gateway: &|m| m.id != out,
        stopping: &|m| m.id == out,
    };
    let v = place(&c, &s, "members", &roles).unwrap();
    assert!(
        d.fencers.iter().all(|f| v.fencers.contains(f)),
        "a stopping node keeps fencing what is open"
    );
    let new: Vec<_> = v
        .fencers
        .iter()
        .filter(|f| !d.fencers.contains(f))
        .collect();
    assert_eq!(new.len(), 1, "another one fences beside it");
    assert_eq!(region(&s, new[0]), "geneva");
    assert!(!v.gateways.contains(&out) && v.gateways.len() == 4);
    let dead = d.fencers[0];
    seat(&c, &mut s, &|m| m.id != dead);
    let e = s.dbs["members"].clone();
    assert!(
        e.fencers.contains(&d.fencers[1]) && !e.fencers.contains(&dead) && e.fencers.len() == 2
    );
    seat(&c, &mut s, &|m| c.region(&m.domain) != Some("geneva"));
    assert!(
        s.dbs["members"]
            .fencers
            .iter()
            .all(|f| region(&s, f) == "zurich"),
        "the other home region takes over"
    );
}

#[test]
fn only_fencing_holds_the_primary_s_address() {
    let (c, s, _) = fleet();
    for me in 1..=9 {
        let t = table(&c, &s, me);
        let row = &t.servers[t.dbs[t.db_ix["members"]].primary.unwrap()];
        assert_eq!(
            row.addr == Addr::NONE,
            !s.dbs["members"].fencers.contains(&me),
            "node {me}"
        );
    }
}

#[test]
fn a_rebuilt_heir_counts_no_more() {
    let (c, mut s, _) = fleet();
    let heirs = |s: &State| {
        table(&c, s, 1).dbs[table(&c, s, 1).db_ix["members"]]
            .heirs
            .len()
    };
    assert_eq!(heirs(&s), 2);
    put(&mut s, announce("b", DOMAINS[1], 99));
    assert_eq!(heirs(&s), 1);
}

#[test]
fn the_last_heir_that_was_rebuilt_joins_anew() {
    let (c, mut s, epoch) = fleet();
    let why = String::new();
    put(
        &mut s,
        Op::HeirLeave {
            db: "members".into(),
            epoch,
            server: "c".into(),
            why,
        },
    );
    put(&mut s, announce("b", DOMAINS[1], 99));
    let me = peers::control_machine(1, DOMAINS[1]);
    let peers = Colleagues::new(me, vec![], 2);
    let sight = |n: &str, life, leads: bool| Sight {
        server: n.into(),
        life,
        age: 0,
        reach: true,
        pos: 5,
        follows: if leads { "" } else { "a" }.into(),
        leads,
        link: true,
    };
    let mut w = Watch::default();
    let mut joins = |now| {
        w.sights(now, 2, vec![sight("a", 10, true), sight("b", 99, false)]);
        let (ops, _) = w.tick(&Sky {
            now,
            me: 1,
            st: &s,
            cfg: &c,
            c: &peers,
        });
        ops.iter()
            .any(|o| matches!(o, Op::HeirJoin { server, .. } if server == "b"))
    };
    assert!(joins(5000) && joins(9000));
}

#[test]
fn a_server_that_left_keeps_its_place_in_the_table_so_that_the_others_keep_theirs() {
    let (c, mut s, _) = fleet();
    let old = table(&c, &s, 1);
    put(
        &mut s,
        Op::Depart {
            server: "b".into(),
            seq: 0,
        },
    );
    put(&mut s, announce("d", DOMAINS[0], 20));
    let t = Maker {
        old: Some(&old),
        ..maker(&c, &s)
    }
    .make();
    let names: Vec<&str> = t.servers.iter().map(|r| r.name.as_str()).collect();
    assert_eq!(names, ["a", "b", "c", "d"]);
    assert_eq!(
        (t.servers[1].addr, t.servers[1].life),
        (Addr::NONE, old.servers[1].life)
    );
    let db = &t.dbs[t.db_ix["members"]];
    assert!(!db.servers.contains(&1) && db.servers.contains(&3) && db.primary == Some(0));
}

#[test]
fn a_late_announcement_changes_nothing_and_an_ended_server_stays_ended() {
    let (_, mut s, _) = fleet();
    let told = |seq, leaving| match announce("z", DOMAINS[0], 30) {
        Op::Announce {
            server,
            addr,
            domain,
            labels,
            life,
            leads,
            ..
        } => Op::Announce {
            server,
            addr,
            domain,
            labels,
            life,
            leads,
            leaving,
            terms: true,
            seq,
        },
        _ => unreachable!(),
    };
    put(&mut s, told(4, false));
    put(&mut s, told(6, true));
    put(&mut s, told(5, false));
    assert!(s.servers["z"].leaving);
    put(
        &mut s,
        Op::Depart {
            server: "z".into(),
            seq: 0,
        },
    );
    put(&mut s, told(7, false));
    assert!(!s.servers.contains_key("z"));
}

#[test]
fn where_one_replica_holds_each_commit_both_are_seen_before_one_is_chosen() {
    let text = ALUMNI.replacen(
        "\"cap\":",
        "\"can\": {\"confirms\": false, \"synced\": 1}, \"cap\":",
        9,
    );
    let c = Arc::new(Config::parse(&text).unwrap_or_else(|e| panic!("{e:?}")));
    let (_, mut s, epoch) = fleet();
    put(
        &mut s,
        Op::Offline {
            db: "members".into(),
            epoch,
            why: String::new(),
        },
    );
    let me = peers::control_machine(1, DOMAINS[1]);
    let peers = Colleagues::new(me, vec![], 2);
    let sight = |n: &str, life, pos| Sight {
        server: n.into(),
        life,
        age: 0,
        reach: true,
        pos,
        follows: "a".into(),
        leads: false,
        link: true,
    };
    let choose = |w: &mut Watch, now, v: Vec<Sight>| {
        w.sights(now, 2, v);
        let (ops, _) = w.tick(&Sky {
            now,
            me: 1,
            st: &s,
            cfg: &c,
            c: &peers,
        });
        ops.into_iter().find_map(|o| {
            if let Op::Target { server, .. } = o {
                Some(server)
            } else {
                None
            }
        })
    };
    let mut w = Watch::default();
    choose(&mut w, 1000, vec![]);
    let late = 1000 + 3 * FULL + HEIR_LOOK;
    assert_eq!(choose(&mut w, late, vec![sight("b", 11, 7)]), None);
    assert_eq!(choose(&mut w, late + 60_000, vec![sight("b", 11, 7)]), None);
    assert_eq!(
        choose(
            &mut w,
            late + 60_100,
            vec![sight("b", 11, 7), sight("c", 12, 9)]
        ),
        Some("c".into())
    );
}
