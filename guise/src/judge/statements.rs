//! Servers must run just what clients sent, in the session and transaction it was sent in.

use super::{Asked, Book};
use crate::termed::{Fleet, Run};
use std::collections::BTreeMap;

pub(super) fn check(book: &Book, fleet: &Fleet, faults: &mut Vec<String>) {
    let mut pairs = TransactionPairs::default();
    for run in &fleet.runs {
        let Run { id, text, .. } = run;
        let Some(asked) = book.asked.get(id).filter(|asked| asked.text == *text) else {
            faults.push(format!("unasked: a server ran '{id} {text}'"));
            continue;
        };
        if asked.options != run.options {
            faults.push(format!(
                "pinned: {id} ran under {:?}, its client set {:?}",
                run.options, asked.options
            ));
        }
        if asked.shape != run.shape {
            faults.push(format!(
                "pinned: {id} ran the shape {:?}, its client prepared {:?}",
                run.shape, asked.shape
            ));
        }
        pairs.check(asked, run, faults);
    }
}

/// A transaction of a server, as the client's one must stay in it.
#[derive(Clone, Copy, PartialEq)]
struct ServerTransaction {
    server: usize,
    conn: u64,
    serial: u64,
}

/// Which transactions of clients and of servers belong to each other.
#[derive(Default)]
struct TransactionPairs {
    by_client: BTreeMap<u64, ServerTransaction>,
    by_server: BTreeMap<u64, u64>,
}

impl TransactionPairs {
    fn check(&mut self, asked: &Asked, run: &Run, faults: &mut Vec<String>) {
        let (id, txn) = (&run.id, asked.txn);
        if (txn > 0) != run.txn.is_some() {
            faults.push(format!(
                "pinned: {id} of transaction {txn} ran in {:?}",
                run.txn
            ));
        }
        let Some(serial) = run.txn.filter(|_| txn > 0) else {
            return;
        };
        let ran_in = ServerTransaction {
            server: run.server,
            conn: run.conn,
            serial,
        };
        let first = *self.by_client.entry(txn).or_insert(ran_in);
        let owner = *self.by_server.entry(serial).or_insert(txn);
        if first != ran_in || owner != txn {
            faults.push(format!(
                "pinned: {id} of transaction {txn} ran in that of {owner}"
            ));
        }
    }
}
