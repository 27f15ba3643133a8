use eyre::{Result, WrapErr};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use tenet::config::Config;

pub struct Proc {
    pub name: String,
    pub domain: String,
    pub disk: bool,
    pub listen: SocketAddr,
    pub http: SocketAddr,
    args: Vec<String>,
    bin: PathBuf,
    log: PathBuf,
    pub child: Option<Child>,
}

pub fn free_port() -> Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let net = 1 + (std::process::id() % 250) as u8;
    let ip = std::net::Ipv4Addr::new(127, net, (n / 250) as u8, 1 + (n % 250) as u8);
    Ok(TcpListener::bind((ip, 0))?.local_addr()?)
}

impl Proc {
    pub fn start(&mut self) -> Result<()> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let c = Command::new(&self.bin)
            .args(&self.args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err_with(|| format!("start {}", self.bin.display()))?;
        self.child = Some(c);
        Ok(())
    }

    pub fn signal(&self, s: &str) {
        if let Some(c) = &self.child {
            let _ = Command::new("kill").arg(s).arg(c.id().to_string()).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut c) = self.child.take() {
            let _ = c.kill();
            let _ = c.wait();
        }
    }

    pub fn ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|c| matches!(c.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Proc {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn fleet(c: &Config, nodes: usize, platform: SocketAddr, at: &Path) -> Result<Vec<Proc>> {
    let me = std::env::current_exe()?;
    let bins = me.parent().map(|p| {
        if p.ends_with("deps") {
            p.parent().unwrap_or(p)
        } else {
            p
        }
    });
    let bins = bins.unwrap_or(Path::new(".")).to_path_buf();
    let domains: Vec<&String> = c.domains.keys().collect();
    let mut v: Vec<Proc> = Vec::new();
    for i in 0..nodes {
        let disk = i < 3;
        let domain = domains[i % domains.len()].clone();
        let name = format!("{}-{i}", if disk { "accord" } else { "flow" });
        let bin = bins.join(if disk { "accord" } else { "flow" });
        let (listen, http) = (free_port()?, free_port()?);
        let log = at.join(format!("{name}.log"));
        v.push(Proc {
            name,
            domain,
            disk,
            listen,
            http,
            args: vec![],
            bin,
            log,
            child: None,
        });
    }
    let seeds: Vec<SocketAddr> = v.iter().take(3).map(|p| p.listen).collect();
    for p in &mut v {
        let mut a: Vec<String> = vec![
            format!("--listen={}", p.listen),
            format!("--http={}", p.http),
            format!("--domain={}", p.domain),
            format!("--platform={platform}"),
        ];
        a.extend(seeds.iter().map(|s| format!("--seed={s}")));
        if p.disk {
            a.push(format!("--data={}", at.join(&p.name).display()));
        }
        p.args = a;
    }
    Ok(v)
}
