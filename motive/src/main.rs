use bpaf::{construct, long, positional, Parser};
use medium::back::Back;
use medium::clock::Clock;
use serde_json::Value;
use std::net::SocketAddr;

struct Args {
    node: SocketAddr,
    json: bool,
    id: String,
}

fn told(v: &Value) -> Vec<String> {
    let mut out = Vec::new();
    for n in v["nodes"].as_array().cloned().unwrap_or_default() {
        out.push(format!("node {}", n["node"].as_str().unwrap_or("?")));
        let steps = n["steps"].as_array().cloned().unwrap_or_default();
        let zero = steps.first().and_then(|s| s["at"].as_u64()).unwrap_or(0);
        for s in steps {
            let at = s["at"].as_u64().unwrap_or(0).saturating_sub(zero);
            out.push(format!("  +{at:>5} ms  {}", s["text"].as_str().unwrap_or("")));
        }
    }
    out
}

async fn ask(a: &Args) -> eyre::Result<Value> {
    let b = Back::new(Clock::new())?;
    b.get(a.node, "/view").await.ok_or_else(|| eyre::eyre!("no node answers at {}", a.node))?;
    let v = b.get(a.node, &format!("/explain/{}", a.id)).await;
    v.ok_or_else(|| eyre::eyre!("no node remembers request '{}'", a.id))
}

fn main() {
    let node = long("node").help("Any node's address for callers").argument("IP:PORT");
    let json = long("json").help("Print what the nodes answered, as JSON").switch();
    let id = positional("REQUEST-ID").help("Id of the request, as the answer gave it");
    let a = construct!(Args { node, json, id })
        .to_options()
        .descr("motive: explains why a request went where it went, asked of any node. Exit 0 told, 1 unknown request or no node.")
        .version(env!("CARGO_PKG_VERSION"))
        .run();
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match rt.map_err(eyre::Report::from).and_then(|rt| rt.block_on(ask(&a))) {
        Ok(v) if a.json => println!("{v}"),
        Ok(v) => told(&v).iter().for_each(|l| println!("{l}")),
        Err(e) => {
            eprintln!("motive: {e}");
            std::process::exit(1);
        }
    }
}
