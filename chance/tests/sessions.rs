//! What a session set and committed holds for it, whatever its route and other sessions do meanwhile.
#[allow(dead_code)]
#[path = "answers/fleet.rs"]
mod fleet;

#[allow(dead_code)]
#[path = "lives/node.rs"]
mod node;

use fleet::{Fleet, DATABASE};
use node::*;
use serde_json::{json, Value};
use tenet::base::*;
use tenet::front::*;
use tenet::table::DbRow;
use tenet::wire::{Act, Load, SetUp};

const ALUMNI: &str = include_str!("../../examples/alumni.json");
const ROUTE: &str = "records";
const OTHER_DATABASE: &str = "events";

/// Servers that keep no state beside options and prepared statements, and check positions before reads; a route
/// whose reads see the session's own commits, to this database.
fn configuration(database: &str) -> String {
    let mut text: Value = serde_json::from_str(ALUMNI).unwrap();
    for name in [DATABASE, OTHER_DATABASE] {
        text["databases"][name]["can"] = json!({"outcomes": false, "confirms": false, "guards": true,
            "keeps_state": false});
    }
    text["entries"] = json!({ROUTE: {"database": database, "reads": "record-view", "writes": "renewal",
        "statement_ms": 800, "request_ms": 2000, "patience_ms": 800}});
    text.to_string()
}

fn fencing(row: &DbRow) -> bool {
    row.name == DATABASE && row.fences
}

fn pair(name: &str, value: &str) -> Vec<(String, String)> {
    vec![(name.to_string(), value.to_string())]
}

/// Runs a statement of a session with this setup at the fencing node; whether the connection was set up for it.
fn is_set_up(node: &mut Node, go: u64, setup: SetUp) -> bool {
    let load = Load {
        setup,
        session: go,
        ..node.load(go, Act::Single)
    };
    node.carry_load(node.front.me, go, load);
    let resets = matches!(node.queries()[..], [Query::Reset { .. }]);
    if resets {
        node.answer(|q| matches!(q, Query::Reset { .. }), Got::Done);
    }
    node.runs();
    resets
}

/// Guards against case 5 of the review: an option and a prepared statement of the same name and text counted as
/// the same, so that a statement ran on the connection of a session that had never prepared it.
#[test]
fn an_option_of_one_session_is_no_prepared_statement_of_another() {
    let mut node = Node::of(Fleet::configured(configuration(DATABASE)), fencing);
    node.wait(WATCH_QUIET);
    let option = SetUp {
        settings: pair("s0", "FETCH q2c"),
        ..SetUp::default()
    };
    let statement = SetUp {
        prepared: pair("s0", "FETCH q2c"),
        ..SetUp::default()
    };
    let load = Load {
        setup: option.clone(),
        ..node.load(1, Act::Single)
    };
    node.carry_load(node.front.me, 1, load);
    node.connects(1);
    node.runs();
    assert!(!is_set_up(&mut node, 2, option.clone()), "the same values");
    assert!(is_set_up(&mut node, 3, statement));
    assert!(is_set_up(&mut node, 4, option));
}
