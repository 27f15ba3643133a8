//! A whole fleet on one machine: real processes before stand-in servers, with callers.

mod fault;
mod plan;
mod report;
mod run;

pub use plan::Plan;
pub use run::run;

use crate::callers::{Session, Site};
use crate::check::History;
use crate::lock;
use crate::mix::{Caller, Kinds};
use crate::processes::{free_port, processes, Process};
use crate::stand_ins::{announce, platform, replicate, server, Costs, SharedWorld};
use crate::world::{Shape, World};
use eyre::{eyre, Result};
use medium::back::Back;
use medium::back::HttpRes;
use medium::clock::Clock;
use serde_json::{json, Value};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tenet::config::Config;
use tokio::task::JoinHandle;
use volo_http::http::Method;

/// How late a replica applies a commit, ms.
const REPLICATION_LAG_MS: u64 = 60;
/// What a statement costs a server, ms.
const STATEMENT_COST_MS: u64 = 2;
/// What a promotion costs the platform, ms.
const PROMOTION_COST_MS: u64 = 1000;
/// How long to try to configure the fleet, ms.
const CONFIGURE_LIMIT_MS: u64 = 15_000;
/// How long one attempt to configure the fleet may take, ms.
const CONFIGURE_TIMEOUT_MS: u64 = 6000;
/// How long a node may take to be ready, ms.
const READY_LIMIT_MS: u64 = 15_000;
/// How long databases may take to have a primary and a replica, ms.
const PRIMARIES_LIMIT_MS: u64 = 20_000;
/// Seed of the callers' random choices.
const CALLER_SEED: u64 = 11;
/// Callers that begin at the same node.
const CALLERS_PER_NODE: usize = 3;

/// A fleet that runs.
pub struct Fleet {
    /// Its processes; the first three are `accord`.
    pub procs: Vec<Process>,
    /// The stand-in servers.
    pub world: SharedWorld,
    /// What its callers share.
    pub site: Arc<Site>,
    /// The configuration to put into force.
    pub cfg: Config,
}

