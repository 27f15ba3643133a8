//! A data folder as today's build leaves it, after two lives of a process.

use crate::file;
use medium::files::{open, Folder};
use speedy::Writable;
use std::path::{Path, PathBuf};
use std::sync::mpsc::channel;
use std::sync::Once;
use tenet::base::Addr;
use tenet::control::In;
use tenet::disk::{Durable, Rec, Seat, View, LOGS, SLOTS};
use tenet::kind::Kind;
use tenet::state::{Ask, Entry, Op};

/// What the process is given to write in its first life, batch by batch.
fn first_life() -> Vec<Vec<Rec>> {
    let pledge = vec![seat(1), seat(2), seat(3)];
    vec![
        vec![Rec::Born(ID), Rec::Pledge(pledge)],
        vec![vote(8, Some(view()))],
        vec![Rec::View {
            view: view(),
            whole: VIEW,
        }],
        vec![entry(1, configuration()), entry(2, announcement())],
    ]
}

/// What it is given in its second life.
fn second_life() -> Vec<Vec<Rec>> {
    let stale = Op::Config {
        base: 7,
        text: "{}".into(),
    };
    vec![vec![entry(3, stale)], vec![vote(9, None)]]
}

const ID: u64 = 0x00aa_bbcc_ddee_ff01;
const VIEW: u64 = 4;
const CONFIGURATION: &str = "{\"name\":\"golden\"}";

fn seat(number: u8) -> Seat {
    Seat {
        id: number as u64,
        addr: addr(number),
    }
}

fn addr(last: u8) -> Addr {
    let address: std::net::SocketAddr = format!("10.1.2.{last}:7440").parse().unwrap();
    address.into()
}

fn view() -> View {
    View::in_sync(
        VIEW,
        0x1234,
        vec![seat(1), seat(2), seat(3)],
        vec![seat(1), seat(2)],
    )
}

fn vote(promised: u64, value: Option<View>) -> Rec {
    Rec::Vote {
        promised,
        accepted: promised - 1,
        value,
    }
}

fn configuration() -> Op {
    Op::Config {
        base: 0,
        text: CONFIGURATION.into(),
    }
}

fn announcement() -> Op {
    Op::Announce {
        server: "server-1".into(),
        addr: addr(9),
        domain: "zone-a".into(),
        labels: [("service".into(), "orders".into())].into(),
        life: 5,
        leads: true,
        leaving: false,
        terms: true,
        seq: 6,
    }
}

fn entry(mark: u64, op: Op) -> Rec {
    let ask = Ask {
        id: 100 + mark,
        question: 200 + mark,
        from: addr(8),
        at: 1_700_000_000_000 + mark,
        op,
    };
    Rec::Entry(Entry {
        mark,
        clock: 5000 + mark,
        ask,
    })
}

fn empty_folder(name: &str) -> PathBuf {
    let folder = format!("golden-{name}-{}", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// Writes batches, each after the one before is synced.
fn live(folder: Folder, batches: Vec<Vec<Rec>>) {
    let (records, rx) = channel();
    let (tx, synced) = channel();
    let fail = |why: String| panic!("{why}");
    let writer = std::thread::spawn(move || folder.serve(rx, tx, fail));
    for (number, batch) in batches.into_iter().enumerate() {
        records.send((number as u64, batch)).unwrap();
        assert!(matches!(synced.recv(), Ok(In::Synced(n)) if n == number as u64));
    }
    drop(records);
    writer.join().unwrap();
}

fn names() -> Vec<&'static str> {
    [SLOTS, LOGS].concat()
}

fn copy(from: &Path, to: &Path) {
    for name in names() {
        std::fs::copy(from.join(name), to.join(name)).unwrap();
    }
}

fn expected() -> Durable {
    let mut durable = Durable::default();
    for record in [first_life(), second_life()].concat().into_iter().flatten() {
        durable.play(&record);
    }
    durable
}

/// A folder that both lives were written to now.
fn written(name: &str) -> PathBuf {
    let folder = empty_folder(name);
    for life in [first_life(), second_life()] {
        live(open(&folder).unwrap(), life);
    }
    folder
}

/// The golden folder, which is first written where that is asked for.
fn golden() -> PathBuf {
    static WRITTEN: Once = Once::new();
    let golden = file::path("folder");
    WRITTEN.call_once(|| {
        if file::writes() {
            std::fs::create_dir_all(&golden).unwrap();
            copy(&written("golden"), &golden);
        }
    });
    golden
}

#[test]
fn two_lives_leave_the_folder_as_ever() {
    let (golden, written) = (golden(), written("written"));
    for name in names() {
        let read = |folder: &Path| file::hexadecimal(&std::fs::read(folder.join(name)).unwrap());
        assert_eq!(read(&written), read(&golden), "{name}");
    }
    std::fs::remove_dir_all(written).unwrap();
}

#[test]
fn the_folder_is_read_as_ever() {
    let folder = empty_folder("read");
    copy(&golden(), &folder);
    let read = open(&folder).unwrap().durable.unwrap();
    assert_eq!(
        read.write_to_vec().unwrap(),
        expected().write_to_vec().unwrap()
    );
    assert_eq!(read.id, ID);
    assert_eq!(read.pledge, [seat(1), seat(2), seat(3)]);
    assert_eq!((read.view, read.whole), (view(), VIEW));
    assert_eq!((read.promised, read.accepted, read.value), (9, 8, None));
    let state = read.state;
    assert_eq!((state.mark, state.clock, state.cluster), (3, 5003, 0x1234));
    assert_eq!((state.cfg_mark, &*state.cfg), (1, CONFIGURATION));
    let server = &state.servers["server-1"];
    assert_eq!((server.addr, server.life, server.seq), (addr(9), 5, 6));
    let verdicts: Vec<_> = state.recent.iter().map(|(id, _, v)| (*id, v)).collect();
    assert_eq!(verdicts.len(), 3);
    assert!(verdicts[..2].iter().all(|(_, v)| v.reject.is_none()));
    let (id, last) = verdicts[2];
    let refused = last.reject.as_ref().unwrap();
    assert_eq!((id, refused.kind), (103, Kind::StaleBase));
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_process_goes_on_in_the_folder() {
    let folder = empty_folder("goes-on");
    copy(&golden(), &folder);
    live(
        open(&folder).unwrap(),
        vec![vec![entry(4, configuration())]],
    );
    let read = open(&folder).unwrap().durable.unwrap();
    assert_eq!((read.id, read.state.mark), (ID, 4));
    std::fs::remove_dir_all(folder).unwrap();
}

/// A folder that a build wrote whose views told no holders, in form `u`.
#[test]
fn a_process_goes_on_in_a_folder_of_form_u() {
    let folder = empty_folder("form-u");
    copy(&file::path("folder-u"), &folder);
    let read = open(&folder).unwrap().durable.unwrap();
    let earlier = View {
        holders: Vec::new(),
        ..view()
    };
    assert_eq!((read.view, read.whole), (earlier.clone(), VIEW));
    assert!(earlier.confirms());
    live(
        open(&folder).unwrap(),
        vec![
            vec![entry(4, configuration())],
            vec![vote(12, Some(view()))],
        ],
    );
    let read = open(&folder).unwrap().durable.unwrap();
    assert_eq!((read.id, read.state.mark), (ID, 4));
    assert_eq!((read.view, read.value), (earlier, Some(view())));
    std::fs::remove_dir_all(folder).unwrap();
}
