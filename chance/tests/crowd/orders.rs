//! Operators of the crowd: each gives an order to one machine after another until it is accepted.

use super::{Act, Crowd};
use tenet::base::Time;
use tenet::control::In;
use tenet::state::Op;

/// An order of an operator, and how it went.
pub struct Order {
    op: Op,
    pub given: Time,
    attempts: u64,
    pub accepted: Option<Time>,
}

/// Attempts of one order are numbered below this.
const ATTEMPTS: u64 = 1000;
/// How long an operator waits for an answer before the order goes to another machine.
const OPERATOR_WAITS: Time = 1000;
/// How soon an order that was refused for now is given again.
const OPERATOR_AGAIN: Time = 100;

impl Crowd {
    /// Has an operator give an order, at this time.
    pub fn order(&mut self, at: Time, op: Op) {
        let number = 1 + self.orders.len() as u64;
        let order = Order {
            op,
            given: at,
            attempts: 0,
            accepted: None,
        };
        self.orders.insert(number, order);
        self.act(at, Act::Attempt { order: number });
    }

    /// Gives an order to some control machine, unless it was accepted; and again after a silence.
    pub(super) fn attempt(&mut self, number: u64) {
        let on_disk: Vec<usize> = (0..self.machines.len())
            .filter(|i| self.machines[*i].disk)
            .collect();
        let at = on_disk[self.roll(on_disk.len() as u64) as usize];
        let Some(order) = self.orders.get_mut(&number) else {
            return;
        };
        if order.accepted.is_some() {
            return;
        }
        order.attempts += 1;
        let call = number * ATTEMPTS + order.attempts;
        let op = order.op.clone();
        self.input(at, In::Ask { call, id: None, op }, 0);
        let wait = match self.machines[at].up() {
            true => OPERATOR_WAITS,
            false => OPERATOR_AGAIN,
        };
        let next = self.now() + wait;
        self.act(next, Act::Attempt { order: number });
    }

    pub(super) fn answered(&mut self, call: u64, accepted: bool) {
        let now = self.now();
        let number = call / ATTEMPTS;
        let Some(order) = self.orders.get_mut(&number) else {
            return;
        };
        if accepted {
            order.accepted = order.accepted.or(Some(now));
        } else if order.attempts == call % ATTEMPTS {
            self.act(now + OPERATOR_AGAIN, Act::Attempt { order: number });
        }
    }

    /// How long each order took until it was accepted; one that was not counts until now.
    pub fn order_times(&self) -> Vec<Time> {
        let now = self.now();
        let orders = self.orders.values().filter(|o| o.given < now);
        orders
            .map(|o| o.accepted.unwrap_or(now) - o.given)
            .collect()
    }
}
