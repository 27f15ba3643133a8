//! Stand-in servers that replicate asynchronously and keep the outcome of each request by its id.

mod recovery;

use crate::statements::Conn;
use crate::store::Store;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use tenet::config::{Config, Database};

/// Servers of each database.
const SERVERS_PER_DATABASE: usize = 3;
/// Span after its start in which a server counts as cold, ms.
const COLD_MS: u64 = 500;
/// Ids below this one are never given out.
const FIRST_ID: u64 = 100;

/// A body, or an HTTP status with a reason.
pub type Reply = Result<Value, (u16, String)>;

/// One stand-in server.
pub struct Srv {
    /// Its name.
    pub name: String,
    /// Name of its database.
    pub db: String,
    /// Its zone.
    pub domain: String,
    /// Whether it runs.
    pub up: bool,
    /// Whether it receives nothing from its primary.
    pub stalled: bool,
    /// Whether it is the primary.
    pub leads: bool,
    /// Whether it is about to be taken out of service.
    pub leaving: bool,
    /// Whether it refuses writes.
    pub read_only: bool,
    /// The server that it replicates from.
    pub follows: Option<usize>,
    /// Incarnation of its data.
    pub life: u64,
    /// Its data.
    pub data: Store,
    /// Its open connections.
    pub conns: BTreeMap<u64, Conn>,
    /// Most connections that it accepts.
    pub cap: usize,
    /// How late it applies a commit, ms.
    pub lag: u64,
    /// When it started with empty caches, ms; 0 for the first start.
    pub born: u64,
}

/// A write that took effect.
#[derive(Clone, Debug)]
pub struct Wrote {
    /// When, ms.
    pub at: u64,
    /// Database.
    pub db: String,
    /// Server that took it.
    pub server: usize,
    /// Id of the request.
    pub id: String,
}

/// All stand-in servers, and what the checker needs to know of them.
#[derive(Default)]
pub struct World {
    /// The servers, those of one database next to each other.
    pub servers: Vec<Srv>,
    /// All writes that took effect, oldest first.
    pub wrote: Vec<Wrote>,
    /// Time and server of each statement.
    pub worked: Vec<(u64, usize)>,
    /// Rules that the servers saw broken.
    pub faults: Vec<String>,
    /// By database, the server that was promoted last.
    pub last_leader: BTreeMap<String, usize>,
    /// Connections opened so far.
    pub opened: u64,
    /// Connections refused because a server had too many.
    pub over_cap: u64,
    /// Most connections at a time, by server.
    pub most: BTreeMap<String, usize>,
    /// Most connections while cold, by server and start.
    pub cold: BTreeMap<String, usize>,
    /// Most connections that a cold server may get; 0 for no limit.
    pub cold_limit: usize,
    /// Pairs of servers of which the first cannot reach the second.
    pub apart: Vec<(usize, usize)>,
    pub(crate) next: u64,
}

/// Which servers to make.
pub struct Shape {
    /// Name of each database, the zones for its servers, and their connection limit.
    pub dbs: Vec<(String, Vec<String>, usize)>,
    /// How late replicas apply a commit, ms.
    pub lag: u64,
}

impl Shape {
    /// Servers for each database of a configuration, in the zones of its home regions.
    pub fn of(config: &Config, lag: u64) -> Shape {
        let zones = |database: &Database| -> Vec<String> {
            config
                .domains
                .iter()
                .filter(|(_, domain)| database.homes.contains(&domain.region))
                .map(|(name, _)| name.clone())
                .collect()
        };
        let databases = config.databases.iter();
        Shape {
            dbs: databases
                .map(|(name, database)| (name.clone(), zones(database), database.cap as usize))
                .collect(),
            lag,
        }
    }
}

impl World {
    /// Three servers for each database; the first of them is the primary.
    pub fn new(shape: &Shape) -> World {
        let mut world = World {
            next: FIRST_ID,
            ..World::default()
        };
        for (number, (database, zones, cap)) in shape.dbs.iter().enumerate() {
            let primary = world.servers.len();
            world.last_leader.insert(database.clone(), primary);
            for replica in 0..SERVERS_PER_DATABASE {
                let life = world.fresh();
                world.servers.push(Srv {
                    name: format!("{database}-{replica}"),
                    db: database.clone(),
                    domain: zones[(number + replica) % zones.len()].clone(),
                    up: true,
                    stalled: false,
                    leads: replica == 0,
                    leaving: false,
                    read_only: false,
                    follows: (replica != 0).then_some(primary),
                    life,
                    data: Store::default(),
                    conns: BTreeMap::new(),
                    cap: *cap,
                    lag: shape.lag,
                    born: 0,
                });
            }
        }
        world
    }

    pub(crate) fn fresh(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Number of the server with this name.
    pub fn ix(&self, name: &str) -> Option<usize> {
        self.servers.iter().position(|server| server.name == name)
    }

    /// The server of this database that was promoted last.
    pub fn leader(&self, db: &str) -> Option<usize> {
        self.last_leader.get(db).copied()
    }

    /// Whether server `from` can reach server `to`.
    pub fn reach(&self, from: usize, to: usize) -> bool {
        !self.apart.contains(&(from, to))
    }

    /// What a server announces of itself.
    pub fn announcement(&self, index: usize, addr: &str) -> Value {
        let server = &self.servers[index];
        json!({
            "server": server.name,
            "addr": addr,
            "domain": server.domain,
            "labels": {"db": server.db},
            "life": server.life,
            "leads": server.leads,
            "leaving": server.leaving,
        })
    }

    /// Replicas follow the present primary and copy what is old enough.
    pub fn tick(&mut self, now: u64) {
        for index in 0..self.servers.len() {
            self.regroup(now, index);
            let server = &self.servers[index];
            let source = server.follows.filter(|source| {
                server.up
                    && !server.stalled
                    && self.servers[*source].up
                    && self.reach(index, *source)
            });
            if let Some(source) = source {
                self.copy(now, index, source);
            }
        }
    }

    fn copy(&mut self, now: u64, index: usize, source: usize) {
        let from = self.servers[index].data.log.len();
        let lines = self.servers[source].data.clone_tail(from);
        let server = &mut self.servers[index];
        let lag = server.lag;
        server.data.take(lines, |line| line.at + lag <= now);
    }

    /// Notes how many connections a server has.
    pub fn note_conns(&mut self, now: u64, index: usize) {
        let server = &self.servers[index];
        let count = server.conns.len();
        let most = self.most.entry(server.name.clone()).or_default();
        *most = count.max(*most);
        if server.born > 0 && now < server.born + COLD_MS {
            let start = format!("{}@{}", server.name, server.born);
            let most = self.cold.entry(start).or_default();
            *most = count.max(*most);
        }
    }
}
