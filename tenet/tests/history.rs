//! What a long history of configurations costs the replicas of the control state.
#![cfg(not(loom))]
mod support;

use speedy::Writable;
use support::*;
use tenet::disk::{Durable, FileOp, Shelf};

const LOG_LIMIT: usize = 512 << 10;
const DISK_LOG_LIMIT: usize = (1 << 20) + (64 << 10);

#[test]
fn the_log_of_a_thousand_changes_stays_small_while_the_successor_is_away() {
    let mut head = replica_in(&view_of(&[1, 2, 3]), 1, true);
    let routes = 1500;
    assert!(document(1, routes).len() > 200_000);
    (1..=1000).for_each(|version| {
        publish(&mut head, version, routes);
    });
    let retained = head.log.bytes();
    println!("{retained} bytes retained");
    assert!(retained <= LOG_LIMIT, "{retained} bytes retained");
}

/// The four files of a replica's disk, as the records make them.
#[derive(Default)]
struct Files {
    slots: [Vec<u8>; 2],
    logs: [Vec<u8>; 2],
}

impl Files {
    fn run(&mut self, operations: Vec<FileOp>) {
        for operation in operations {
            match operation {
                FileOp::Settle => (),
                FileOp::Append { name, bytes } => self.file(name).extend(bytes),
                FileOp::Replace { name, bytes } => *self.file(name) = bytes,
            }
        }
    }

    fn file(&mut self, name: &str) -> &mut Vec<u8> {
        let i = name.ends_with('1') as usize;
        match name.starts_with("slot") {
            true => &mut self.slots[i],
            false => &mut self.logs[i],
        }
    }

    fn bytes(&self) -> usize {
        self.slots.iter().chain(&self.logs).map(Vec::len).sum()
    }

    fn recover(&self) -> (Shelf, Option<Durable>) {
        let slots = [&self.slots[0][..], &self.slots[1]];
        Shelf::recover(slots, [&self.logs[0], &self.logs[1]]).unwrap()
    }
}

#[test]
fn disk_and_log_stay_bounded_through_three_thousand_changes_that_all_survive() {
    let mut head = replica_in(&view_of(&[1, 2, 3]), 1, true);
    let mut files = Files::default();
    let (mut shelf, _) = files.recover();
    let mut durable = head.d.clone();
    files.run(shelf.fresh(&durable));
    let routes = 200;
    let mut most = 0;
    for version in 1..=3000 {
        let records = publish(&mut head, version, routes);
        records.iter().for_each(|record| {
            durable.play(record);
        });
        files.run(shelf.keep(&records, &durable));
        most = most.max(files.bytes());
        if [100, 300, 1000, 3000].contains(&version) {
            println!(
                "after {version} changes: log {} bytes, disk at most {most} bytes",
                head.log.bytes()
            );
            let (_, read) = files.recover();
            let state = read.unwrap().state;
            assert_eq!((state.cfg_version, state.mark), (version, version));
            assert!(state.cfg == document(version, routes));
        }
    }
    let state = head.d.write_to_vec().unwrap().len();
    assert!(head.log.bytes() <= LOG_LIMIT, "{}", head.log.bytes());
    assert!(most <= 2 * (state + DISK_LOG_LIMIT), "{most} bytes on disk");
}

#[test]
fn what_a_follower_gets_for_a_change_grows_with_the_change() {
    for routes in [100, 400, 1500] {
        let mut head = replica_in(&view_of(&[1, 2, 3]), 1, true);
        (1..=2).for_each(|version| {
            publish(&mut head, version, routes);
        });
        let bytes = head.log.batch(1, 2).write_to_vec().unwrap().len();
        let document = document(2, routes).len();
        println!("{routes} routes, document of {document} bytes: {bytes} bytes");
        assert!(bytes < 1000, "{bytes} bytes");
    }
}
