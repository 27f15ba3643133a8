//! The simulation: virtual time, a queue of events, seeded randomness, nodes, servers and links. The same script
//! and seed give the same run.

use crate::client::Client;
use crate::fault::*;
use crate::node::Node;
use crate::watch::Watcher;
use crate::wires::{End, Held, Wire};
use guise::check::History;
use guise::mix::Kinds;
use guise::world::{Shape, World};
use medium::back::HttpRes;
use serde_json::Value;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use tenet::base::*;
use tenet::config::Config;
use tenet::effect::In;
use tenet::front::FrontIn;

pub enum Ev {
    Control(usize, u32, In),
    Front(usize, u32, FrontIn),
    WakeC(usize, u32, Time),
    WakeF(usize, u32, Time),
    Back {
        node: usize,
        life: u32,
        token: u64,
        server: usize,
        path: &'static str,
        body: Value,
    },
    Lost(usize, u32, u64),
    Drain(usize, u32),
    Client(usize, u64),
    Reply {
        call: u64,
        res: HttpRes,
    },
    Synced(usize, u32, u64),
    Promote {
        node: usize,
        life: u32,
        db: String,
        server: String,
        epoch: Mark,
        token: Mark,
        until: Time,
        /// Whether who asked still waits for the answer.
        heard: bool,
    },
    Ask {
        node: usize,
        life: u32,
        token: u64,
        server: usize,
        query: tenet::query::Query,
    },
    Said {
        call: u64,
        r: crate::terms::Said,
    },
    World,
    Announce,
    Fault(Fault),
}

pub struct Sim {
    pub now: Time,
    pub seed: u64,
    pub rolls: u64,
    pub cfg: Config,
    pub text: String,
    pub nodes: Vec<Node>,
    pub world: World,
    pub clients: Vec<Client>,
    pub calls: BTreeMap<u64, (usize, usize, u32)>,
    pub next_call: u64,
    pub history: History,
    pub kinds: Kinds,
    pub cuts: Vec<(String, String)>,
    pub lost_node: Option<usize>,
    pub lost_links: Vec<(usize, usize)>,
    pub lost_servers: Vec<(usize, u8)>,
    pub kernel: Vec<Held>,
    pub wires: BTreeMap<(usize, usize), Wire>,
    pub lose: u64,
    pub mood: Mood,
    pub plant: Plant,
    pub watch: Watcher,
    pub messages: BTreeMap<&'static str, (u64, u64)>,
    pub region_ms: u64,
    pub stop_clients: bool,
    pub held: Vec<Ev>,
    pub termed: Option<Box<crate::terms::Termed>>,
    heap: BinaryHeap<Reverse<(Time, u64)>>,
    evs: BTreeMap<(Time, u64), Ev>,
    seq: u64,
}

pub struct Setup {
    pub text: String,
    pub nodes: usize,
    pub sessions: usize,
    pub seed: u64,
    pub pause: u64,
    pub sync_ms: u64,
    pub region_ms: u64,
}

pub fn node_addr(i: usize) -> Addr {
    let mut ip = [0; 16];
    ip[14] = 1;
    ip[15] = i as u8;
    Addr { ip, port: 1 }
}

pub fn server_addr(i: usize) -> Addr {
    let mut ip = [0; 16];
    ip[14] = 2;
    ip[15] = i as u8;
    Addr { ip, port: 2 }
}

pub const DRIFT: i64 = 47;

fn drift(seed: u64, i: u64) -> i64 {
    let r = mix(seed ^ mix(i));
    match seed % 3 {
        0 => {
            if r.is_multiple_of(2) {
                DRIFT
            } else {
                -DRIFT
            }
        }
        _ => (r % (2 * DRIFT as u64 + 1)) as i64 - DRIFT,
    }
}

