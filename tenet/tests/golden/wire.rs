//! Packets between processes.

use crate::file;
use crate::message::*;
use crate::variants::{all_sampled, Variants};
use tenet::wire::{decode, encode, form, Msg, WIRE};

/// The messages that need a wire above 1.
const OF_WIRE_2: [&str; 3] = ["Speaks", "TailGive", "ProbeOf"];

#[test]
fn each_message_has_a_sample() {
    all_sampled(&messages());
    all_sampled(&kinds());
    all_sampled(&acts());
    all_sampled(&readers());
    all_sampled(&changes());
}

#[test]
fn packets_are_encoded_as_ever() {
    let messages = messages();
    let encoded = |msg: &Msg| encode(&packet(msg.clone()));
    let samples = messages.iter().enumerate();
    let samples = samples.map(|(number, msg)| (name(number, msg), encoded(msg)));
    let golden = file::compare("packets.hex", samples.collect());
    for (msg, (name, bytes)) in messages.iter().zip(golden) {
        let read = decode(&bytes).unwrap();
        let expected = packet(msg.clone());
        assert_eq!(
            (read.from, read.addr, read.cluster),
            (expected.from, expected.addr, expected.cluster),
            "{name}"
        );
        assert_eq!(read.msg.variant(), msg.variant(), "{name}");
        assert_eq!(encode(&read), bytes, "{name}");
    }
}

#[test]
fn which_messages_need_which_wire() {
    assert_eq!(WIRE, 2);
    for msg in messages() {
        let needed = 1 + OF_WIRE_2.contains(&msg.variant()) as u8;
        assert_eq!(form(&msg), needed, "{}", msg.variant());
        assert_eq!(encode(&packet(msg))[0], 0x40 | needed);
    }
}
