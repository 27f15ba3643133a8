//! The table that the data plane works from, made from control state, configuration and gossip: servers, databases,
//! request kinds and nodes. Rows keep their index from table to table. The address of a primary is left out on
//! nodes that do not fence its database.

use crate::base::*;
use crate::config::{Config, Database, RequestKind};
use crate::entry::{Abilities, Entry, EntryRow};
use crate::labels::{Labels, Selector};
use crate::plant::{planted, Bug};
use crate::state::*;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

pub use crate::belongs::*;

pub struct ServerRow {
    pub name: String,
    pub addr: Addr,
    pub life: u64,
    pub domain: String,
    pub region: String,
    pub labels: Labels,
    pub off: Option<&'static str>,
    pub read_share: u32,
    pub warm: u32,
}

pub struct DbRow {
    pub name: String,
    pub epoch: Mark,
    pub phase: String,
    pub since: Mark,
    pub planned: bool,
    pub primary: Option<usize>,
    pub heirs: Vec<usize>,
    pub joining: Vec<usize>,
    pub servers: Vec<usize>,
    /// Replicas outside the homes whose logs count; they are polled and get no work.
    pub away: Vec<usize>,
    pub fencers: Vec<NodeId>,
    pub gateways: Vec<NodeId>,
    pub fence_region: String,
    pub merged: bool,
    pub homes: Vec<String>,
    pub tenants: BTreeMap<String, Vec<String>>,
    pub fences: bool,
    pub fence_share: u32,
    /// Connections that a new fencing node may use before the former ones must have closed theirs.
    pub fence_early: u32,
    pub fence_from: Time,
    /// It is a gateway of the database, or was one a moment ago: others may not know of the new ones yet.
    pub gates: bool,
    pub(crate) gates_until: Time,
    pub can: Abilities,
    pub detour: bool,
}

pub struct KindRow {
    pub name: String,
    pub cfg: RequestKind,
    pub sel: Selector,
}

pub struct NodeRow {
    pub addr: Addr,
    pub region: String,
    pub alive: bool,
}

pub struct Table {
    pub mark: Mark,
    pub me: NodeId,
    pub domain: String,
    pub region: String,
    pub closed: Option<&'static str>,
    pub cfg: Arc<Config>,
    pub dbs: Vec<DbRow>,
    pub servers: Vec<ServerRow>,
    pub kinds: Vec<KindRow>,
    pub nodes: BTreeMap<NodeId, NodeRow>,
    pub db_ix: HashMap<String, usize>,
    pub entries: HashMap<String, EntryRow>,
    pub kind_ix: HashMap<String, usize>,
}

fn extend<'a>(v: &mut Vec<String>, from: impl Iterator<Item = &'a String>) {
    for n in from {
        if !v.contains(n) {
            v.push(n.clone());
        }
    }
}

pub struct Maker<'a> {
    pub me: NodeId,
    pub domain: &'a str,
    pub now: Time,
    pub cfg: &'a Arc<Config>,
    pub st: &'a State,
    pub alive: &'a dyn Fn(NodeId) -> bool,
    pub old: Option<&'a Table>,
}

