//! What a fencing node does when its lease or its server's life ends while a statement is under way.
#[allow(dead_code)]
#[path = "answers/fleet.rs"]
mod fleet;

#[path = "lives/node.rs"]
mod node;

use node::*;
use tenet::base::*;
use tenet::front::*;
use tenet::kind::{Kind, Reject};
use tenet::wire::Act;

#[test]
fn a_step_whose_lease_ended_before_its_answer_is_never_run_again() {
    let mut node = Node::start();
    node.begins();
    node.carry(2, Act::Step);
    let left = node.front.until - node.now - 1;
    node.wait(left);
    node.now += 2;
    node.runs();
    let told = node.answers.pop().expect("an answer");
    assert_eq!(
        (told.0, told.1.err().map(|e| e.kind)),
        (2, Some(Kind::Aborted))
    );
    node.lease(PERMIT);
    node.carry(3, Act::Step);
    assert!(node.calls.is_empty(), "{:?}", node.queries());
    let told = node.answers.pop().expect("an answer");
    assert_eq!(
        (told.0, told.1.err().map(|e| e.kind)),
        (3, Some(Kind::Aborted))
    );
    assert_eq!(node.closed, [1], "the server rolls it back");
}

#[test]
fn a_connection_to_an_earlier_life_of_a_server_is_not_used_in_the_next() {
    let mut node = Node::start();
    node.carry(1, Act::Single);
    node.connects(1);
    node.fleet.announce(0, 2);
    node.lease(PERMIT);
    node.runs();
    assert!(node
        .answers
        .pop()
        .is_some_and(|(go, r)| go == 1 && r.is_ok()));
    assert_eq!(node.closed, [1]);
    node.carry(2, Act::Single);
    node.connects(1);
    node.runs();
    assert!(node
        .answers
        .pop()
        .is_some_and(|(go, r)| go == 2 && r.is_ok()));
}

#[test]
fn a_statement_that_has_a_connection_to_an_earlier_life_is_sent_on_another() {
    let mut node = Node::start();
    node.carry(1, Act::Single);
    node.answer(
        |q| matches!(q, Query::Connect { .. }),
        Got::Connected { conn: 1 },
    );
    node.fleet.announce(0, 2);
    node.lease(PERMIT);
    node.answer(|q| matches!(q, Query::Reset { .. }), Got::Done);
    node.connects(2);
    node.runs();
    assert!(node
        .answers
        .pop()
        .is_some_and(|(go, r)| go == 1 && r.is_ok()));
    assert_eq!(node.closed, [1]);
}

#[test]
fn an_answer_from_another_node_or_to_another_life_is_not_passed_on() {
    let mut node = Node::at(|d| d.gates && !d.fences);
    let me = node.fleet.living[node.slot];
    node.carry(1, Act::Single);
    let (go, fencing) = node.passed.pop().expect("passed on to a fencing node");
    let carried = |from, to| FrontIn::Carried {
        from,
        to,
        go,
        clock: 1,
        done: Err(Reject::new(Kind::Busy, "x")),
    };
    node.poll(carried(fencing + 1, me));
    node.poll(carried(fencing, me + 1));
    assert!(node.answers.is_empty());
    node.poll(carried(fencing, me));
    node.poll(carried(fencing, me));
    let told: Vec<u64> = node.answers.iter().map(|(go, _)| *go).collect();
    assert_eq!(told, [1], "once");
}
