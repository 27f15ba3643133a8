//! What a process with a disk keeps there: records, the state as a slot holds it, and how both are
//! framed.

use crate::file;
use crate::operation::{name, operations};
use crate::sample::{entry, seat, state, view};
use crate::variants::{all_sampled, Variants};
use speedy::{Readable, Writable};
use tenet::base::DISK_LOG_BYTES;
use tenet::disk::*;
use tenet::state::State;

fn records() -> Vec<Rec> {
    let mut records = vec![
        Rec::Born(0x11),
        Rec::Pledge(vec![seat(1), seat(2), seat(3)]),
        Rec::View {
            view: view(),
            whole: 0x12,
        },
        Rec::Vote {
            promised: 0x13,
            accepted: 0x14,
            value: None,
        },
        Rec::Vote {
            promised: 0x15,
            accepted: 0x16,
            value: Some(view()),
        },
        Rec::Snapshot {
            state: Box::new(state()),
            whole: 0x17,
        },
    ];
    let first = 0x84;
    let entries = operations().into_iter().zip(first..);
    records.extend(entries.map(|(op, mark)| Rec::Entry(entry(mark, op))));
    records
}

fn durable() -> Durable {
    Durable {
        id: 0x21,
        pledge: vec![seat(1), seat(2), seat(3)],
        view: view(),
        whole: 0x22,
        promised: 0x23,
        accepted: 0x24,
        value: Some(view()),
        state: state(),
    }
}

/// Bytes of the one file operation that names a file.
fn bytes_for(operations: Vec<FileOp>, file: &str) -> Vec<u8> {
    let mut named = operations
        .into_iter()
        .filter_map(|operation| match operation {
            FileOp::Append { name, bytes } | FileOp::Replace { name, bytes } if name == file => {
                Some(bytes)
            }
            FileOp::Append { .. } | FileOp::Replace { .. } | FileOp::Settle => None,
        });
    named.next().unwrap()
}

fn empty_shelf() -> Shelf {
    Shelf::recover([&[], &[]], [&[], &[]]).unwrap().0
}

#[test]
fn each_record_has_a_sample() {
    all_sampled(&records());
}

#[test]
fn records_are_encoded_as_ever() {
    let records = records();
    let encode = |(number, record): (usize, &Rec)| {
        let bytes = record.write_to_vec().unwrap();
        (name(number, record), bytes)
    };
    let samples = records.iter().enumerate().map(encode).collect();
    let golden = file::compare("records.hex", samples);
    for (record, (name, bytes)) in records.iter().zip(golden) {
        let read = Rec::read_from_buffer(&bytes).unwrap();
        assert_eq!(read.variant(), record.variant(), "{name}");
        assert_eq!(read.write_to_vec().unwrap(), bytes, "{name}");
    }
}

#[test]
fn states_are_encoded_as_ever() {
    let samples = vec![
        ("state".into(), state().write_to_vec().unwrap()),
        ("durable".into(), durable().write_to_vec().unwrap()),
        (
            "empty-durable".into(),
            Durable::default().write_to_vec().unwrap(),
        ),
    ];
    let golden = file::compare("states.hex", samples);
    let state = State::read_from_buffer(&golden[0].1).unwrap();
    assert_eq!(state.write_to_vec().unwrap(), golden[0].1);
    for (_, bytes) in &golden[1..] {
        let durable = Durable::read_from_buffer(bytes).unwrap();
        assert_eq!(&durable.write_to_vec().unwrap(), bytes);
    }
}

#[test]
fn slots_and_logs_are_framed_as_ever() {
    let (mut shelf, durable) = (empty_shelf(), durable());
    let (slot, log) = (SLOTS[1], LOGS[1]);
    let kept = [Rec::Born(0x31), Rec::Pledge(vec![seat(1)])];
    let samples = vec![
        (slot.to_string(), bytes_for(shelf.fresh(&durable), slot)),
        (log.to_string(), bytes_for(shelf.keep(&kept, &durable), log)),
    ];
    let golden = file::compare("frames.hex", samples);
    let (_, read) = Shelf::recover([&[], &golden[0].1], [&[], &golden[1].1]).unwrap();
    let mut expected = durable;
    kept.iter().for_each(|record| {
        expected.play(record);
    });
    let read = read.unwrap();
    assert_eq!(read.id, 0x31, "the log was played after the slot");
    assert_eq!(
        read.write_to_vec().unwrap(),
        expected.write_to_vec().unwrap()
    );
}

#[test]
fn the_files_have_the_same_names_and_take_turns_as_ever() {
    assert_eq!((SLOTS, LOGS), (["slot.0", "slot.1"], ["log.0", "log.1"]));
    let mut shelf = empty_shelf();
    let touched = |operations: Vec<FileOp>| -> Vec<String> {
        let named = operations.into_iter().map(|operation| match operation {
            FileOp::Settle => "settle".to_string(),
            FileOp::Append { name, .. } => format!("append {name}"),
            FileOp::Replace { name, .. } => format!("replace {name}"),
        });
        named.collect()
    };
    let durable = Durable::default();
    assert_eq!(
        touched(shelf.fresh(&durable)),
        ["settle", "replace log.1", "replace slot.1"]
    );
    assert_eq!(
        touched(shelf.keep(&[Rec::Born(1)], &durable)),
        ["append log.1"]
    );
    let large = Rec::Pledge(vec![seat(1); DISK_LOG_BYTES / 20]);
    assert_eq!(
        touched(shelf.keep(&[large], &durable)),
        ["replace log.0", "replace slot.0"],
        "a long log ends in a new slot"
    );
}

/// A view as form `u` told it: without the holders.
fn earlier(view: View) -> View {
    View {
        confirming: view.n,
        holders: Vec::new(),
        ..view
    }
}

fn earlier_record(record: Rec) -> Rec {
    match record {
        Rec::View { view, whole } => Rec::View {
            view: earlier(view),
            whole,
        },
        Rec::Vote {
            promised,
            accepted,
            value,
        } => Rec::Vote {
            promised,
            accepted,
            value: value.map(earlier),
        },
        other => other,
    }
}

#[test]
fn records_of_form_u_are_read() {
    let golden = file::read("records-u.hex");
    let records = records();
    assert_eq!(golden.len(), records.len());
    for (record, (name, bytes)) in records.into_iter().zip(golden) {
        let read = Rec::read_from_buffer(&bytes).unwrap();
        assert_eq!(
            read.write_to_vec().unwrap(),
            earlier_record(record).write_to_vec().unwrap(),
            "{name}"
        );
    }
}

#[test]
fn slots_and_logs_of_form_u_are_read() {
    let golden = file::read("frames-u.hex");
    let (_, read) = Shelf::recover([&[], &golden[0].1], [&[], &golden[1].1]).unwrap();
    let mut expected = durable();
    expected.view = earlier(expected.view);
    expected.value = expected.value.map(earlier);
    for record in [Rec::Born(0x31), Rec::Pledge(vec![seat(1)])] {
        expected.play(&record);
    }
    assert_eq!(
        read.unwrap().write_to_vec().unwrap(),
        expected.write_to_vec().unwrap()
    );
    let states = file::read("states-u.hex");
    let durable = Durable::read_from_buffer(&states[1].1).unwrap();
    assert_eq!((durable.id, durable.view), (0x21, earlier(view())));
}
