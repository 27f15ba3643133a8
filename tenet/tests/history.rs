//! What a long history of configurations costs the replicas of the control state.
#![cfg(not(loom))]
use serde_json::{json, Value};
use tenet::base::*;
use tenet::chain::{Chain, Out};
use tenet::disk::*;
use tenet::state::{Ask, Op};

const ALUMNI: &str = include_str!("../../examples/alumni.json");

fn seat(id: NodeId) -> Seat {
    Seat {
        id,
        addr: Addr {
            ip: [7; 16],
            port: id as u16,
        },
    }
}

fn replica(id: NodeId) -> Chain {
    let seats: Vec<Seat> = (1..=3).map(seat).collect();
    let view = View {
        n: 3,
        cluster: 1,
        voters: seats.clone(),
        chain: seats,
    };
    let durable = Durable {
        id,
        view,
        whole: 3,
        ..Durable::default()
    };
    Chain::new(seat(id), durable, 1)
}

/// A valid document of about 200 KB with its origin inside, as the platform's translation has it.
fn document(version: u64, routes: usize) -> String {
    let mut document: Value = serde_json::from_str(ALUMNI).unwrap();
    let mut origin = json!({"version": version, "routes": {}});
    for i in 0..routes {
        let limit =
            1000 + (i as u64 * 7 + version * (i as u64 == version % routes as u64) as u64) % 500;
        let name = format!("route-{i}");
        document["entries"][&name] = json!({"database": "members", "reads": "directory-search",
            "writes": "ticket", "statement_ms": limit, "request_ms": 6000, "patience_ms": 2500});
        origin["routes"][&name] = json!({"service": "members", "limit": limit});
    }
    document["origin"] = origin.to_string().into();
    document.to_string()
}

fn publish(chain: &mut Chain, version: u64, routes: usize) {
    let op = Op::Publish {
        version,
        text: document(version, routes),
    };
    let ask = Ask {
        id: version,
        from: seat(8).addr,
        at: 0,
        op,
    };
    let mut out = Out::default();
    chain.propose(ask, &mut out);
    let sequence = chain.seq(&mut out).expect("the change is written");
    chain.synced(version, sequence, &mut out);
    assert_eq!(chain.d.state.cfg_version, version);
}

#[test]
fn the_log_of_a_thousand_changes_stays_small_while_the_successor_is_away() {
    let mut head = replica(1);
    let routes = 1500;
    assert!(document(1, routes).len() > 200_000);
    (1..=1000).for_each(|version| publish(&mut head, version, routes));
    let retained = head.log.bytes();
    println!("{retained} bytes retained");
    assert!(retained <= 1 << 20, "{retained} bytes retained");
}