impl Sim {
    pub fn new(s: &Setup) -> Sim {
        let cfg = Config::parse(&s.text).unwrap_or_else(|e| panic!("{}", e.join("; ")));
        let domains: Vec<&String> = cfg.domains.keys().collect();
        let node = |i: usize| {
            let domain = domains[i % domains.len()].clone();
            let drift = drift(s.seed, i as u64);
            Node {
                drift,
                ..Node::new(i, node_addr(i), domain, i < 3, s.sync_ms)
            }
        };
        let nodes: Vec<Node> = (0..s.nodes).map(node).collect();
        let mut world = World::new(&Shape::of(&cfg, 60));
        world.cold_limit = 2 * s.nodes + cfg.pool.warm_start as usize;
        let clients = Client::crowd(&cfg, s);
        let mut sim = Sim {
            now: 0,
            seed: s.seed,
            rolls: 0,
            kinds: Kinds::of(&cfg),
            text: s.text.clone(),
            cfg,
            nodes,
            world,
            clients,
            calls: BTreeMap::new(),
            next_call: 0,
            history: History::default(),
            cuts: Vec::new(),
            lost_node: None,
            lost_links: Vec::new(),
            lost_servers: Vec::new(),
            kernel: Vec::new(),
            wires: BTreeMap::new(),
            lose: 0,
            mood: Mood::Good,
            plant: Plant::None,
            watch: Watcher::default(),
            messages: BTreeMap::new(),
            region_ms: s.region_ms,
            stop_clients: false,
            held: Vec::new(),
            termed: None,
            heap: BinaryHeap::new(),
            evs: BTreeMap::new(),
            seq: 0,
        };
        for i in 0..sim.nodes.len() {
            let at = 1 + sim.roll(300);
            sim.at(at, Ev::Fault(Fault::Start(i)));
        }
        sim.at(5, Ev::World);
        sim.at(200, Ev::Announce);
        sim.at(2500, Ev::Fault(Fault::Configure));
        for c in 0..sim.clients.len() {
            let at = 7000 + sim.roll(1000);
            sim.at(at, Ev::Client(c, 0));
        }
        sim
    }

    pub fn roll(&mut self, m: u64) -> u64 {
        self.rolls += 1;
        mix(self.seed ^ mix(self.rolls)) % m.max(1)
    }

    pub fn at(&mut self, t: Time, e: Ev) {
        self.seq += 1;
        let k = (t.max(self.now), self.seq);
        self.heap.push(Reverse(k));
        self.evs.insert(k, e);
    }

    pub fn run(&mut self, until: Time) {
        while let Some(Reverse(k)) = self.heap.peek().copied() {
            if k.0 > until {
                break;
            }
            self.heap.pop();
            self.now = k.0;
            if let Some(e) = self.evs.remove(&k) {
                self.step(e);
            }
        }
        self.now = until;
    }

    pub fn script(&mut self, v: &[(Time, Fault)]) {
        for (t, f) in v {
            self.at(*t, Ev::Fault(f.clone()));
        }
    }

    pub fn hold_sends(&mut self, i: usize) {
        let mine = |e: &Ev| match e {
            Ev::Back {
                node, path, body, ..
            } => {
                *node == i
                    && *path == "/statement"
                    && body["write"] == true
                    && body["id"].is_string()
            }
            _ => false,
        };
        let keys: Vec<(Time, u64)> = self
            .evs
            .iter()
            .filter(|(_, e)| mine(e))
            .map(|(k, _)| *k)
            .collect();
        for k in keys {
            self.held.extend(self.evs.remove(&k));
        }
    }

    pub fn cut(&self, a: &str, b: &str) -> bool {
        self.cuts.iter().any(|(x, y)| x == a && y == b)
    }

    pub fn servers_apart(&self) -> Vec<(usize, usize)> {
        if self.cuts.is_empty() && self.lost_servers.is_empty() {
            return Vec::new();
        }
        let n = self.world.servers.len();
        let far = |i: usize, j: usize| {
            let (a, b) = (End::Server(i), End::Server(j));
            i != j && (self.apart(a, b) || self.apart(b, a))
        };
        (0..n)
            .flat_map(|i| (0..n).map(move |j| (i, j)))
            .filter(|(i, j)| far(*i, *j))
            .collect()
    }
}
