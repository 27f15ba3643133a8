//! Orders of operators and words of servers: sent to a control machine, and to another one after a
//! second of silence.

use super::RollStep;
use crate::fault::Fault;
use crate::sim::{Ev, Sim};
use std::collections::BTreeMap;
use tenet::base::*;
use tenet::bounds::repeat_window;
use tenet::control::In;
use tenet::state::Op;

/// How long whoever gives an order waits for an answer.
const SILENCE: Time = 1000;
/// The pause after a connection that was refused.
const REFUSED_CONNECTION: Time = 20;
/// Within this an order is acknowledged while a majority of the control machines is connected.
pub const ACK_BOUND: Time = 8000;
/// For how long an order that is not a configuration is repeated.
const REPEATED_FOR: Time = 6000;

/// What is ordered.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum OrderKind {
    Configuration(u64),
    Evacuation(String, bool),
    /// A server says that it is draining.
    Draining(usize),
    /// A server says that it is gone.
    Gone(usize),
}

pub(super) struct Order {
    pub kind: OrderKind,
    /// The server that leaves, by its name at the time.
    pub name: String,
    pub since: Time,
    /// Which sending the giver waits for.
    pub attempt: u32,
    /// The machine that was asked last.
    asked: Option<usize>,
    /// An acknowledgement came within its second, whether it was lost on its way back or not.
    pub acknowledged: bool,
    /// It was found to be late, or refused.
    pub faulty: bool,
    /// Nobody waits for an answer any more.
    pub closed: bool,
}

#[derive(Default)]
pub(super) struct Orders {
    pub list: Vec<Order>,
    /// Calls under way: the order, and which sending of it.
    pub calls: BTreeMap<u64, (usize, u32)>,
    versions: u64,
}

impl Orders {
    /// A server ended: it repeats nothing.
    pub fn close_of(&mut self, server: usize) {
        let own = [OrderKind::Draining(server), OrderKind::Gone(server)];
        let orders = self.list.iter_mut().filter(|o| own.contains(&o.kind));
        orders.for_each(|order| order.closed = true);
    }
}

impl Sim {
    pub(super) fn order_configuration(&mut self) {
        let orders = &mut self.watch.release.orders;
        orders.versions += 3;
        let version = orders.versions;
        self.new_order_of(OrderKind::Configuration(version));
    }

    pub(super) fn order_evacuation(&mut self, zone: String, on: bool) {
        self.new_order_of(OrderKind::Evacuation(zone, on));
    }

    pub(super) fn new_order_of(&mut self, kind: OrderKind) -> usize {
        let name = match kind {
            OrderKind::Draining(s) | OrderKind::Gone(s) => {
                self.termed().fleet.servers[s].name.clone()
            }
            _ => String::new(),
        };
        let since = self.now;
        let orders = &mut self.watch.release.orders.list;
        orders.push(Order {
            kind,
            name,
            since,
            attempt: 0,
            asked: None,
            acknowledged: false,
            faulty: false,
            closed: false,
        });
        let order = orders.len() - 1;
        self.send_order_of_roll(order);
        order
    }

    /// Any control machine but one; of those that are down a connection is refused.
    pub(super) fn some_control_machine(&mut self, but: Option<usize>) -> usize {
        let all = &self.watch.release.control_machines;
        let others: Vec<usize> = all.iter().copied().filter(|i| Some(*i) != but).collect();
        others[self.roll(others.len() as u64) as usize]
    }

    pub(super) fn send_again(&mut self, order: usize, attempt: u32) {
        let now = self.now;
        let given = &mut self.watch.release.orders.list[order];
        if given.closed || given.attempt != attempt {
            return;
        }
        let evacuates = matches!(given.kind, OrderKind::Evacuation(..));
        if evacuates && now > given.since + REPEATED_FOR {
            given.closed = true;
            return;
        }
        self.send_order_of_roll(order);
    }

    fn send_order_of_roll(&mut self, order: usize) {
        let but = self.watch.release.orders.list[order].asked;
        let node = self.some_control_machine(but);
        let given = &mut self.watch.release.orders.list[order];
        given.attempt += 1;
        given.asked = Some(node);
        let (attempt, kind, name) = (given.attempt, given.kind.clone(), given.name.clone());
        if !self.nodes[node].up {
            return self.send_after(order, attempt, REFUSED_CONNECTION);
        }
        self.next_call += 1;
        let call = self.next_call;
        self.watch
            .release
            .orders
            .calls
            .insert(call, (order, attempt));
        match kind {
            OrderKind::Draining(server) => {
                let op = self.announcement(server, true);
                self.say(server, node, 0, In::Announce { call, op });
            }
            OrderKind::Gone(server) => {
                let op = Op::Depart {
                    server: name,
                    seq: 0,
                };
                self.say(server, node, 0, In::Ask { call, id: None, op });
            }
            OrderKind::Configuration(version) => self.operate(node, call, publication(version)),
            OrderKind::Evacuation(domain, on) => {
                let repeat_window = repeat_window(REPEATED_FOR);
                let op = Op::Hold {
                    domain,
                    on,
                    repeat_window,
                };
                self.operate(node, call, op);
            }
        }
        self.send_after(order, attempt, SILENCE);
    }

    fn operate(&mut self, node: usize, call: u64, op: Op) {
        let life = self.nodes[node].life;
        let at = self.now + 1 + self.roll(5);
        self.at(at, Ev::Control(node, life, In::Ask { call, id: None, op }));
    }

    pub(super) fn send_after(&mut self, order: usize, attempt: u32, after: Time) {
        let step = RollStep::Send { order, attempt };
        self.at(self.now + after, Ev::Fault(Fault::Roll(step)));
    }
}

impl Order {
    /// Within this it is to be acknowledged.
    pub(super) fn bound(&self) -> Time {
        match self.kind {
            OrderKind::Evacuation(..) => REPEATED_FOR,
            _ => ACK_BOUND,
        }
    }

    /// Whether it was acknowledged, and its giver knows.
    pub(super) fn is_clear(&self) -> bool {
        self.closed && self.acknowledged
    }
}

/// The configuration of a version; it is the same each time.
fn publication(version: u64) -> Op {
    let text = crate::days::text(600 + version);
    Op::Publish {
        version,
        document: digest(text.as_bytes()),
        text,
    }
}
