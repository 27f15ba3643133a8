use bpaf::{construct, positional, Parser};
use medium::settings::Flags;
use std::path::PathBuf;
use tenet::config::Config;

enum Cmd {
    Check(PathBuf),
    Run(Flags),
}

fn check(p: PathBuf) -> eyre::Result<()> {
    let t = std::fs::read_to_string(&p).map_err(|e| eyre::eyre!("{}: {e}", p.display()))?;
    match Config::parse(&t) {
        Ok(c) => {
            c.warnings(None)
                .iter()
                .for_each(|w| eprintln!("{}: warning: {w}", p.display()));
            println!(
                "{}: good, {} databases, {} kinds",
                p.display(),
                c.databases.len(),
                c.kinds.len()
            );
            Ok(())
        }
        Err(v) => {
            v.iter().for_each(|e| eprintln!("{}: {e}", p.display()));
            std::process::exit(1);
        }
    }
}

fn main() -> eyre::Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let file = positional("FILE")
        .help("Configuration to check")
        .map(Cmd::Check);
    let check_cmd = file
        .to_options()
        .descr("Checks a configuration without a running fleet")
        .command("check")
        .help("Check a configuration file offline");
    let run = medium::settings::flags().map(Cmd::Run);
    let cmd = construct!([check_cmd, run])
        .to_options()
        .descr("accord: firramp's control plane, one per machine with a disk.")
        .version(env!("CARGO_PKG_VERSION"))
        .run();
    match cmd {
        Cmd::Check(p) => check(p),
        Cmd::Run(f) => medium::run::start(f, true),
    }
}
