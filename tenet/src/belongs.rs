//! Which database a server belongs to, by labels and selectors, and whether new work is kept from it because
//! it leaves, is drained, or stands in an evacuated zone.

use crate::config::Config;
use crate::labels::Labels;
use crate::plant::{planted, Bug};
use crate::state::{Server, State};
use std::collections::BTreeMap;

/// The labels of a server: its zone's, then its own, then the configuration's, then `name`, `domain` and
/// `region`.
pub fn labels_of(c: &Config, s: &Server) -> Labels {
    let mut l = c
        .domains
        .get(&s.domain)
        .map(|d| d.labels.clone())
        .unwrap_or_default();
    l.extend(s.labels.clone());
    l.extend(
        c.servers
            .get(&s.name)
            .map(|x| x.labels.clone())
            .unwrap_or_default(),
    );
    l.insert("name".into(), s.name.clone());
    l.insert("domain".into(), s.domain.clone());
    c.region(&s.domain)
        .map(|r| l.insert("region".into(), r.into()));
    l
}

/// Why a replica outside the homes of its database gets no work.
const OUTSIDE_HOMES: &str = "outside the homes of its database";

/// The database that a server holds a copy of, wherever it stands: the first by name that selects it.
pub fn database_of<'a>(c: &'a Config, s: &Server) -> Option<&'a str> {
    let labels = labels_of(c, s);
    let selected = c.selectors().iter().find(|x| x.1.matches(&labels));
    selected.map(|(database, _)| database.as_str())
}

fn at_home(c: &Config, db: &str, s: &Server) -> bool {
    let region = c.region(&s.domain);
    let database = c.databases.get(db);
    region
        .zip(database)
        .is_some_and(|(r, d)| d.homes.iter().any(|h| h == r))
}

/// The servers that hold a copy of each database, also outside its homes.
pub fn replicas<'a>(c: &Config, st: &'a State) -> BTreeMap<String, Vec<&'a Server>> {
    let mut m: BTreeMap<String, Vec<&Server>> = BTreeMap::new();
    for s in st.servers.values() {
        if let Some(d) = database_of(c, s) {
            m.entry(d.into()).or_default().push(s);
        }
    }
    m
}

/// Which servers each database has: those that it selects, in a home of it.
pub fn assigned<'a>(c: &Config, st: &'a State) -> BTreeMap<String, Vec<&'a Server>> {
    let mut m = replicas(c, st);
    for (db, servers) in &mut m {
        servers.retain(|s| at_home(c, db, s));
    }
    m
}

/// Why a server that holds a log which counts gets no work from where it stands. Only where commits are
/// acknowledged by a quorum of logs: elsewhere such a server is not looked at.
pub fn away(c: &Config, db: &str, s: &Server) -> Option<&'static str> {
    let counts = c
        .databases
        .get(db)
        .is_some_and(|d| d.can.acknowledges_by_quorum());
    (counts && !at_home(c, db, s)).then_some(OUTSIDE_HOMES)
}

/// The servers of one database.
pub fn db_servers<'a>(c: &Config, st: &'a State, db: &str) -> Vec<&'a Server> {
    assigned(c, st).remove(db).unwrap_or_default()
}

/// Why new work is kept from a server; none if it is not.
pub fn server_off(st: &State, s: &Server) -> Option<&'static str> {
    let all = [
        (s.leaving && !planted(Bug::LeavingServes), "leaving"),
        (st.drained.contains_key(&s.name), "drained by an operator"),
        (
            st.evacuated.contains_key(&s.domain) && !planted(Bug::EvacuatedServes),
            "its domain is evacuated",
        ),
    ];
    all.into_iter().find(|(b, _)| *b).map(|(_, w)| w)
}
