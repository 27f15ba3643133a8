//! Values that the samples are made of. Numbers differ from each other, so that fields that changed
//! places are seen.

use std::collections::BTreeMap;
use tenet::base::Addr;
use tenet::departed::DepartedServers;
use tenet::disk::{Seat, View};
use tenet::document::Document;
use tenet::kind::{Kind, Reject};
use tenet::snapshot::SnapshotId;
use tenet::state::*;
use tenet::versions::ConfirmedVersions;
use tenet::wire::{Done, Load, SetUp, Sight, Summary};

/// An address of IPv4, as processes have them.
pub fn addr(last: u8) -> Addr {
    let address: std::net::SocketAddr = format!("10.1.2.{last}:74{last:02}").parse().unwrap();
    address.into()
}

pub fn seat(number: u8) -> Seat {
    Seat {
        id: 0x0011_2233_4455_6600 | number as u64,
        addr: addr(number),
    }
}

pub fn view() -> View {
    View::in_sync(
        0x0301,
        0x0102_0304_0506_0708,
        vec![seat(1), seat(2), seat(3)],
        vec![seat(2), seat(4)],
    )
}

/// A change that asks for an operation.
pub fn ask(op: Op) -> Ask {
    Ask {
        id: 0xa1,
        question: 0xa2,
        from: addr(5),
        at: 0xa3,
        op,
    }
}

/// An entry of the log that holds an operation.
pub fn entry(mark: u64, op: Op) -> Entry {
    Entry {
        mark,
        clock: 0xb1,
        ask: ask(op),
    }
}

pub fn snapshot_id() -> SnapshotId {
    SnapshotId {
        index: 0xc1,
        digest: 0xc2,
        length: 0xc3,
    }
}

pub fn summary() -> Summary {
    Summary {
        id: 0xd1,
        addr: addr(6),
        http: addr(7),
        domain: "zone-a".into(),
        disk: true,
        life: 0xd2,
        status: 2,
        view: 0xd3,
        mark: 0xd4,
        allows: false,
        stopping: true,
    }
}

pub fn observation() -> Sight {
    Sight {
        server: "server-1".into(),
        life: 0xe1,
        age: 0xe2,
        reach: true,
        pos: 0xe3,
        follows: "server-2".into(),
        leads: false,
        link: true,
    }
}

pub fn verdict(reject: Option<Reject>) -> Verdict {
    Verdict { mark: 0xf1, reject }
}

pub fn load(act: tenet::wire::Act) -> Load {
    Load {
        db: "orders".into(),
        id: "request-1".into(),
        act,
        txn: 0x11,
        writes: true,
        look_up: false,
        budget: 0x12,
        limit: 0x13,
        after: 0x14,
        setup: SetUp {
            user: "ann".into(),
            settings: vec![("zone".into(), "CET".into())],
            prepared: vec![("find".into(), "FETCH $1".into())],
        },
        body: "{\"op\":\"put\"}".into(),
        regions: vec!["north".into(), "south".into()],
        hops: vec![0x15, 0x16],
        fence: 0x17,
        session: 0x18,
        epoch: 0x19,
    }
}

pub fn done() -> Done {
    Done {
        body: "[1]".into(),
        epoch: 0x21,
        pos: 0x22,
        age: 0x23,
        fence: 0x24,
        repeat: true,
        hops: vec![0x25],
        server: "server-3".into(),
    }
}

fn database() -> Db {
    Db {
        epoch: 0x31,
        phase: "steady".into(),
        primary: Some("server-1".into()),
        old: Some("server-2".into()),
        target: None,
        asker: 0x32,
        since: 0x33,
        planned: true,
        heirs: BTreeMap::from([("server-3".into(), 0x34)]),
        joining: BTreeMap::from([("server-4".into(), 0x35)]),
        retired: BTreeMap::from([("server-5".into(), 0x36)]),
        fencers: vec![0x37, 0x38],
        gateways: vec![0x39],
    }
}

fn server() -> Server {
    Server {
        name: "server-1".into(),
        addr: addr(8),
        domain: "zone-b".into(),
        labels: [("service".into(), "orders".into())].into(),
        life: 0x41,
        leads: true,
        leaving: false,
        terms: true,
        seq: 0x42,
    }
}

fn member() -> Member {
    Member {
        id: 0x51,
        addr: addr(9),
        http: addr(10),
        domain: "zone-c".into(),
        disk: true,
        phase: "full".into(),
        at: 0x52,
    }
}

fn departed() -> DepartedServers {
    let mut departed = DepartedServers::default();
    departed.add("server-6", 0x61);
    departed.add("server-7", 0);
    departed
}

fn versions() -> ConfirmedVersions {
    let mut versions = ConfirmedVersions::default();
    versions.record(0x71, 0x72);
    versions.record(0x73, 0x74);
    versions
}

/// A state with a value in each field.
pub fn state() -> State {
    State {
        cluster: 0x81,
        token_origin: 0x82,
        mark: 0x83,
        cfg_mark: 0x84,
        cfg_base: 0x85,
        cfg_version: 0x86,
        cfg: Document::new("{\"name\":\"sample\"}"),
        versions: versions(),
        clock: 0x87,
        evacuated: [("zone-a".into(), 0x88)].into(),
        drained: [("server-1".into(), 0x89)].into(),
        members: [(0x51, member())].into(),
        servers: [("server-1".into(), server())].into(),
        departed: departed(),
        servers_off_since: [("server-1".into(), 0x8a)].into(),
        domains_off_since: [("zone-a".into(), 0x8b)].into(),
        holds: [(
            "zone-a".into(),
            Holds {
                n: 2,
                on: Some(0x8c),
                off: None,
            },
        )]
        .into(),
        dbs: [("orders".into(), database())].into(),
        recent: vec![
            (0x8d, 0x8e, verdict(None)),
            (0x8f, 0x90, verdict(Some(reject(Kind::StaleBase)))),
        ],
        stories: vec![Story {
            mark: 0x91,
            at: 0x92,
            topic: "orders".into(),
            text: "adopted as first primary".into(),
        }],
    }
}

pub fn reject(kind: Kind) -> Reject {
    Reject::new(kind, "why so")
}
