use crate::base::*;
use crate::kind::{Kind, Reject};
use crate::labels::Labels;
pub use crate::order::*;
use speedy::{Readable, Writable};
use std::collections::BTreeMap;

#[derive(Clone, Readable, Writable)]
pub struct Member {
    pub id: NodeId,
    pub addr: Addr,
    pub http: Addr,
    pub domain: String,
    pub disk: bool,
    pub phase: String,
    pub at: Mark,
}

#[derive(Clone, PartialEq, Readable, Writable)]
pub struct Server {
    pub name: String,
    pub addr: Addr,
    pub domain: String,
    pub labels: Labels,
    pub life: u64,
    pub leads: bool,
    pub leaving: bool,
    /// It numbers its leads, cuts its own log back to the leader's, and is told apart at connect.
    pub terms: bool,
    /// Rises with each announcement of one life; 0 when not told.
    pub seq: u64,
}

impl Server {
    pub fn says(&self, o: &Server) -> bool {
        Server {
            seq: o.seq,
            ..self.clone()
        } == *o
    }

    pub fn told(op: &Op) -> Option<Server> {
        let Op::Announce {
            server,
            addr,
            domain,
            labels,
            life,
            leads,
            leaving,
            terms,
            seq,
        } = op
        else {
            return None;
        };
        Some(Server {
            name: server.clone(),
            addr: *addr,
            domain: domain.clone(),
            labels: labels.clone(),
            life: *life,
            leads: *leads,
            leaving: *leaving,
            terms: *terms,
            seq: *seq,
        })
    }
}

#[derive(Clone, Readable, Writable, Default)]
pub struct Db {
    pub epoch: Mark,
    pub phase: String,
    pub primary: Option<String>,
    pub old: Option<String>,
    pub target: Option<String>,
    pub asker: NodeId,
    pub since: Mark,
    pub planned: bool,
    pub heirs: BTreeMap<String, u64>,
    pub joining: BTreeMap<String, Mark>,
    pub retired: BTreeMap<String, u64>,
    pub fencers: Vec<NodeId>,
    pub gateways: Vec<NodeId>,
}

/// Orders in force for a domain, and when (wall, ms) one was last given and ended.
#[derive(Clone, Copy, Readable, Writable, Default)]
pub struct Holds {
    pub n: u32,
    pub on: u64,
    pub off: u64,
}

#[derive(Clone, Readable, Writable, PartialEq, Debug)]
pub struct Verdict {
    pub mark: Mark,
    pub reject: Option<Reject>,
}

#[derive(Clone, Readable, Writable)]
pub struct Story {
    pub mark: Mark,
    pub at: u64,
    pub topic: String,
    pub text: String,
}

#[derive(Clone, Readable, Writable, PartialEq, Debug)]
pub enum Op {
    Config {
        base: Mark,
        text: String,
    },
    /// Holds when its version is above the one held; else it changes nothing.
    Publish {
        version: u64,
        text: String,
    },
    Evacuate {
        domain: String,
        on: bool,
    },
    Drain {
        server: String,
        on: bool,
    },
    Enrol {
        id: NodeId,
        addr: Addr,
        http: Addr,
        domain: String,
        disk: bool,
    },
    Phase {
        id: NodeId,
        event: String,
    },
    Announce {
        server: String,
        addr: Addr,
        domain: String,
        labels: Labels,
        life: u64,
        leads: bool,
        leaving: bool,
        terms: bool,
        seq: u64,
    },
    Depart {
        server: String,
        seq: u64,
    },
    Place {
        db: String,
        fencers: Vec<NodeId>,
        gateways: Vec<NodeId>,
    },
    Adopt {
        db: String,
        server: String,
    },
    Close {
        db: String,
        epoch: Mark,
        why: String,
    },
    Reopen {
        db: String,
        epoch: Mark,
        why: String,
    },
    Offline {
        db: String,
        epoch: Mark,
        why: String,
    },
    Target {
        db: String,
        epoch: Mark,
        server: String,
        asker: NodeId,
        any: bool,
    },
    Asker {
        db: String,
        epoch: Mark,
        asker: NodeId,
    },
    Promoted {
        db: String,
        epoch: Mark,
        server: String,
    },
    HeirJoin {
        db: String,
        epoch: Mark,
        server: String,
    },
    HeirFull {
        db: String,
        epoch: Mark,
        server: String,
    },
    HeirLeave {
        db: String,
        epoch: Mark,
        server: String,
        why: String,
    },
    Rejected {
        db: String,
        epoch: Mark,
        server: String,
    },
    /// Evacuations that may overlap: each order is ended by one of its own. Orders without an id that
    /// come again within `REPEATS` ms are taken as the same one.
    Hold {
        domain: String,
        on: bool,
    },
}

#[derive(Clone, Readable, Writable, Default)]
pub struct State {
    pub cluster: u64,
    pub mark: Mark,
    pub cfg_mark: Mark,
    pub cfg_base: Mark,
    pub cfg_version: u64,
    pub cfg: String,
    pub evacuated: BTreeMap<String, Mark>,
    pub drained: BTreeMap<String, Mark>,
    pub members: BTreeMap<NodeId, Member>,
    pub servers: BTreeMap<String, Server>,
    pub departed: BTreeMap<String, u64>,
    pub holds: BTreeMap<String, Holds>,
    pub dbs: BTreeMap<String, Db>,
    pub recent: Vec<(u64, u64, Verdict)>,
    pub stories: Vec<Story>,
}

fn print(op: &Op) -> u64 {
    digest(&op.write_to_vec().unwrap_or_default())
}

const RECENT: usize = 2048;
const STORIES: usize = 600;

impl State {
    pub fn apply(&mut self, e: &Entry) -> Verdict {
        self.mark = e.mark;
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
        self.recent.push((e.ask.id, print(&e.ask.op), v.clone()));
        if self.recent.len() > RECENT {
            self.recent.drain(..RECENT / 4);
        }
        v
    }

    pub fn verdict(&self, a: &Ask) -> Option<Verdict> {
        let (_, p, v) = self.recent.iter().rev().find(|(i, ..)| *i == a.id)?;
        let other = || {
            Reject::new(
                Kind::OtherBody,
                format!("id {} was used for another change", a.id),
            )
        };
        Some(match *p == print(&a.op) {
            true => v.clone(),
            false => Verdict {
                mark: self.mark,
                reject: Some(other()),
            },
        })
    }

    pub fn tell(&mut self, at: u64, topic: &str, text: String) {
        self.stories.push(Story {
            mark: self.mark,
            at,
            topic: topic.into(),
            text,
        });
        if self.stories.len() > STORIES {
            self.stories.drain(..STORIES / 4);
        }
    }

    pub fn db(&mut self, n: &str) -> Result<&mut Db, Reject> {
        self.dbs
            .get_mut(n)
            .ok_or_else(|| Reject::new(Kind::UnknownDatabase, n))
    }

    pub fn eligible(&self, db: &Db, server: &str) -> bool {
        self.servers
            .get(server)
            .is_some_and(|s| db.retired.get(server).is_none_or(|l| *l != s.life))
    }

    pub fn heir(&self, db: &Db, server: &str) -> bool {
        let life = db.heirs.get(server);
        life.is_some()
            && life == self.servers.get(server).map(|s| &s.life)
            && self.eligible(db, server)
    }
}
