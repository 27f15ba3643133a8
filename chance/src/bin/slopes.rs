//! Command line of the measurements: how the cost of each role grows with nodes, databases, sessions and rules.

use bpaf::{construct, long, Parser};
use chance::slopes::bench;
use chance::slopes::change::{change, joined, loss};
use chance::slopes::fleet::Fleet;
use chance::slopes::report::*;
use chance::slopes::scene::{Scene, VOTERS};
use chance::slopes::tally::resident;
use std::collections::BTreeMap;
use std::time::Instant;

struct Args {
    what: String,
    nodes: Vec<usize>,
    databases: Vec<usize>,
    sessions: Vec<usize>,
    routes: usize,
    real: usize,
    seconds: u64,
    warm: u64,
    repeat: usize,
    sights: bool,
}

type All = BTreeMap<String, Series>;

fn put(all: &mut All, k: String, unit: &'static str, x: usize, y: f64) {
    all.entry(k).or_insert_with(|| Series::new(unit)).add(x, y);
}

fn numbers(s: String) -> Result<Vec<usize>, std::num::ParseIntError> {
    s.split(',').map(str::parse).collect()
}

fn main() {
    let list = |n: &'static str, help: &'static str, f: Vec<usize>| {
        long(n)
            .help(help)
            .argument::<String>("N,N")
            .parse(numbers)
            .fallback(f)
    };
    let what = long("what")
        .help("fleet, change, loss, join, table, pilot or front")
        .argument("WHAT")
        .fallback("fleet".into());
    let nodes = list(
        "nodes",
        "Followers, beside 3 of the chain (default 30,100,300)",
        vec![30, 100, 300],
    );
    let databases = list(
        "databases",
        "Databases, each with 3 servers (default 3)",
        vec![3],
    );
    let sessions = list(
        "sessions",
        "Idle sessions of one node, for front (default 1000)",
        vec![1000],
    );
    let routes = long("routes")
        .help("Rules in the configuration")
        .argument("N")
        .fallback(0);
    let real = long("real")
        .help("Followers that run the whole machine; the rest are hollow")
        .argument("N")
        .fallback(usize::MAX);
    let seconds = long("seconds")
        .help("Virtual seconds that are measured")
        .argument("S")
        .fallback(10);
    let warm = long("warm")
        .help("Virtual seconds before")
        .argument("S")
        .fallback(6);
    let repeat = long("repeat")
        .help("Runs of each size")
        .argument("N")
        .fallback(3);
    let sights = long("sights")
        .help("Nodes report the servers' standings to the head")
        .switch();
    let a = construct!(Args { what, nodes, databases, sessions, routes, real, seconds, warm, repeat, sights })
        .to_options()
        .descr("slopes: how the cost of each role grows. Real machines share one process under virtual time; processor time is this machine's, by its monotonic clock around each call. Memory is told for the first run only, since later ones reuse what was freed.")
        .version(env!("CARGO_PKG_VERSION"))
        .run();
    if !["fleet", "change", "loss", "join", "table", "pilot", "front"].contains(&a.what.as_str()) {
        eprintln!("nothing called '{}' to measure; see --help", a.what);
        std::process::exit(2);
    }
    let (mut all, born, mut first) = (All::new(), Instant::now(), true);
    for (n, d, r) in a.nodes.iter().flat_map(|n| {
        a.databases
            .iter()
            .flat_map(move |d| (0..a.repeat).map(move |r| (*n, *d, r)))
    }) {
        eprintln!(
            "[{:.1} s] {}: {n} nodes, {d} databases, run {}",
            born.elapsed().as_secs_f64(),
            a.what,
            r + 1
        );
        let sc = Scene {
            nodes: n,
            dbs: d,
            routes: a.routes,
        };
        let x = if a.databases.len() > 1 { d } else { n };
        match a.what.as_str() {
            "table" => {
                let (f, t) = bench::tables(&sc, &sc.state());
                put(&mut all, "table from scratch".into(), "ms", x, ms(f));
                put(&mut all, "table over the old".into(), "ms", x, ms(t));
            }
            "join" => {
                let j = joined(&sc.state());
                put(&mut all, "snapshot".into(), "bytes", x, j.snapshot as f64);
                put(
                    &mut all,
                    "configuration text".into(),
                    "bytes",
                    x,
                    j.text as f64,
                );
                put(&mut all, "snapshot encoded".into(), "ms", x, ms(j.write));
                put(&mut all, "snapshot decoded".into(), "ms", x, ms(j.read));
                put(&mut all, "configuration read".into(), "ms", x, ms(j.parse));
            }
            "pilot" => {
                let p = bench::pilot(&sc, &sc.state());
                put(&mut all, "tick without news".into(), "ms", x, ms(p.quiet));
                put(&mut all, "tick with news".into(), "ms", x, ms(p.told));
                put(&mut all, "one node's news".into(), "ms", x, ms(p.sight));
                put(
                    &mut all,
                    "kept standings".into(),
                    "number",
                    x,
                    p.sights as f64,
                );
                put(
                    &mut all,
                    "orders (0 is settled)".into(),
                    "number",
                    x,
                    p.ops as f64,
                );
            }
            "front" => front(&a, &sc, x, first, &mut all),
            _ => fleet(&a, sc, x, first, &mut all),
        }
        first = false;
    }
    all.iter().for_each(|(k, s)| println!("{}", s.text(k)));
    eprintln!(
        "[{:.1} s] done, {:.0} MB resident",
        born.elapsed().as_secs_f64(),
        resident() as f64 / 1e6
    );
}

