use crate::config::Config;
use crate::labels::{Labels, Selector};
use crate::plant::{planted, Bug};
use crate::state::{Server, State};

pub fn labels_of(c: &Config, s: &Server) -> Labels {
    let mut l = c.domains.get(&s.domain).map(|d| d.labels.clone()).unwrap_or_default();
    l.extend(s.labels.clone());
    l.extend(c.servers.get(&s.name).map(|x| x.labels.clone()).unwrap_or_default());
    l.insert("name".into(), s.name.clone());
    l.insert("domain".into(), s.domain.clone());
    c.region(&s.domain).map(|r| l.insert("region".into(), r.into()));
    l
}

pub fn db_servers<'a>(c: &Config, st: &'a State, db: &str) -> Vec<&'a Server> {
    let d = c.databases.get(db);
    let sel = d.and_then(|d| Selector::parse(&d.servers).ok());
    let homes = d.map(|d| d.homes.clone()).unwrap_or_default();
    let before: Vec<Selector> = c.databases.iter().take_while(|x| x.0.as_str() < db).filter_map(|(_, d)| Selector::parse(&d.servers).ok()).collect();
    let home = |s: &&Server| c.region(&s.domain).is_some_and(|r| homes.iter().any(|h| h == r));
    let mine = |s: &&Server| {
        let l = labels_of(c, s);
        sel.as_ref().is_some_and(|x| x.matches(&l)) && !before.iter().any(|x| x.matches(&l))
    };
    st.servers.values().filter(mine).filter(home).collect()
}

pub fn server_off(st: &State, s: &Server) -> Option<&'static str> {
    let all = [
        (s.leaving && !planted(Bug::LeavingServes), "leaving"),
        (st.drained.contains_key(&s.name), "drained by an operator"),
        (st.evacuated.contains_key(&s.domain) && !planted(Bug::EvacuatedServes), "its domain is evacuated"),
    ];
    all.into_iter().find(|(b, _)| *b).map(|(_, w)| w)
}
