//! Settings of the daemons: flags and a file, checked before anything starts.

use bpaf::{construct, long, Parser};
use eyre::{eyre, Result, WrapErr};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use tenet::grace::Grace;

/// The settings file, as it is written.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Address for the other processes.
    pub listen: String,
    /// Address for callers, servers, the platform and operators.
    pub http: String,
    /// Zone of the machine.
    pub domain: String,
    /// Addresses of other processes.
    pub seeds: Vec<String>,
    /// Data folder.
    pub data: Option<PathBuf>,
    /// Address of the platform.
    pub platform: Option<String>,
}

/// Where a process stands, after all checks.
#[derive(Clone, Debug)]
pub struct Place {
    /// Address for the other processes.
    pub listen: SocketAddr,
    /// Address for callers, servers, the platform and operators.
    pub http: SocketAddr,
    /// Zone of the machine.
    pub domain: String,
    /// Addresses of other processes.
    pub seeds: Vec<SocketAddr>,
    /// Data folder.
    pub data: Option<PathBuf>,
    /// Address of the platform.
    pub platform: Option<SocketAddr>,
    /// The fleet may be founded now.
    pub found: bool,
    /// Addresses of the processes that found it; empty: the three with a disk.
    pub founders: Vec<SocketAddr>,
    /// Synced copies that an acknowledged change needs.
    pub copies: usize,
    /// How long the process may go on after SIGTERM.
    pub grace: Grace,
}

/// The command line; flags win over the file.
#[derive(Clone, Debug)]
pub struct Flags {
    file: Option<PathBuf>,
    listen: Option<String>,
    http: Option<String>,
    domain: Option<String>,
    seeds: Vec<String>,
    data: Option<PathBuf>,
    platform: Option<String>,
}

/// Parses the command line.
pub fn flags() -> impl Parser<Flags> {
    let file = long("settings")
        .help("Settings file (JSON); flags given beside it win")
        .argument("FILE")
        .optional();
    let listen = long("listen")
        .help("Address for the other processes, UDP and TCP")
        .argument("IP:PORT")
        .optional();
    let http = long("http")
        .help("Address for callers, servers, the platform and operators")
        .argument("IP:PORT")
        .optional();
    let domain = long("domain")
        .help("Domain (zone) this machine stands in")
        .argument("NAME")
        .optional();
    let seeds = long("seed")
        .help("Address of another process; give three")
        .argument("IP:PORT")
        .many();
    let data = long("data")
        .help("Data folder on a disk that keeps what is synced")
        .argument("FOLDER")
        .optional();
    let platform = long("platform")
        .help("Address of the platform, for the promote call")
        .argument("IP:PORT")
        .optional();
    construct!(Flags {
        file,
        listen,
        http,
        domain,
        seeds,
        data,
        platform
    })
}

fn addr(field: &str, s: &str) -> Result<SocketAddr> {
    s.parse()
        .map_err(|_| eyre!("settings.{field}: '{s}' is no IP:PORT address"))
}

impl Flags {
    /// Reads the file, if there is one, and checks everything.
    pub fn place(self, disk: bool) -> Result<Place> {
        let mut s = match &self.file {
            Some(f) => {
                let t = std::fs::read_to_string(f)
                    .wrap_err_with(|| format!("settings file {}", f.display()))?;
                serde_json::from_str::<Settings>(&t)
                    .map_err(|e| eyre!("settings file {}: {e}", f.display()))?
            }
            None => Settings::default(),
        };
        self.listen.into_iter().for_each(|x| s.listen = x);
        self.http.into_iter().for_each(|x| s.http = x);
        self.domain.into_iter().for_each(|x| s.domain = x);
        self.data.into_iter().for_each(|x| s.data = Some(x));
        self.platform.into_iter().for_each(|x| s.platform = Some(x));
        if !self.seeds.is_empty() {
            s.seeds = self.seeds;
        }
        check(s, disk)
    }
}

fn check(s: Settings, disk: bool) -> Result<Place> {
    let need = [
        ("listen", &s.listen),
        ("http", &s.http),
        ("domain", &s.domain),
    ];
    if let Some((f, _)) = need.iter().find(|(_, v)| v.is_empty()) {
        return Err(eyre!("settings.{f}: missing"));
    }
    if s.seeds.len() != 3 {
        return Err(eyre!(
            "settings.seeds: three addresses are needed, {} given",
            s.seeds.len()
        ));
    }
    let mut seeds = Vec::new();
    for (i, x) in s.seeds.iter().enumerate() {
        let a = addr(&format!("seeds[{i}]"), x)?;
        if seeds.contains(&a) {
            return Err(eyre!("settings.seeds[{i}]: {a} is given twice"));
        }
        seeds.push(a);
    }
    if disk && s.data.is_none() {
        return Err(eyre!("settings.data: accord needs a data folder"));
    }
    if !disk && s.data.is_some() {
        return Err(eyre!(
            "settings.data: flow keeps nothing on disk; take the field out"
        ));
    }
    let listen = addr("listen", &s.listen)?;
    let http = addr("http", &s.http)?;
    if listen == http {
        return Err(eyre!("settings.http: the same address as settings.listen"));
    }
    let open = [("listen", listen), ("http", http)];
    if let Some((f, _)) = open.iter().find(|(_, a)| a.ip().is_unspecified()) {
        return Err(eyre!(
            "settings.{f}: name one address, the others must be able to reach it"
        ));
    }
    let platform = s
        .platform
        .as_deref()
        .map(|p| addr("platform", p))
        .transpose()?;
    Ok(Place {
        listen,
        http,
        domain: s.domain,
        seeds,
        data: s.data,
        platform,
        found: true,
        founders: Vec::new(),
        copies: 2,
        grace: Grace::default(),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ok() -> Settings {
        Settings {
            listen: "127.0.0.1:1".into(),
            http: "127.0.0.1:2".into(),
            domain: "a".into(),
            seeds: ["127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"]
                .map(String::from)
                .into(),
            data: None,
            platform: None,
        }
    }

    /// Makes one field of good settings bad.
    type Spoil = fn(&mut Settings);

    #[test]
    fn each_bad_setting_is_named() {
        assert!(check(ok(), false).is_ok());
        let bad: [(&str, bool, Spoil); 9] = [
            ("settings.http", false, |s| s.http = s.listen.clone()),
            ("settings.listen", false, |s| s.listen = "here".into()),
            ("settings.listen", false, |s| s.listen = "0.0.0.0:1".into()),
            ("settings.http", false, |s| s.http.clear()),
            ("settings.domain", false, |s| s.domain.clear()),
            ("settings.seeds", false, |s| s.seeds.truncate(2)),
            ("settings.seeds[1]", false, |s| {
                s.seeds[1] = s.seeds[0].clone()
            }),
            ("settings.data", true, |_| ()),
            ("settings.platform", false, |s| {
                s.platform = Some("x".into())
            }),
        ];
        for (field, disk, f) in bad {
            let mut s = ok();
            f(&mut s);
            let e = check(s, disk).unwrap_err().to_string();
            assert!(e.starts_with(&format!("{field}:")), "{e}");
        }
    }
}
