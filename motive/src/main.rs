//! Explains why a request went where it went, or what happened to a server, database or zone.

mod report;

use bpaf::{construct, long, positional, Parser};
use eyre::eyre;
use medium::back::Back;
use medium::clock::Clock;
use serde_json::Value;
use std::net::SocketAddr;

/// Exit code for an unknown request or a node that does not answer.
const NOT_TOLD: i32 = 1;

struct Arguments {
    node: SocketAddr,
    json: bool,
    about: Option<String>,
    last: Option<u64>,
    id: Option<String>,
}

fn arguments() -> Arguments {
    let node = long("node")
        .help("Any node's address for callers")
        .argument("IP:PORT");
    let json = long("json")
        .help("Print what the nodes answered, as JSON")
        .switch();
    let about = long("about")
        .help("Tell what happened to a server, database, domain or node, in order")
        .argument("NAME")
        .optional();
    let last = long("last")
        .help("Only the last MINUTES of it")
        .argument("MINUTES")
        .optional();
    let id = positional("REQUEST-ID")
        .help("Id of the request, as the answer gave it; without one, the fleet's reasons")
        .optional();
    construct!(Arguments { node, json, about, last, id })
        .to_options()
        .descr("motive: explains why a request went where it went, or what happened to a server, database or domain, asked of any node. Exit 0 told, 1 unknown request or no node.")
        .version(env!("CARGO_PKG_VERSION"))
        .run()
}

/// Asks the node for the path of a request, or for audit events.
async fn ask(arguments: &Arguments) -> eyre::Result<Value> {
    let node = arguments.node;
    let back = Back::new(Clock::new())?;
    back.get(node, "/view")
        .await
        .ok_or_else(|| eyre!("no node answers at {node}"))?;
    let (path, unknown) = match &arguments.id {
        Some(id) => (
            format!("/explain/{id}"),
            format!("no node remembers request '{id}'"),
        ),
        None => {
            let topic = arguments.about.as_deref().unwrap_or("");
            (format!("/reasons?topic={topic}"), "no reasons".into())
        }
    };
    back.get(node, &path).await.ok_or_else(|| eyre!(unknown))
}

fn run(arguments: &Arguments) -> eyre::Result<()> {
    let answer = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(ask(arguments))?;
    let lines = match (arguments.json, &arguments.id) {
        (true, _) => vec![answer.to_string()],
        (false, None) => report::events(&answer, arguments.last),
        (false, Some(_)) => report::path(&answer),
    };
    for line in lines {
        println!("{line}");
    }
    Ok(())
}

fn main() {
    if let Err(error) = run(&arguments()) {
        eprintln!("motive: {error}");
        std::process::exit(NOT_TOLD);
    }
}
