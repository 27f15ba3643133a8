//! A server that leaves gets no new work after its time, whenever a node learns of it.
#[allow(dead_code)]
#[path = "answers/fleet.rs"]
mod fleet;

#[allow(dead_code)]
#[path = "lives/node.rs"]
mod node;

use node::*;
use tenet::base::*;
use tenet::front::*;
use tenet::kind::Kind;
use tenet::wire::Act;

/// What the platform allows between the acknowledgement of a leaving server and the last request.
const DRAIN_BOUND: Time = 7000;
/// How long a machine takes to stop and start again.
const RESTART: Time = 4000;
const _: () = assert!(RESTART + LEAVING_SERVES >= DRAIN_BOUND);

/// The node's process ends and another one starts at its address, `RESTART` later.
fn restart(node: &mut Node) {
    node.now += RESTART;
    node.fleet.clock += RESTART;
    let id = 900;
    node.fleet.replace(node.slot, id);
    node.front = Front::new(id, fleet::address(node.slot), 2);
    node.lease(PERMIT);
    node.wait(100);
}

fn refused(node: &mut Node, go: u64) -> bool {
    node.calls.clear();
    node.carry(go, Act::Single);
    let told = node.answers.pop();
    let rejected = told.is_some_and(|(_, r)| r.err().map(|e| e.kind) == Some(Kind::NoPrimary));
    rejected && node.calls.is_empty()
}

/// Waits a while longer with a lease that holds on.
fn pass(node: &mut Node, span: Time) {
    let end = node.now + span;
    while node.now < end {
        node.fleet.clock += 500;
        node.lease(PERMIT);
        node.wait(500);
    }
}

#[test]
fn a_leaving_primary_is_served_for_its_time_only() {
    let mut node = Node::start();
    node.fleet.leaves(0);
    node.lease(PERMIT);
    assert!(!refused(&mut node, 1), "it serves on at first");
    pass(&mut node, LEAVING_SERVES + 500);
    assert!(refused(&mut node, 2));
}

#[test]
fn a_node_that_restarts_counts_from_when_the_server_said_so() {
    let mut node = Node::start();
    node.fleet.leaves(0);
    node.lease(PERMIT);
    restart(&mut node);
    assert!(
        refused(&mut node, 1),
        "a request {RESTART} ms after the word"
    );
}

#[test]
fn a_node_that_restarts_counts_from_when_the_domain_was_evacuated() {
    let mut node = Node::start();
    let domain = node.fleet.domain_of(0);
    node.fleet.evacuate(domain);
    node.lease(PERMIT);
    assert!(!refused(&mut node, 1), "it serves on at first");
    restart(&mut node);
    assert!(refused(&mut node, 2));
}

#[test]
fn a_statement_that_waited_for_a_connection_is_not_sent_after_that_time() {
    let mut node = Node::start();
    node.fleet.leaves(0);
    node.lease(PERMIT);
    pass(&mut node, LEAVING_SERVES - 500);
    node.carry(1, Act::Single);
    assert_eq!(node.calls.len(), 1, "a connection is opened");
    pass(&mut node, 1000);
    node.answer(
        |q| matches!(q, Query::Connect { .. }),
        Got::Connected { conn: 1 },
    );
    if !node.calls.is_empty() {
        node.answer(|q| matches!(q, Query::Reset { .. }), Got::Done);
    }
    assert!(node.calls.is_empty(), "{:?}", node.queries());
    let told = node.answers.pop().and_then(|(_, r)| r.err());
    assert_eq!(told.map(|e| e.kind), Some(Kind::NoPrimary));
}