fn front(a: &Args, sc: &Scene, x: usize, first: bool, all: &mut All) {
    let st = sc.state();
    for (i, s) in a.sessions.iter().enumerate() {
        let x = if a.sessions.len() > 1 { *s } else { x };
        let r = bench::idle(sc, &st, *s, a.seconds);
        let secs = a.seconds as f64;
        if first && i == 0 {
            put(
                all,
                "memory of an idle session".into(),
                "bytes",
                x,
                r.memory as f64 / r.sessions.max(1) as f64,
            );
        }
        put(all, "opened".into(), "number", x, r.sessions as f64);
        put(
            all,
            "idle node, poll".into(),
            "% of a core",
            x,
            share(r.busy, secs),
        );
        put(all, "idle node, longest poll".into(), "ms", x, ms(r.worst));
        put(
            all,
            "calls to servers".into(),
            "1/s",
            x,
            r.calls as f64 / secs,
        );
        put(
            all,
            "messages to nodes".into(),
            "1/s",
            x,
            r.sends as f64 / secs,
        );
        put(
            all,
            "standings reported".into(),
            "1/s",
            x,
            r.sights as f64 / secs,
        );
    }
}

fn fleet(a: &Args, sc: Scene, x: usize, first: bool, all: &mut All) {
    let (st, n, before) = (sc.state(), sc.nodes, resident());
    let real = a.real.min(n);
    let mut f = Fleet::new(sc, &st, real, a.sights);
    for s in 1..=a.warm {
        f.run(s * 1000);
        eprintln!("  warmed {s} s, {:.0} MB", resident() as f64 / 1e6);
    }
    if first {
        let grown = resident().saturating_sub(before) as f64;
        put(
            all,
            "memory of a real node".into(),
            "MB",
            x,
            grown / 1e6 / (real + VOTERS) as f64,
        );
    }
    if a.what == "change" {
        let c = change(&mut f, 1, a.seconds * 1000);
        put(all, "text".into(), "bytes", x, c.text as f64);
        put(all, "in force, median node".into(), "ms", x, c.took.mid);
        put(all, "in force, last node".into(), "ms", x, c.took.high);
        put(
            all,
            "nodes without it at the end".into(),
            "number",
            x,
            c.missing as f64,
        );
        put(all, "head, longest poll".into(), "ms", x, ms(c.head));
        put(
            all,
            "tail sent in all".into(),
            "bytes",
            x,
            c.tail_out as f64,
        );
        put(
            all,
            "follower got from the tail".into(),
            "bytes",
            x,
            c.node_in as f64,
        );
        return;
    }
    if a.what == "loss" {
        let (took, never) = loss(&mut f, a.seconds * 1000);
        took.iter()
            .for_each(|t| put(all, "head knows a lost node".into(), "ms", x, *t));
        put(
            all,
            "lost and not known at the end".into(),
            "number",
            x,
            never as f64,
        );
        return;
    }
    let mark = f.known().1;
    f.reset();
    f.run((a.warm + a.seconds) * 1000);
    let secs = a.seconds as f64;
    let (least, now) = f.known();
    println!(
        "{n} nodes ({real} real), {} databases: {} marks in {secs} s, least members known {least}",
        f.sc.dbs,
        now - mark
    );
    f.told
        .iter()
        .filter(|t| !t.contains("configuration"))
        .take(3)
        .for_each(|t| println!("  told: {t}"));
    for (r, (k, t)) in f.roles(&st) {
        println!("{}", role(r, k, &t, secs));
        let per = k as f64 * secs;
        let ((_, o), (_, i)) = t.totals();
        put(
            all,
            format!("{r} poll"),
            "% of a core",
            x,
            share(t.poll, per),
        );
        put(
            all,
            format!("{r} codec"),
            "% of a core",
            x,
            share(t.codec, per),
        );
        put(all, format!("{r} bytes out"), "B/s", x, o as f64 / per);
        put(all, format!("{r} bytes in"), "B/s", x, i as f64 / per);
    }
}
