//! A configured fleet without its control side: the tables that its nodes work from.
use std::sync::Arc;
use tenet::base::*;
use tenet::config::Config;
use tenet::place::{place, Roles};
use tenet::state::*;
use tenet::table::{Maker, Table};

const ALUMNI: &str = include_str!("../../../examples/alumni.json");
pub const DATABASE: &str = "members";
/// The first leads; all belong to `DATABASE`.
pub const SERVERS: [&str; 3] = ["a", "b", "c"];
const DOMAINS: [&str; 3] = ["geneva-1", "zurich-1", "lugano-1"];
pub const SLOTS: usize = 6;

/// The fleet's state, and which process lives at each address now.
pub struct Fleet {
    config: Arc<Config>,
    state: State,
    /// The agreed clock, with which further changes are stamped.
    pub clock: u64,
    pub living: Vec<NodeId>,
}

pub fn address(slot: usize) -> Addr {
    Addr {
        ip: [2; 16],
        port: 100 + slot as u16,
    }
}

pub fn server_address(server: usize, life: u64) -> Addr {
    Addr {
        ip: [1; 16],
        port: (server as u64 * 1000 + life) as u16,
    }
}

pub fn domain(slot: usize) -> &'static str {
    DOMAINS[slot % 3]
}

/// Databases whose servers look nothing up, so that a write whose answer vanished stays unknown.
fn configuration() -> String {
    let mut text: serde_json::Value = serde_json::from_str(ALUMNI).unwrap();
    let abilities = serde_json::json!({"outcomes": false, "confirms": false});
    text["databases"][DATABASE]["can"] = abilities;
    text.to_string()
}

impl Fleet {
    pub fn new() -> Fleet {
        Fleet::configured(configuration())
    }

    /// A fleet with this configuration.
    pub fn configured(text: String) -> Fleet {
        let config = Config::parse(&text).unwrap_or_else(|e| panic!("{e:?}"));
        let mut fleet = Fleet {
            config: Arc::new(config),
            state: State::default(),
            clock: 0,
            living: Vec::new(),
        };
        fleet.put(Op::Config { base: 0, text });
        for slot in 0..SLOTS {
            fleet.living.push(0);
            fleet.enrol(slot, 1 + slot as u64);
        }
        for server in 0..SERVERS.len() {
            fleet.announce(server, 1);
        }
        let nobody = Op::Place {
            db: DATABASE.into(),
            fencers: vec![],
            gateways: vec![],
        };
        fleet.put(nobody);
        let adopt = Op::Adopt {
            db: DATABASE.into(),
            server: SERVERS[0].into(),
        };
        fleet.put(adopt);
        fleet.seat();
        fleet
    }

    /// Puts another configuration in force.
    pub fn configure(&mut self, text: String) {
        let config = Config::parse(&text).unwrap_or_else(|e| panic!("{e:?}"));
        self.config = Arc::new(config);
        let base = self.state.cfg_mark;
        self.put(Op::Config { base, text });
    }

    fn put(&mut self, op: Op) {
        let mark = self.state.mark + 1;
        let ask = Ask {
            question: 0,
            id: mark * 31,
            from: Addr::NONE,
            at: 0,
            op,
        };
        let clock = self.clock;
        let verdict = self.state.apply(&Entry { mark, clock, ask });
        assert_eq!(verdict.reject, None);
    }

    fn enrol(&mut self, slot: usize, id: NodeId) {
        self.living[slot] = id;
        self.put(Op::Enrol {
            id,
            addr: address(slot),
            http: address(slot),
            domain: domain(slot).into(),
            disk: false,
        });
        self.put(Op::Phase {
            id,
            event: "settle".into(),
        });
    }

    pub fn announce(&mut self, server: usize, life: u64) {
        self.tell_of(server, life, false);
    }

    /// A server says that it is leaving.
    pub fn leaves(&mut self, server: usize) {
        self.tell_of(server, 1, true);
    }

    /// An operator has a domain evacuated.
    pub fn evacuate(&mut self, domain: &str) {
        self.put(Op::Hold {
            domain: domain.into(),
            on: true,
            repeat_window: 1000,
        });
    }

    /// The domain of a server.
    pub fn domain_of(&self, server: usize) -> &'static str {
        DOMAINS[server % 2]
    }

    fn tell_of(&mut self, server: usize, life: u64, leaving: bool) {
        self.put(Op::Announce {
            server: SERVERS[server].into(),
            addr: server_address(server, life),
            domain: DOMAINS[server % 2].into(),
            labels: [("db".to_string(), DATABASE.to_string())].into(),
            life,
            leads: false,
            leaving,
            terms: false,
            seq: 0,
        });
    }

    fn seat(&mut self) {
        let living = self.living.clone();
        let fit = |m: &Member| living.contains(&m.id);
        let roles = Roles {
            take_over: &fit,
            keep_fencing: &fit,
            keep_gateway: &fit,
            stopping: &|_| false,
        };
        let seats = place(&self.config, &self.state, DATABASE, &roles);
        let seats = seats.expect("a placement");
        self.put(Op::Place {
            db: DATABASE.into(),
            fencers: seats.fencers,
            gateways: seats.gateways,
        });
    }

    /// Another process lives at the address of `slot` from now on.
    pub fn replace(&mut self, slot: usize, id: NodeId) {
        self.enrol(slot, id);
        self.seat();
    }

    pub fn table(&self, slot: usize, now: Time, old: Option<&Table>) -> Arc<Table> {
        let alive = |n: NodeId| self.living.contains(&n);
        let maker = Maker {
            me: self.living[slot],
            domain: domain(slot),
            now,
            cfg: &self.config,
            st: &self.state,
            alive: &alive,
            old,
        };
        Arc::new(maker.make())
    }
}
