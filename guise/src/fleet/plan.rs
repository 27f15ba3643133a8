//! What to run: the options of the test fleet.

use eyre::{eyre, Result, WrapErr};
use std::path::PathBuf;
use tenet::config::Config;

/// What to run.
pub struct Plan {
    /// Configuration file.
    pub config: PathBuf,
    /// Number of processes, three of them `accord`.
    pub nodes: usize,
    /// Number of callers.
    pub sessions: usize,
    /// How long traffic runs, s.
    pub seconds: u64,
    /// Mean pause of a caller between requests, ms.
    pub pause: u64,
    /// What a new connection costs a server, ms.
    pub connect: u64,
    /// Folder for logs and disks.
    pub data: PathBuf,
    /// Faults to inject, each as `SECOND:WHAT=NAME`.
    pub events: Vec<String>,
}

impl Plan {
    /// The small example configuration, with a folder named after the test.
    pub fn small(name: &str, nodes: usize, sessions: usize) -> Plan {
        Plan {
            config: concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/small.json").into(),
            nodes,
            sessions,
            seconds: 0,
            pause: 60,
            connect: 2,
            data: std::env::temp_dir().join(format!("firramp-{name}-{}", std::process::id())),
            events: vec![],
        }
    }

    pub(super) fn configuration(&self) -> Result<Config> {
        let file = self.config.display();
        let text = std::fs::read_to_string(&self.config).wrap_err_with(|| file.to_string())?;
        Config::parse(&text).map_err(|errors| eyre!("{file}: {}", errors.join("; ")))
    }
}
