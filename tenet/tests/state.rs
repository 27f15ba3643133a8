#![cfg(not(loom))]
use tenet::base::Addr;
use tenet::kind::Kind;
use tenet::state::*;

fn put(s: &mut State, id: u64, op: Op) -> Verdict {
    let mark = s.mark + 1;
    s.apply(&Entry {
        mark,
        clock: 0,
        ask: Ask {
            question: 0,
            id,
            from: Addr::NONE,
            at: 0,
            op,
        },
    })
}

#[test]
fn the_last_heir_never_leaves_and_a_repeat_gets_the_first_verdict() {
    let mut s = State::default();
    for n in ["a", "b", "c"] {
        let (server, labels) = (n.to_string(), Default::default());
        let domain = String::new();
        let id = s.mark + 100;
        put(
            &mut s,
            id,
            Op::Announce {
                server,
                addr: Addr::NONE,
                domain,
                labels,
                life: 1,
                leads: false,
                leaving: false,
                terms: false,
                seq: 0,
            },
        );
    }
    let db = || "d".to_string();
    put(
        &mut s,
        1,
        Op::Place {
            db: db(),
            fencers: vec![1],
            gateways: vec![1],
        },
    );
    let epoch = put(
        &mut s,
        2,
        Op::Adopt {
            db: db(),
            server: "a".into(),
        },
    )
    .mark;
    for (i, n) in ["b", "c"].iter().enumerate() {
        let server = || n.to_string();
        put(
            &mut s,
            10 + i as u64,
            Op::HeirJoin {
                db: db(),
                epoch,
                server: server(),
            },
        );
        put(
            &mut s,
            20 + i as u64,
            Op::HeirFull {
                db: db(),
                epoch,
                server: server(),
            },
        );
    }
    let leave = |n: &str| Op::HeirLeave {
        db: db(),
        epoch,
        server: n.into(),
        why: String::new(),
    };
    let first = put(&mut s, 30, leave("b"));
    assert_eq!(first.reject, None);
    assert_eq!(
        put(&mut s, 31, leave("c")).reject.map(|r| r.kind),
        Some(Kind::StaleBase)
    );
    assert_eq!(s.dbs["d"].heirs.len(), 1);
    assert_eq!(put(&mut s, 30, leave("b")), first);
}

#[test]
fn overlapping_evacuations_end_with_the_last_and_repeats_count_once() {
    let mut s = State::default();
    let order = |s: &mut State, clock, on| {
        let mark = s.mark + 1;
        let op = Op::Hold {
            domain: "d".into(),
            on,
            repeat_window: 5200,
        };
        s.apply(&Entry {
            mark,
            clock,
            ask: Ask {
                question: 0,
                id: mark * 31,
                from: Addr::NONE,
                at: 0,
                op,
            },
        });
        s.evacuated.contains_key("d")
    };
    let t = 1_000_000;
    assert!(order(&mut s, t, true) && order(&mut s, t + 900, true));
    assert!(!order(&mut s, t + 8000, false) && !order(&mut s, t + 8900, false));
    assert!(order(&mut s, t + 14_600, true) && order(&mut s, t + 21_100, true));
    assert!(
        order(&mut s, t + 22_700, false),
        "the second order is still in force"
    );
    assert!(order(&mut s, t + 28_600, true) && order(&mut s, t + 29_100, false));
    assert!(!order(&mut s, t + 35_000, false));
    assert!(!order(&mut s, t + 50_000, false) && order(&mut s, t + 51_000, true));
}
