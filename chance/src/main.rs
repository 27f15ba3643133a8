//! Command line of the simulator: runs scripts over seeds, prints each broken rule with its replay line, and ends
//! with exit code 1 when there was one, 2 when a script is unknown.

use bpaf::{construct, long, Parser};
use chance::cuts::CUTS;
use chance::days::{day, run_day, TERMED};
use chance::fault::Plant;
use chance::losses::{BEYOND, LOSSES};
use chance::races::DAYS;
use chance::rolls;
use chance::runs::run_with;
use chance::scripts::{find, ALL};
use guise::termed::Flaw;
use std::time::{Duration, Instant};

struct Args {
    script: Option<String>,
    place: Option<String>,
    from: u64,
    seeds: u64,
    tell: Option<String>,
    times: bool,
    nodes: usize,
    threads: usize,
    old_sockets: bool,
}

type Met = (
    std::collections::BTreeMap<(usize, usize), u64>,
    std::collections::BTreeMap<String, (u64, u64)>,
);

fn main() {
    let script = long("script")
        .help("One script by name; all when left out")
        .argument("NAME")
        .optional();
    let place = long("place")
        .help("alumni, thessaly or termed; all when left out")
        .argument("NAME")
        .optional();
    let from = long("from").help("First seed").argument("SEED").fallback(1);
    let seeds = long("seeds")
        .help("How many seeds")
        .argument("N")
        .fallback(10);
    let tell = long("tell")
        .help("Print the reasons whose text holds WORD")
        .argument("WORD")
        .optional();
    let times = long("times")
        .help("Print what callers met, message counts and syncs")
        .switch();
    let nodes = long("nodes")
        .help("Processes in all, when not as the deployment sizes them")
        .argument("N")
        .fallback(0);
    let threads = long("threads")
        .help("Runs at once; 0: one for each core")
        .argument("N")
        .fallback(0);
    let old_sockets = long("old-sockets")
        .help("Planted: the kernel delivers whatever was handed over, however late")
        .switch();
    let a = construct!(Args { script, place, from, seeds, tell, times, nodes, threads, old_sockets })
        .to_options()
        .descr("chance: runs the real machines under virtual time and seeded failures. Exit 1 when a fault is found; each failing run prints its replay line.")
        .version(env!("CARGO_PKG_VERSION"))
        .run();
    if let Some(n) = a
        .script
        .as_ref()
        .filter(|n| find(n).is_none() && day(n).is_none())
    {
        eprintln!(
            "no script '{n}'; there are {}",
            ALL.iter()
                .chain(CUTS)
                .chain(LOSSES)
                .chain(TERMED)
                .chain(DAYS)
                .chain(rolls::DAYS)
                .map(|s| s.name)
                .collect::<Vec<_>>()
                .join(", ")
        );
        std::process::exit(2);
    }
    let places: Vec<&str> = ["alumni", "thessaly"]
        .into_iter()
        .filter(|p| a.place.as_ref().is_none_or(|x| x == p))
        .collect();
    let wanted = |s: &&chance::scripts::Script| a.script.as_ref().is_none_or(|n| n == s.name);
    let termed = a.place.as_ref().is_none_or(|p| p == "termed");
    let own = ALL
        .iter()
        .chain(CUTS)
        .chain(LOSSES)
        .chain(a.script.is_some().then_some(&BEYOND))
        .filter(wanted)
        .flat_map(|s| places.iter().map(move |p| (s, *p)));
    let days = TERMED
        .iter()
        .chain(DAYS)
        .chain(rolls::DAYS)
        .filter(wanted)
        .filter(|_| termed)
        .map(|s| (s, "termed"));
    let mut work = Vec::new();
    for (s, p) in own.chain(days) {
        (a.from..a.from + a.seeds).for_each(|seed| work.push((s, p, seed)));
    }
    let told = std::sync::Mutex::new(Instant::now());
    let (done, cut) = (
        std::sync::atomic::AtomicUsize::new(0),
        std::sync::atomic::AtomicUsize::new(0),
    );
    let met: std::sync::Mutex<Met> = Default::default();
    let measured: std::sync::Mutex<rolls::Figures> = Default::default();
    let next = std::sync::atomic::AtomicUsize::new(0);
    let bad = std::sync::atomic::AtomicUsize::new(0);
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    let threads = if a.threads > 0 { a.threads } else { cores };
    std::thread::scope(|t| {
        for _ in 0..threads.min(work.len()) {
            t.spawn(|| loop {
                let i = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let Some((s, p, seed)) = work.get(i) else { return };
                let sim = match *p {
                    "termed" => run_day(s, *seed, Flaw::None),
                    p => run_with(s, p, *seed, if a.old_sockets { Plant::OldSockets } else { Plant::None }, a.nodes),
                };
                let f = sim.faults();
                let lost = sim.judged().lost.len();
                cut.fetch_add(lost, std::sync::atomic::Ordering::Relaxed);
                measured.lock().unwrap_or_else(|e| e.into_inner()).add(&sim.watch.release.figures);
                let mut text = String::new();
                if s.name == "pairs" {
                    let [x, y] = chance::pairs::drawn(*seed);
                    let mut g = met.lock().unwrap_or_else(|e| e.into_inner());
                    *g.0.entry((x, y)).or_default() += 1;
                    sim.watch.took.iter().for_each(|(k, n)| g.1.entry(k.clone()).or_default().0 += n);
                    sim.watch.vain.iter().for_each(|(k, n)| g.1.entry(k.clone()).or_default().1 += n);
                }
                if !f.is_empty() {
                    bad.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    text += &format!("FAIL {} {p} seed {seed}: {} faults\n", s.name, f.len());
                    f.iter().take(60).for_each(|x| text += &format!("  {x}\n"));
                    text += &format!("  replay: chance --script {} --place {p} --from {seed} --seeds 1\n", s.name);
                }
                let figures = &sim.watch.release.figures;
                if a.times && figures.read_back > 0 {
                    text += &format!("{} {p} {seed}: {}\n", s.name, figures.summary());
                }
                if let (true, Some(x)) = (a.times, sim.termed.as_ref()) {
                    text += &format!("{} {p} {seed}: {:?}\n  {} statements, {} commits, {lost} acknowledged ones cut back, longest time a service took no commit {} ms\n",
                        s.name, sim.history.kinds, x.fleet.runs.len(), x.fleet.kept.len(), x.gap);
                } else if a.times {
                    text += &format!("{} {p} {seed}: {:?}\n  worst wait for a success {} ms, slowest adoption {} ms, back {} ms after a loss, {} ms after a heal at the slowest node, syncs {}, messages {:?}\n", s.name, sim.history.kinds,
                        sim.clients.iter().map(|c| c.worst).max().unwrap_or(0), sim.watch.slowest_adopt, sim.watch.back_after, sim.watch.healed.values().max().unwrap_or(&0), sim.nodes.iter().map(|n| n.syncs).sum::<u64>(), sim.messages);
                }
                for ((hops, far), v) in sim.watch.tiers.iter().filter(|_| a.times) {
                    let mut v = v.clone();
                    v.sort_unstable();
                    text += &format!("  current reads over {hops} nodes, {far} region crossings: {} of them, median {} ms, max {} ms\n", v.len(), v[v.len() / 2], v[v.len() - 1]);
                }
                if let Some(w) = &a.tell {
                    for n in &sim.nodes {
                        n.logs.iter().filter(|l| l.1.contains(w.as_str())).for_each(|l| text += &format!("  node {} at {} {}\n", n.i, l.0, l.1));
                    }
                    for n in sim.nodes.iter().filter_map(|n| n.front.as_ref()) {
                        n.explain(w).into_iter().for_each(|l| text += &format!("  {l}\n"));
                    }
                    let c = sim.nodes.iter().filter_map(|n| n.control.as_ref()).max_by_key(|c| c.state().mark);
                    let v = c.map(|c| c.state().stories.clone()).unwrap_or_default();
                    v.iter().filter(|s| s.text.contains(w.as_str())).for_each(|s| text += &format!("  {} mark {} {}\n", s.at.saturating_sub(1_000_000), s.mark, s.text));
                }
                print!("{text}");
                let n = done.fetch_add(1, std::sync::atomic::Ordering::Relaxed) + 1;
                let mut at = told.lock().unwrap_or_else(|e| e.into_inner());
                if at.elapsed() > Duration::from_secs(5) {
                    *at = Instant::now();
                    eprintln!("{n} of {} runs, {} with faults, last {} {p} {seed}", work.len(), bad.load(std::sync::atomic::Ordering::Relaxed), s.name);
                }
            });
        }
    });
    let bad = bad.into_inner();
    let (met, took) = met.into_inner().unwrap_or_else(|e| e.into_inner());
    if !met.is_empty() {
        let n = chance::pairs::KINDS.len();
        println!(
            "pairs met {} of {}, each {} to {} times",
            met.len(),
            n * (n - 1) / 2,
            met.values().min().unwrap_or(&0),
            met.values().max().unwrap_or(&0)
        );
        took.iter()
            .for_each(|(k, (t, v))| println!("  {k:<16} took effect {t:>6}  in vain {v:>5}"));
    }
    if termed {
        println!(
            "{} acknowledged commits cut back by unplanned promotions",
            cut.into_inner()
        );
    }
    let measured = measured.into_inner().unwrap_or_else(|e| e.into_inner());
    if measured.read_back > 0 {
        println!("{}", measured.summary());
    }
    println!("{} runs, {bad} with faults", work.len());
    std::process::exit((bad > 0) as i32);
}
