//! Command line of the test fleet.

use bpaf::{construct, long, Parser};
use eyre::{eyre, Result};
use guise::fleet::{run, Plan};
use std::path::PathBuf;

fn main() -> Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let config = long("config")
        .help("Configuration to run, for example examples/alumni.json")
        .argument::<PathBuf>("FILE");
    let nodes = long("nodes")
        .help("Processes in all, three of them accord")
        .argument::<usize>("N")
        .fallback(12);
    let sessions = long("sessions")
        .help("Callers' sessions")
        .argument::<usize>("N")
        .fallback(300);
    let seconds = long("seconds")
        .help("How long traffic runs")
        .argument::<u64>("S")
        .fallback(20);
    let pause = long("pause")
        .help("Mean pause of a caller between requests, ms")
        .argument::<u64>("MS")
        .fallback(600);
    let connect = long("connect-ms")
        .help("What a new server connection costs")
        .argument::<u64>("MS")
        .fallback(20);
    let data = long("data")
        .help("Folder for logs and disks")
        .argument::<PathBuf>("FOLDER")
        .fallback("scratch/fleet".into());
    let events = long("do")
        .help("What to cause, as SECOND:WHAT, e.g. 5:kill=members, 9:retire=events, 12:stop=flow-5, 3:kill=accord-0")
        .argument::<String>("EVENT")
        .many();
    let plan = construct!(Plan { config, nodes, sessions, seconds, pause, connect, data, events })
        .to_options()
        .descr("guise: runs a whole firramp fleet on this machine with stand-in servers, platform and callers, causes failures and checks what callers saw")
        .version(env!("CARGO_PKG_VERSION"))
        .run();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let faults = runtime.block_on(run(plan))?;
    if faults > 0 {
        return Err(eyre!("{faults} faults found"));
    }
    Ok(())
}
