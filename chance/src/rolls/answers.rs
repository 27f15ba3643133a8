//! Answers to the orders of operators and the words of servers, and orders that get none.

use super::leaving::Word;
use super::orders::{Order, OrderKind};
use crate::sim::Sim;
use tenet::base::{Mark, Time};
use tenet::control::Reply;
use tenet::state::Verdict;

/// The pause after an answer that asks to come back.
const COME_BACK: Time = 200;

impl Sim {
    /// Takes the answer to an order or a reading of these days; false if the call is none of theirs.
    pub(crate) fn order_told(&mut self, call: u64, reply: &Reply) -> bool {
        if let Reply::Text(text) = reply {
            return self.configuration_read(call, text);
        }
        let Some((order, attempt)) = self.watch.release.orders.calls.remove(&call) else {
            return false;
        };
        match reply {
            Reply::Verdict(Verdict { mark, reject: None }) => {
                self.order_acknowledged(order, attempt, *mark)
            }
            Reply::Verdict(Verdict {
                reject: Some(reject),
                ..
            })
            | Reply::Reject(reject) => match reject.kind.row().code >= 500 {
                true => self.send_after(order, attempt, COME_BACK),
                false => self.order_refused(order, &reject.to_string()),
            },
            Reply::Text(_) => (),
        }
        true
    }

    fn order_refused(&mut self, order: usize, why: &str) {
        let given = &mut self.watch.release.orders.list[order];
        given.faulty = true;
        let fault = format!(
            "acks: at {} {:?} of {} was refused: {why}",
            self.now, given.kind, given.since
        );
        self.watch.faults.push(fault);
    }

    fn order_acknowledged(&mut self, order: usize, attempt: u32, mark: Mark) {
        let now = self.now;
        let release = &mut self.watch.release;
        self.watch.accepted.push((now, mark));
        let given = &mut release.orders.list[order];
        let (kind, name) = (given.kind.clone(), given.name.clone());
        let word = matches!(kind, OrderKind::Draining(_) | OrderKind::Gone(_));
        if word {
            release.acknowledged.entry(name).or_insert(now);
        }
        if matches!(kind, OrderKind::Configuration(_)) {
            release.read_back.confirmed.push((now, mark));
        }
        if given.attempt != attempt || given.closed {
            return;
        }
        if !given.acknowledged {
            given.acknowledged = true;
            if let Some(majority) = release.contact.majority_since {
                let took = now - given.since.max(majority);
                release.figures.acknowledgements.push(took);
            }
        }
        let lost_answers = release.lost_answers;
        if self.roll(100) < lost_answers {
            return;
        }
        self.watch.release.orders.list[order].closed = true;
        match kind {
            OrderKind::Draining(server) => self.word_taken(server, Word::Draining),
            OrderKind::Gone(server) => self.word_taken(server, Word::Gone),
            _ => (),
        }
    }

    /// Finds orders that stay without an acknowledgement though a majority is connected.
    pub(super) fn look_at_orders(&mut self) {
        let now = self.now;
        let release = &mut self.watch.release;
        let Some(majority) = release.contact.majority_since else {
            return;
        };
        let late = |o: &&mut Order| {
            let waits = !o.closed && !o.acknowledged && !o.faulty;
            waits && now > o.since.max(majority) + o.bound()
        };
        for order in release.orders.list.iter_mut().filter(late) {
            order.faulty = true;
            self.watch.faults.push(format!(
                "acks: at {now} {:?} of {} has no acknowledgement, a majority is connected since {majority}",
                order.kind, order.since
            ));
        }
    }

    pub(super) fn count_unclear(&mut self) {
        let release = &mut self.watch.release;
        let unclear = release.orders.list.iter().filter(|o| !o.acknowledged);
        release.figures.unclear = unclear.count();
    }
}
