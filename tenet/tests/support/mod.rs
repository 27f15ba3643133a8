//! Replicas and documents for the tests of the replicated log.
#![allow(dead_code)]
use serde_json::{json, Value};
use tenet::base::*;
use tenet::chain::{Chain, Out};
use tenet::colleagues::Colleagues;
use tenet::disk::*;
use tenet::state::{Ask, Op};
use tenet::wire::{Msg, Summary, WIRE};

const ALUMNI: &str = include_str!("../../../examples/alumni.json");
pub const VIEW: Mark = 3;

pub fn seat(id: NodeId) -> Seat {
    Seat {
        id,
        addr: Addr {
            ip: [7; 16],
            port: id as u16,
        },
    }
}

pub fn view_of(members: &[NodeId]) -> View {
    let seats: Vec<Seat> = members.iter().map(|id| seat(*id)).collect();
    View::in_sync(VIEW, 1, seats.clone(), seats)
}

/// A replica that is in sync (`whole`) in the view, or only a member of it.
pub fn replica_in(view: &View, id: NodeId, whole: bool) -> Chain {
    let durable = Durable {
        id,
        view: view.clone(),
        whole: if whole { VIEW } else { 0 },
        ..Durable::default()
    };
    Chain::new(seat(id), durable, 1)
}

/// What a machine with a disk, in the present view, tells of itself.
pub fn summary(id: NodeId, stopping: bool) -> Summary {
    Summary {
        id,
        addr: seat(id).addr,
        http: Addr::NONE,
        domain: "a".into(),
        disk: true,
        life: 1,
        status: 0,
        view: VIEW,
        mark: 0,
        allows: true,
        stopping,
    }
}

/// One replica's knowledge of the others, all of them alive.
pub fn gossip(me: NodeId, members: &[NodeId]) -> Colleagues {
    let mut gossip = Colleagues::new(summary(me, false), vec![], WIRE);
    for id in members.iter().filter(|id| **id != me) {
        let news = vec![summary(*id, false)];
        let probe = Msg::Probe { seq: 1, news };
        gossip.take(10, *id, seat(*id).addr, &probe, &mut Vec::new());
    }
    gossip
}

/// A valid document with its origin inside, as a translated one has it; about 190 bytes a route. Each
/// version changes the limit of one route.
pub fn document(version: u64, routes: usize) -> String {
    let mut document: Value = serde_json::from_str(ALUMNI).unwrap();
    let mut origin = json!({"version": version, "routes": {}});
    for i in 0..routes {
        let changed = i as u64 == version % routes as u64;
        let limit = 1000 + (i as u64 * 7 + version * changed as u64) % 500;
        let name = format!("route-{i}");
        document["entries"][&name] = json!({"database": "members", "reads": "directory-search",
            "writes": "ticket", "statement_ms": limit, "request_ms": 6000, "patience_ms": 2500});
        origin["routes"][&name] = json!({"service": "members", "limit": limit});
    }
    document["origin"] = origin.to_string().into();
    document.to_string()
}

pub fn ask(id: u64, op: Op) -> Ask {
    Ask {
        id,
        question: id,
        from: seat(8).addr,
        at: 0,
        op,
    }
}

pub fn publication(version: u64, routes: usize) -> Ask {
    let text = document(version, routes);
    let op = Op::Publish {
        version,
        document: digest(text.as_bytes()),
        text,
    };
    ask(version, op)
}

/// Writes what the replica has to write, and tells it that this is synced.
pub fn sync(chain: &mut Chain, now: Time, out: &mut Out) -> Vec<Rec> {
    let Some(sequence) = chain.seq(out) else {
        return Vec::new();
    };
    let written = std::mem::take(&mut out.write);
    chain.synced(now, sequence, out);
    written
}

/// A change through the head, synced there; what it wrote.
pub fn publish(head: &mut Chain, version: u64, routes: usize) -> Vec<Rec> {
    let mut out = Out::default();
    head.propose(version, publication(version, routes), &mut out);
    let written = sync(head, version, &mut out);
    assert_eq!(head.d.state.cfg_version, version);
    written
}
