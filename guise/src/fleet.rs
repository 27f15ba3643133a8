use crate::callers::{Line, Site};
use crate::check::{check, History};
use crate::hosts::*;
use crate::mix::{Caller, Kinds};
use crate::procs::{fleet, free_port, Proc};
use crate::world::{Shape, World};
use eyre::{eyre, Result, WrapErr};
use medium::back::Back;
use medium::back::HttpRes;
use medium::clock::Clock;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tenet::config::Config;
use volo_http::http::Method;

pub struct Plan {
    pub config: PathBuf,
    pub nodes: usize,
    pub sessions: usize,
    pub seconds: u64,
    pub pause: u64,
    pub connect: u64,
    pub data: PathBuf,
    pub events: Vec<String>,
}

impl Plan {
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
}

pub struct Stage {
    pub procs: Vec<Proc>,
    pub world: Shared,
    pub site: Arc<Site>,
    pub cfg: Config,
}

pub async fn until<F: std::future::Future<Output = bool>>(
    what: &str,
    limit: u64,
    f: impl Fn() -> F,
) -> Result<()> {
    let t = Clock::new();
    while t.now() < limit {
        if f().await {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(eyre!("waited {limit} ms in vain for {what}"))
}

impl Stage {
    pub async fn set(p: &Plan) -> Result<Stage> {
        let text =
            std::fs::read_to_string(&p.config).wrap_err_with(|| p.config.display().to_string())?;
        let cfg =
            Config::parse(&text).map_err(|e| eyre!("{}: {}", p.config.display(), e.join("; ")))?;
        let _ = std::fs::remove_dir_all(&p.data);
        std::fs::create_dir_all(&p.data)?;
        let clock = Clock::new();
        let world = Arc::new(Mutex::new(World::new(&Shape::of(&cfg, 60))));
        let costs = Arc::new(Costs {
            connect: p.connect,
            statement: 2,
            promote: 1000,
        });
        let at = free_port()?;
        tokio::spawn(platform(world.clone(), at, clock, costs.clone()));
        let n = lock(&world).servers.len();
        let mut addrs = Vec::new();
        for i in 0..n {
            let a = free_port()?;
            addrs.push(a);
            tokio::spawn(server(world.clone(), i, a, clock, costs.clone()));
        }
        tokio::spawn(clockwork(world.clone(), clock));
        let mut procs = fleet(&cfg, p.nodes, at, &p.data)?;
        procs.iter_mut().try_for_each(|p| p.start())?;
        let back = Back::new(clock)?;
        let nodes: Vec<SocketAddr> = procs.iter().map(|p| p.http).collect();
        tokio::spawn(announcer(world.clone(), addrs, nodes, back.clone()));
        let site = Arc::new(Site {
            clock,
            back,
            kinds: Kinds::of(&cfg),
            history: Mutex::new(History::default()),
            regions: Mutex::default(),
            stop: false.into(),
            pause: p.pause,
            lag: Mutex::new(Vec::new()),
        });
        Ok(Stage {
            procs,
            world,
            site,
            cfg,
        })
    }

    pub fn flows(&self) -> Vec<SocketAddr> {
        self.procs
            .iter()
            .filter(|p| !p.disk)
            .map(|p| p.http)
            .collect()
    }

    pub async fn configure(&self, base: u64, via: usize) -> Result<u64> {
        let to = self.procs[via].http;
        let b = json!({"base": base, "configuration": self.cfg});
        let t = Clock::new();
        let mut last = String::new();
        while t.now() < 15_000 {
            match self
                .site
                .back
                .send(Method::PUT, to.into(), "/configuration", &b, 6000)
                .await
            {
                HttpRes::Ok(v) => return Ok(v["mark"].as_u64().unwrap_or(0)),
                r => last = format!("{r:?}"),
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(eyre!("no node took the configuration: {last}"))
    }

    pub async fn ready(&self) -> Result<()> {
        for a in self.flows() {
            until("every node to be ready", 15_000, || async move {
                self.site.back.get(a, "/ready").await.is_some()
            })
            .await?;
        }
        let a = self.flows()[0];
        until(
            "every database to have a primary and heirs",
            20_000,
            || async move {
                let v = self
                    .site
                    .back
                    .get(a, "/verdicts")
                    .await
                    .unwrap_or(Value::Null);
                v["databases"].as_object().is_some_and(|m| {
                    m.values().all(|d| {
                        let s = d["servers"].as_array().cloned().unwrap_or_default();
                        d["phase"] == "steady" && s.iter().any(|s| s["role"] == "heir")
                    })
                })
            },
        )
        .await
    }

    pub async fn learn_regions(&self) {
        let Some(f) = self.site.back.get(self.flows()[0], "/fleet").await else {
            return;
        };
        let mut g = self.site.regions.lock().unwrap_or_else(|e| e.into_inner());
        for n in f["nodes"].as_array().cloned().unwrap_or_default() {
            let r = n["domain"]
                .as_str()
                .and_then(|d| self.cfg.region(d))
                .unwrap_or("");
            g.insert(n["id"].as_str().unwrap_or("").into(), r.into());
        }
    }

    pub fn start_callers(&self, sessions: usize) -> Vec<tokio::task::JoinHandle<()>> {
        let dbs: Vec<&String> = self.cfg.databases.keys().collect();
        let nodes = self.flows();
        (0..sessions)
            .map(|i| {
                let db = dbs[i % dbs.len()];
                let of = (sessions / dbs.len()).max(1) as u64;
                let c = Caller::new(i as u64, of, db, 11);
                let homes = self.cfg.databases[db].homes.clone();
                tokio::spawn(Line::new(self.site.clone(), nodes.clone(), i / 3, c, homes).run())
            })
            .collect()
    }

    pub fn cause(&mut self, what: &str) -> Result<()> {
        let now = self.site.clock.now();
        let (verb, arg) = what
            .split_once('=')
            .ok_or_else(|| eyre!("--do: '{what}' is not WHAT=NAME"))?;
        println!("{:>7} ms  {what}", now);
        let w = self.world.clone();
        let mut g = lock(&w);
        let proc = self.procs.iter_mut().find(|p| p.name == arg);
        let lead = g.leader(arg);
        let server = g.ix(arg);
        match (verb, proc, lead, server) {
            ("kill", Some(p), ..) => p.kill(),
            ("stop", Some(p), ..) => p.signal("-TERM"),
            ("start", Some(p), ..) => p.start()?,
            ("freeze", Some(p), ..) => p.signal("-STOP"),
            ("thaw", Some(p), ..) => p.signal("-CONT"),
            ("kill", _, Some(i), _) => g.crash(i),
            ("retire", _, Some(i), _) => g.servers[i].leaving = true,
            ("kill", _, _, Some(i)) => g.crash(i),
            ("retire", _, _, Some(i)) => g.servers[i].leaving = true,
            ("restart", _, _, Some(i)) => g.restart(now, i),
            ("replace", _, _, Some(i)) => g.replace(now, i),
            ("stall", _, _, Some(i)) => g.servers[i].stalled = true,
            _ => return Err(eyre!("--do: cannot '{what}'")),
        }
        Ok(())
    }
}

pub async fn drive(p: Plan) -> Result<usize> {
    let mut s = Stage::set(&p).await?;
    let t = Clock::new();
    let mark = s.configure(0, p.nodes - 1).await?;
    s.ready().await?;
    println!(
        "{:>7} ms  fleet of {} ready, configuration {mark} through the last node",
        t.now(),
        p.nodes
    );
    s.learn_regions().await;
    let callers = s.start_callers(p.sessions);
    let mut todo: Vec<(u64, String)> = Vec::new();
    for e in &p.events {
        let (at, w) = e
            .split_once(':')
            .ok_or_else(|| eyre!("--do: '{e}' is not SECOND:WHAT"))?;
        todo.push((
            at.parse::<u64>()
                .map_err(|_| eyre!("--do: '{at}' is no number"))?
                * 1000,
            w.into(),
        ));
    }
    todo.sort();
    let t = Clock::new();
    for (at, w) in todo {
        tokio::time::sleep(Duration::from_millis(at.saturating_sub(t.now()))).await;
        s.cause(&w)?;
    }
    tokio::time::sleep(Duration::from_millis(
        (p.seconds * 1000).saturating_sub(t.now()),
    ))
    .await;
    s.site
        .stop
        .store(true, std::sync::atomic::Ordering::Relaxed);
    for c in callers {
        let _ = tokio::time::timeout(Duration::from_secs(12), c).await;
    }
    Ok(report(&s, p.seconds))
}

fn report(s: &Stage, seconds: u64) -> usize {
    let h = s.site.history.lock().unwrap_or_else(|e| e.into_inner());
    let w = lock(&s.world);
    let f = check(&h, &w);
    let lag = s.site.lag.lock().unwrap_or_else(|e| e.into_inner());
    println!(
        "requests {} in {seconds} s, connections opened {}",
        lag.len(),
        w.opened
    );
    h.kinds.iter().for_each(|(k, n)| println!("  {k:<40} {n}"));
    let mut kinds: Vec<&String> = lag.iter().map(|l| &l.0).collect();
    kinds.sort();
    kinds.dedup();
    for k in kinds {
        let mut v: Vec<u64> = lag
            .iter()
            .filter(|l| l.0 == *k && l.3)
            .map(|l| l.2)
            .collect();
        v.sort_unstable();
        let q = |p: usize| v.get(v.len() * p / 100).copied().unwrap_or(0);
        println!(
            "  {k:<20} p50 {:>5} ms  p95 {:>5} ms  max {:>5} ms",
            q(50),
            q(95),
            v.last().unwrap_or(&0)
        );
    }
    f.iter().take(20).for_each(|x| println!("FAULT {x}"));
    println!("faults: {}", f.len());
    f.len()
}
