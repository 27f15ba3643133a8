//! The fleet's processes: `accord` and `flow` as children of this one.

use eyre::{Result, WrapErr};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use tenet::config::Config;

/// Processes that run the control plane.
const CONTROL_PROCESSES: usize = 3;
/// Addresses used in each network of this process's loopback range.
const ADDRESSES_PER_NETWORK: u16 = 250;

/// One process of the fleet, which ends with this value.
pub struct Process {
    /// Program and number, for example `flow-3`.
    pub name: String,
    /// Zone that it is told to be in.
    pub domain: String,
    /// Whether it runs `accord`, which has a disk.
    pub disk: bool,
    /// Address for other processes of the fleet.
    pub listen: SocketAddr,
    /// Address for callers and operators.
    pub http: SocketAddr,
    /// The child while it runs.
    pub child: Option<Child>,
    args: Vec<String>,
    program: PathBuf,
    log: PathBuf,
}

/// A free port on an address of its own, so that two tests never share one.
pub fn free_port() -> Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let network = 1 + (std::process::id() % u32::from(ADDRESSES_PER_NETWORK)) as u8;
    let third = (number / ADDRESSES_PER_NETWORK) as u8;
    let last = 1 + (number % ADDRESSES_PER_NETWORK) as u8;
    let address = Ipv4Addr::new(127, network, third, last);
    Ok(TcpListener::bind((address, 0))?.local_addr()?)
}

impl Process {
    /// Starts it; its output is appended to its log.
    pub fn start(&mut self) -> Result<()> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(&self.program)
            .args(&self.args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err_with(|| format!("start {}", self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends it a signal, named as `kill` takes it.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .arg(signal)
                .arg(child.id().to_string())
                .status();
        }
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether it does not run.
    pub fn ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    fn arguments(&self, platform: SocketAddr, seeds: &[SocketAddr], data: &Path) -> Vec<String> {
        let mut args = vec![
            format!("--listen={}", self.listen),
            format!("--http={}", self.http),
            format!("--domain={}", self.domain),
            format!("--platform={platform}"),
        ];
        args.extend(seeds.iter().map(|seed| format!("--seed={seed}")));
        if self.disk {
            args.push(format!("--data={}", data.join(&self.name).display()));
        }
        args
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Folder of the programs, beside this one or beside the folder of this test.
fn program_folder() -> Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folder = program.parent().unwrap_or(Path::new("."));
    let programs = match folder.ends_with("deps") {
        true => folder.parent().unwrap_or(folder),
        false => folder,
    };
    Ok(programs.to_path_buf())
}

/// The processes of a fleet, not started yet, in the configuration's zones in turn.
pub fn processes(
    config: &Config,
    count: usize,
    platform: SocketAddr,
    data: &Path,
) -> Result<Vec<Process>> {
    let programs = program_folder()?;
    let domains: Vec<&String> = config.domains.keys().collect();
    let mut processes = Vec::new();
    for number in 0..count {
        let disk = number < CONTROL_PROCESSES;
        let program = if disk { "accord" } else { "flow" };
        let name = format!("{program}-{number}");
        processes.push(Process {
            domain: domains[number % domains.len()].clone(),
            disk,
            listen: free_port()?,
            http: free_port()?,
            child: None,
            args: vec![],
            program: programs.join(program),
            log: data.join(format!("{name}.log")),
            name,
        });
    }
    let control = processes.iter().take(CONTROL_PROCESSES);
    let seeds: Vec<SocketAddr> = control.map(|process| process.listen).collect();
    for process in &mut processes {
        process.args = process.arguments(platform, &seeds, data);
    }
    Ok(processes)
}
