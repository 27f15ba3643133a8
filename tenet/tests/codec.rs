#![cfg(not(loom))]
use arbtest::arbtest;
use speedy::Writable;
use tenet::amend::DocumentOrder;
use tenet::base::Addr;
use tenet::disk::{Seat, View};
use tenet::document::Document;
use tenet::document_delta::DocumentDelta;
use tenet::kind::{Kind, Reject};
use tenet::snapshot::*;
use tenet::state::*;
use tenet::wire::*;

fn packets() -> Vec<Packet> {
    let seat = Seat {
        id: 5,
        addr: Addr {
            ip: [3; 16],
            port: 9,
        },
    };
    let view = View::in_sync(3, 7, vec![seat], vec![seat, seat]);
    let ask = Ask {
        question: 0,
        id: 1,
        from: seat.addr,
        at: 2,
        op: Op::Config {
            base: 3,
            text: "{}".into(),
        },
    };
    let entry = Entry {
        clock: 0,
        mark: 4,
        ask: ask.clone(),
    };
    let mut state = State::default();
    state.apply(&Entry {
        clock: 0,
        mark: 1,
        ask: ask.clone(),
    });
    let snapshot = SnapshotId {
        index: 1,
        digest: 2,
        length: 3,
    };
    let amending = Entry {
        mark: 5,
        clock: 3,
        ask: Ask {
            op: Op::Amend {
                order: DocumentOrder::Version {
                    version: 4,
                    sent: 9,
                },
                delta: DocumentDelta::between(&Document::new("{}"), "{ }"),
            },
            ..ask.clone()
        },
    };
    let setup = SetUp {
        user: "u".into(),
        settings: vec![("a".into(), "b".into())],
        prepared: vec![],
    };
    let load = Load {
        db: "d".into(),
        id: "i".into(),
        act: Act::Commit,
        txn: 1,
        writes: true,
        look_up: true,
        budget: 9,
        limit: 3,
        after: 9,
        setup,
        body: "null".into(),
        regions: vec!["r".into()],
        hops: vec![1, 2],
        fence: 3,
        session: 4,
        epoch: 5,
    };
    let msgs = vec![
        Msg::ViewIs { view: view.clone() },
        Msg::Promise {
            inst: 4,
            ballot: 5,
            whole: 3,
            accepted: 2,
            value: Some(view.clone()),
        },
        Msg::Append {
            view: 3,
            prev: 3,
            entries: vec![entry.clone()],
        },
        Msg::Append {
            view: 3,
            prev: 4,
            entries: vec![amending],
        },
        Msg::SnapshotPart {
            view: 3,
            reader: SnapshotReader::Successor,
            part: SnapshotPart {
                id: snapshot,
                offset: 0,
                bytes: state.write_to_vec().unwrap(),
            },
        },
        Msg::SnapshotOffer {
            view: 3,
            reader: SnapshotReader::Follower,
            id: snapshot,
        },
        Msg::SnapshotAsk {
            view: 3,
            reader: SnapshotReader::Follower,
            id: snapshot,
            offset: 9,
        },
        Msg::Fresh {
            seq: 1,
            have: 4,
            part: Changes::Snapshot(snapshot),
            view: view.clone(),
        },
        Msg::Fresh {
            seq: 1,
            have: 4,
            part: Changes::Entries(vec![entry]),
            view,
        },
        Msg::Outcome {
            question: 1,
            verdict: Verdict {
                mark: 2,
                reject: Some(Reject::new(Kind::BadConfig, "x")),
            },
        },
        Msg::Carry {
            go: 1,
            to: 2,
            by: 3,
            load,
        },
        Msg::Carried {
            to: 4,
            asked: 5,
            go: 1,
            clock: 2,
            done: Err(Kind::Unknown.into()),
        },
    ];
    msgs.into_iter()
        .map(|msg| Packet {
            from: 1,
            addr: seat.addr,
            cluster: 7,
            msg,
        })
        .collect()
}

#[test]
fn what_is_encoded_reads_back_and_another_version_is_told() {
    for p in packets() {
        let b = encode(&p);
        let q = decode(&b).unwrap();
        assert_eq!(encode(&q), b);
        let mut v = b.clone();
        v[0] = WIRE + 1;
        assert!(decode(&v).is_err_and(|e| e.contains("version")));
    }
    assert!(decode(&[]).is_err());
}

#[test]
fn garbage_and_damage_never_panic_nor_take_memory() {
    let all: Vec<Vec<u8>> = packets().iter().map(encode).collect();
    arbtest(|u| {
        let mut b = u.choose(&all)?.clone();
        let cut = u.int_in_range(0..=b.len())?;
        b.truncate(cut);
        for _ in 0..u.int_in_range(0..=4)? {
            if !b.is_empty() {
                let i = u.choose_index(b.len())?;
                b[i] = u.arbitrary()?;
            }
        }
        let _ = decode(&b);
        let mut raw: Vec<u8> = u.arbitrary()?;
        raw.insert(0, encode(&packets()[0])[0]);
        let _ = decode(&raw);
        Ok(())
    });
}