/// Polls until `condition` holds; fails after `limit` ms and names `what` was waited for.
pub async fn until<F: Future<Output = bool>>(
    what: &str,
    limit: u64,
    condition: impl Fn() -> F,
) -> Result<()> {
    let clock = Clock::new();
    while clock.now() < limit {
        if condition().await {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(eyre!("waited {limit} ms in vain for {what}"))
}

impl Fleet {
    /// Starts the stand-in servers, the platform and all processes.
    pub async fn start(plan: &Plan) -> Result<Fleet> {
        let cfg = plan.configuration()?;
        let _ = std::fs::remove_dir_all(&plan.data);
        std::fs::create_dir_all(&plan.data)?;
        let clock = Clock::new();
        let shape = Shape::of(&cfg, REPLICATION_LAG_MS);
        let world = Arc::new(Mutex::new(World::new(&shape)));
        let costs = Arc::new(Costs {
            connect: plan.connect,
            statement: STATEMENT_COST_MS,
            promote: PROMOTION_COST_MS,
        });
        let platform_address = free_port()?;
        tokio::spawn(platform(
            world.clone(),
            platform_address,
            clock,
            costs.clone(),
        ));
        let servers = lock(&world).servers.len();
        let mut addresses = Vec::new();
        for index in 0..servers {
            let address = free_port()?;
            addresses.push(address);
            tokio::spawn(server(world.clone(), index, address, clock, costs.clone()));
        }
        tokio::spawn(replicate(world.clone(), clock));
        let mut procs = processes(&cfg, plan.nodes, platform_address, &plan.data)?;
        procs.iter_mut().try_for_each(|process| process.start())?;
        let back = Back::new(clock)?;
        let nodes: Vec<SocketAddr> = procs.iter().map(|process| process.http).collect();
        tokio::spawn(announce(world.clone(), addresses, nodes, back.clone()));
        let site = Arc::new(Site {
            clock,
            back,
            kinds: Kinds::of(&cfg),
            history: Mutex::new(History::default()),
            regions: Mutex::default(),
            stop: false.into(),
            pause: plan.pause,
            latencies: Mutex::default(),
        });
        Ok(Fleet {
            procs,
            world,
            site,
            cfg,
        })
    }

    /// Starts a fleet, configures it through process `via` and waits until it is ready. Also gives
    /// the version of the configuration.
    pub async fn start_ready(plan: &Plan, via: usize) -> Result<(Fleet, u64)> {
        let fleet = Fleet::start(plan).await?;
        let version = fleet.configure(0, via).await?;
        fleet.ready().await?;
        Ok((fleet, version))
    }

    /// HTTP addresses of the `flow` processes.
    pub fn flows(&self) -> Vec<SocketAddr> {
        let flows = self.procs.iter().filter(|process| !process.disk);
        flows.map(|process| process.http).collect()
    }

    /// Puts the configuration through process `via`, and returns its version.
    pub async fn configure(&self, base: u64, via: usize) -> Result<u64> {
        let to = self.procs[via].http;
        let body = json!({"base": base, "configuration": self.cfg});
        let clock = Clock::new();
        let back = &self.site.back;
        let mut last = String::new();
        while clock.now() < CONFIGURE_LIMIT_MS {
            let answer = back
                .send(
                    Method::PUT,
                    to.into(),
                    "/configuration",
                    &body,
                    CONFIGURE_TIMEOUT_MS,
                )
                .await;
            match answer {
                HttpRes::Ok(answer) => return Ok(answer["mark"].as_u64().unwrap_or(0)),
                other => last = format!("{other:?}"),
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(eyre!("no node took the configuration: {last}"))
    }

    /// Waits until all nodes are ready and each database has a primary and a replica.
    pub async fn ready(&self) -> Result<()> {
        let back = &self.site.back;
        for address in self.flows() {
            until("every node to be ready", READY_LIMIT_MS, || async move {
                back.get(address, "/ready").await.is_some()
            })
            .await?;
        }
        let address = self.flows()[0];
        let what = "every database to have a primary and heirs";
        until(what, PRIMARIES_LIMIT_MS, || async move {
            let verdicts = back.get(address, "/verdicts").await;
            verdicts.is_some_and(|verdicts| has_primaries(&verdicts))
        })
        .await
    }

    /// Learns the region of each node from the fleet itself.
    pub async fn learn_regions(&self) {
        let Some(fleet) = self.site.back.get(self.flows()[0], "/fleet").await else {
            return;
        };
        let mut regions = lock(&self.site.regions);
        for node in fleet["nodes"].as_array().into_iter().flatten() {
            let domain = node["domain"].as_str();
            let region = domain.and_then(|domain| self.cfg.region(domain));
            let id = node["id"].as_str().unwrap_or("");
            regions.insert(id.into(), region.unwrap_or("").into());
        }
    }

    /// Starts callers, spread evenly over databases and nodes.
    pub fn start_callers(&self, sessions: usize) -> Vec<JoinHandle<()>> {
        let databases: Vec<&String> = self.cfg.databases.keys().collect();
        let nodes = self.flows();
        let per_database = (sessions / databases.len()).max(1) as u64;
        let start = |number: usize| {
            let database = databases[number % databases.len()];
            let caller = Caller::new(number as u64, per_database, database, CALLER_SEED);
            let homes = self.cfg.databases[database].homes.clone();
            let node = number / CALLERS_PER_NODE;
            let session = Session::new(self.site.clone(), nodes.clone(), node, caller, homes);
            tokio::spawn(session.run())
        };
        (0..sessions).map(start).collect()
    }
}

fn has_primaries(verdicts: &Value) -> bool {
    verdicts["databases"].as_object().is_some_and(|databases| {
        databases.values().all(|database| {
            let mut servers = database["servers"].as_array().into_iter().flatten();
            database["phase"] == "steady" && servers.any(|server| server["role"] == "heir")
        })
    })
}
