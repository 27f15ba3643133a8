//! The control plane daemon, which also checks configuration files offline.

use bpaf::{construct, positional, Parser};
use medium::settings::Flags;
use std::path::{Path, PathBuf};
use tenet::config::Config;

/// Exit code for a configuration with errors.
const BAD_CONFIGURATION: i32 = 1;

enum Command {
    Check(PathBuf),
    Run(Flags),
}

fn arguments() -> Command {
    let check = positional("FILE")
        .help("Configuration to check")
        .map(Command::Check)
        .to_options()
        .descr("Checks a configuration without a running fleet")
        .command("check")
        .help("Check a configuration file offline");
    let run = medium::settings::flags().map(Command::Run);
    construct!([check, run])
        .to_options()
        .descr("accord: firramp's control plane, one per machine with a disk.")
        .version(env!("CARGO_PKG_VERSION"))
        .run()
}

fn check(path: &Path) -> eyre::Result<()> {
    let file = path.display();
    let text = std::fs::read_to_string(path).map_err(|error| eyre::eyre!("{file}: {error}"))?;
    match Config::parse(&text) {
        Ok(config) => {
            for warning in config.warnings(None) {
                eprintln!("{file}: warning: {warning}");
            }
            println!(
                "{file}: good, {} databases, {} kinds",
                config.databases.len(),
                config.kinds.len()
            );
            Ok(())
        }
        Err(errors) => {
            for error in errors {
                eprintln!("{file}: {error}");
            }
            std::process::exit(BAD_CONFIGURATION);
        }
    }
}

fn main() -> eyre::Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match arguments() {
        Command::Check(path) => check(&path),
        Command::Run(flags) => medium::run::start(flags, true),
    }
}