impl Maker<'_> {
    pub fn make(&self) -> Table {
        let (c, st) = (self.cfg, self.st);
        let region = c.region(self.domain).unwrap_or("").to_string();
        let full = |n: &NodeId| st.members.get(n).is_some_and(|m| m.phase == "full");
        let count = st.members.values().filter(|m| !m.disk).count().max(1) as u32;
        let mut names: Vec<String> = self.old.map_or(Vec::new(), |t| {
            t.servers.iter().map(|s| s.name.clone()).collect()
        });
        extend(&mut names, st.servers.keys());
        let at: HashMap<&str, usize> = names
            .iter()
            .enumerate()
            .map(|(i, n)| (n.as_str(), i))
            .collect();
        let ix = |n: &str| at.get(n).copied();
        let mut servers: Vec<ServerRow> = names
            .iter()
            .enumerate()
            .map(|(i, n)| {
                st.servers
                    .get(n)
                    .map_or_else(|| self.left(i, n), |s| self.server(s))
            })
            .collect();
        let mut order: Vec<String> = self.old.map_or(Vec::new(), |t| {
            t.dbs.iter().map(|d| d.name.clone()).collect()
        });
        extend(&mut order, c.databases.keys());
        let of = assigned(c, st);
        let mut away_of = self.away(&ix);
        let mut dbs = Vec::new();
        for n in &order {
            let mine = of.get(n).map_or(Vec::new(), |v| {
                v.iter().filter_map(|s| ix(&s.name)).collect()
            });
            let mut row = self.db(n, mine, &ix, &mut servers, count, full(&self.me));
            row.away = away_of.remove(n).unwrap_or_default();
            for i in &row.away {
                self.cover(n, *i, &row, &mut servers);
            }
            dbs.push(row);
        }
        let kinds: Vec<KindRow> = c
            .kinds
            .keys()
            .map(|n| (n, c.effective(n)))
            .map(|(n, k)| KindRow {
                name: n.clone(),
                sel: Selector::parse(&k.servers).unwrap_or_default(),
                cfg: k,
            })
            .collect();
        let at_db: HashMap<&str, usize> = dbs
            .iter()
            .enumerate()
            .map(|(i, d): (usize, &DbRow)| (d.name.as_str(), i))
            .collect();
        let at_kind: HashMap<&str, usize> = kinds
            .iter()
            .enumerate()
            .map(|(i, k)| (k.name.as_str(), i))
            .collect();
        let db_at = |n: &String| at_db.get(n.as_str()).copied();
        let kind_at = |n: &String| at_kind.get(n.as_str()).copied();
        let entry = |e: &Entry| {
            Some(EntryRow {
                db: db_at(&e.database)?,
                reads: kind_at(&e.reads)?,
                writes: kind_at(&e.writes)?,
                cfg: e.clone(),
            })
        };
        let node = |m: &Member| NodeRow {
            addr: m.addr,
            region: c.region(&m.domain).unwrap_or("").into(),
            alive: (self.alive)(m.id),
        };
        let closed = [
            (
                c.region(self.domain).is_none(),
                "its domain is not in the configuration",
            ),
            (
                c.evacuates_nodes
                    && st.evacuated.contains_key(self.domain)
                    && !planted(Bug::EvacuatedServes),
                "its domain is evacuated",
            ),
        ];
        Table {
            mark: st.mark,
            me: self.me,
            domain: self.domain.into(),
            region,
            closed: closed.into_iter().find(|(b, _)| *b).map(|(_, w)| w),
            cfg: c.clone(),
            db_ix: dbs
                .iter()
                .enumerate()
                .filter(|(_, d)| c.databases.contains_key(&d.name))
                .map(|(i, d)| (d.name.clone(), i))
                .collect(),
            entries: c
                .entries
                .iter()
                .filter_map(|(n, e)| Some((n.clone(), entry(e)?)))
                .collect(),
            kind_ix: kinds
                .iter()
                .enumerate()
                .map(|(i, k)| (k.name.clone(), i))
                .collect(),
            dbs,
            servers,
            kinds,
            nodes: st.members.values().map(|m| (m.id, node(m))).collect(),
        }
    }

    /// Rows of the replicas outside the homes of their database, where their logs count.
    fn away(&self, ix: &dyn Fn(&str) -> Option<usize>) -> HashMap<String, Vec<usize>> {
        let counts = |d: &Database| d.can.acknowledges_by_quorum();
        if !self.cfg.databases.values().any(counts) {
            return HashMap::new();
        }
        let mut rows: HashMap<String, Vec<usize>> = HashMap::new();
        for (db, servers) in replicas(self.cfg, self.st) {
            let outside = servers
                .iter()
                .filter(|s| away(self.cfg, &db, s).is_some())
                .filter_map(|s| ix(&s.name))
                .collect();
            rows.insert(db, outside);
        }
        rows
    }

    /// Keeps work from a replica outside the homes, and its address from nodes that do not fence its database
    /// while it leads.
    fn cover(&self, db: &str, i: usize, row: &DbRow, servers: &mut [ServerRow]) {
        if let Some(s) = self.st.servers.get(&servers[i].name) {
            servers[i].off = servers[i].off.or(away(self.cfg, db, s));
        }
        if !row.fences && row.primary == Some(i) {
            servers[i].addr = Addr::NONE;
        }
    }

    fn left(&self, i: usize, n: &str) -> ServerRow {
        let life = self
            .old
            .and_then(|t| t.servers.get(i))
            .map_or(0, |s| s.life);
        let none = Server {
            name: n.into(),
            addr: Addr::NONE,
            domain: String::new(),
            labels: Labels::new(),
            life,
            leads: false,
            leaving: true,
            terms: true,
            seq: 0,
        };
        self.server(&none)
    }

    fn server(&self, s: &Server) -> ServerRow {
        ServerRow {
            name: s.name.clone(),
            addr: s.addr,
            life: s.life,
            domain: s.domain.clone(),
            region: self.cfg.region(&s.domain).unwrap_or("").into(),
            labels: labels_of(self.cfg, s),
            off: server_off(self.st, s),
            read_share: 0,
            warm: 1,
        }
    }
}
