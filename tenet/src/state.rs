//! The replicated control state: configuration, members, servers, databases with their failovers, recent outcomes.
//! It changes only by `apply`, entry by entry in log order, and an id that comes again gets its first outcome.

use crate::amend::fingerprint;
use crate::base::*;
use crate::departed::DepartedServers;
use crate::document::Document;
use crate::kind::{Kind, Reject};
pub use crate::op::Op;
pub use crate::order::*;
pub use crate::server::Server;
use crate::versions::ConfirmedVersions;
use speedy::{Readable, Writable};
use std::collections::BTreeMap;

/// A process that is enrolled in the fleet.
#[derive(Clone, Readable, Writable)]
pub struct Member {
    /// Changes with each start, unless the process has a disk.
    pub id: NodeId,
    /// Where its packets go.
    pub addr: Addr,
    /// Where its HTTP interface is.
    pub http: Addr,
    /// Its zone.
    pub domain: String,
    /// It runs the control plane and takes no traffic.
    pub disk: bool,
    /// State of `charts/member.json`.
    pub phase: String,
    /// Log index at which the phase was reached.
    pub at: Mark,
}

/// A database: its failover, its replicas in sync, and who serves it.
#[derive(Clone, Readable, Writable, Default)]
pub struct Db {
    /// Log index at which the primary last changed. Work of another epoch is rejected.
    pub epoch: Mark,
    /// State of `charts/failover.json`.
    pub phase: String,
    /// The server that takes writes; none during a failover.
    pub primary: Option<String>,
    /// The primary that is being replaced.
    pub old: Option<String>,
    /// The server that is to be promoted.
    pub target: Option<String>,
    /// The process that asks the platform for it; no other one may.
    pub asker: NodeId,
    /// Log index at which the phase, the target or the asker last changed.
    pub since: Mark,
    /// The change was asked for: the target must catch up with the old primary.
    pub planned: bool,
    /// Replicas in sync, with the incarnation that counts: each holds every acknowledged commit.
    pub heirs: BTreeMap<String, u64>,
    /// Replicas that are to become so, with the log index since when.
    pub joining: BTreeMap<String, Mark>,
    /// Former primaries, with the incarnation that may hold what no other one has: they are no targets.
    pub retired: BTreeMap<String, u64>,
    /// The nodes that hold the primary's address.
    pub fencers: Vec<NodeId>,
    /// The nodes that take requests for it from everywhere.
    pub gateways: Vec<NodeId>,
}

/// Orders in force for a domain, and when (agreed clock, ms) one was last given and ended.
#[derive(Clone, Copy, Readable, Writable, Default)]
pub struct Holds {
    /// How many orders are in force; the domain is evacuated while there are any.
    pub n: u32,
    /// When one was last given.
    pub on: Option<u64>,
    /// When one was last ended.
    pub off: Option<u64>,
}

/// The outcome of an order.
#[derive(Clone, Readable, Writable, PartialEq, Debug)]
pub struct Verdict {
    /// Log index at which it stands; 0 when it never entered the log.
    pub mark: Mark,
    /// Why it changed nothing; none when it took effect.
    pub reject: Option<Reject>,
}

/// An audit event.
#[derive(Clone, Readable, Writable)]
pub struct Story {
    /// Log index of the change that made it; 0 for one of this node alone.
    pub mark: Mark,
    /// Time of day (ms) of whoever asked for the change; of this node alone: its local time.
    pub at: u64,
    /// What it is about: a server, database, zone, node, or `configuration`.
    pub topic: String,
    /// One sentence.
    pub text: String,
}

/// The control state, equal on every replica at the same log index.
#[derive(Clone, Readable, Writable, Default)]
pub struct State {
    /// Names the founding of the fleet; state of another one is never mixed in.
    pub cluster: u64,
    /// Wall time (ms) of the first entry: fencing tokens begin there, above those of earlier foundings.
    pub token_origin: u64,
    /// Log index of the newest entry applied.
    pub mark: Mark,
    /// Log index at which the configuration in force was taken; 0: there is none.
    pub cfg_mark: Mark,
    /// Log index that it was put over.
    pub cfg_base: Mark,
    /// Its version, where versions are used.
    pub cfg_version: u64,
    /// Its text (JSON).
    pub cfg: Document,
    /// Which document was confirmed under which version.
    pub versions: ConfirmedVersions,
    /// The newest stamp of the agreed clock, in ms.
    pub clock: u64,
    /// Evacuated zones, with the log index since when.
    pub evacuated: BTreeMap<String, Mark>,
    /// Servers drained by an operator, with the log index since when.
    pub drained: BTreeMap<String, Mark>,
    /// The processes of the fleet.
    pub members: BTreeMap<NodeId, Member>,
    /// Servers as they last announced themselves, by name.
    pub servers: BTreeMap<String, Server>,
    /// Servers that left.
    pub departed: DepartedServers,
    /// Since when (agreed clock, ms) servers have been leaving or drained, and domains evacuated. Kept for
    /// nodes of the version before, which count a leaving server's grace by it; see `leaving`.
    pub servers_off_since: BTreeMap<String, u64>,
    /// The same for evacuated zones.
    pub domains_off_since: BTreeMap<String, u64>,
    /// Counted evacuation orders by zone.
    pub holds: BTreeMap<String, Holds>,
    /// Databases by name.
    pub dbs: BTreeMap<String, Db>,
    /// Outcomes of the newest orders: id, digest of the change, outcome.
    pub recent: Vec<(u64, u64, Verdict)>,
    /// The newest audit events.
    pub stories: Vec<Story>,
}

const RECENT: usize = 2048;

impl State {
    /// Applies the next entry. An order whose id is known has its first outcome again and changes nothing.
    pub fn apply(&mut self, e: &Entry) -> Verdict {
        self.mark = e.mark;
        self.clock = self.clock.max(e.clock);
        if self.token_origin == 0 {
            self.token_origin = e.ask.at;
        }
        if let Some(v) = self.verdict(&e.ask) {
            return v;
        }
        let v = match self.step(&e.ask) {
            Ok(mark) => Verdict { mark, reject: None },
            Err(r) => Verdict {
                mark: self.mark,
                reject: Some(r),
            },
        };
        self.recent
            .push((e.ask.id, fingerprint(&e.ask.op), v.clone()));
        if self.recent.len() > RECENT {
            self.recent.drain(..RECENT / 4);
        }
        v
    }

    /// The outcome that an order with this id had, if it is remembered; `OtherBody` when that was another
    /// change.
    pub fn verdict(&self, a: &Ask) -> Option<Verdict> {
        let (_, p, v) = self.recent.iter().rev().find(|(i, ..)| *i == a.id)?;
        let other = || {
            Reject::new(
                Kind::OtherBody,
                format!("id {} was used for another change", a.id),
            )
        };
        Some(match *p == fingerprint(&a.op) {
            true => v.clone(),
            false => Verdict {
                mark: self.mark,
                reject: Some(other()),
            },
        })
    }

    /// A database by name, to be changed; `UnknownDatabase` when it was never placed.
    pub fn db(&mut self, n: &str) -> Result<&mut Db, Reject> {
        self.dbs
            .get_mut(n)
            .ok_or_else(|| Reject::new(Kind::UnknownDatabase, n))
    }

    /// Rises with each change of a failover or of who runs it, and with each founding of the fleet.
    pub fn fencing_token(&self, db: &Db) -> Mark {
        self.token_origin + db.since
    }

    /// Whether a server may become primary: it is announced, and not a former primary that was not rebuilt
    /// since.
    pub fn eligible(&self, db: &Db, server: &str) -> bool {
        self.servers
            .get(server)
            .is_some_and(|s| db.retired.get(server).is_none_or(|l| *l != s.life))
    }

    /// Whether a server counts as a replica in sync, in the incarnation that it announces now.
    pub fn heir(&self, db: &Db, server: &str) -> bool {
        let life = db.heirs.get(server);
        life.is_some()
            && life == self.servers.get(server).map(|s| &s.life)
            && self.eligible(db, server)
    }
}
