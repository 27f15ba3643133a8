//! Rules that give request kinds their servers and freshness, and the checks of a configuration across its
//! fields: errors refuse it, warnings don't.

use crate::config::{Config, Freshness, RequestKind};
use crate::labels::{Labels, Selector};
use crate::plant::{planted, Bug};
use crate::state::{Server, State};
use crate::table::labels_of;
use garde::Validate;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Labelled {
    pub labels: Labels,
}

#[derive(Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    #[garde(length(min = 1, max = 64))]
    pub name: String,
    #[garde(skip)]
    pub kinds: String,
    #[serde(default)]
    #[garde(skip)]
    pub rank: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub servers: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub fresh: Option<Freshness>,
}

fn dangling(at: &str, v: &[String], regions: &[&String], out: &mut Vec<String>) {
    for (i, h) in v.iter().enumerate() {
        if !regions.contains(&h) {
            out.push(format!("{at}[{i}]: region '{h}' belongs to no domain"));
        }
        if v[..i].contains(h) {
            out.push(format!("{at}[{i}]: region '{h}' is named twice"));
        }
    }
}

fn selector(at: &str, s: &str, out: &mut Vec<String>) {
    Selector::parse(s)
        .err()
        .into_iter()
        .for_each(|e| out.push(format!("{at}: {e}")));
}

fn loose(f: &Freshness) -> bool {
    f.within_ms.is_some() || f.own_changes
}

impl Config {
    fn matching(&self, kind: &str) -> Vec<(usize, &Rule)> {
        let Some(k) = self.kinds.get(kind) else {
            return Vec::new();
        };
        let mut l = k.labels.clone();
        l.insert("name".into(), kind.into());
        let hit = |r: &&(usize, &Rule)| Selector::parse(&r.1.kinds).is_ok_and(|s| s.matches(&l));
        let all: Vec<(usize, &Rule)> = self.rules.iter().enumerate().collect();
        let mut v: Vec<(usize, &Rule)> = all.iter().filter(hit).copied().collect();
        v.sort_by_key(|r| std::cmp::Reverse(r.1.rank));
        v
    }

    pub fn effective(&self, kind: &str) -> RequestKind {
        let mut k = self.kinds.get(kind).cloned().unwrap_or_default();
        let v = if planted(Bug::RuleIgnored) {
            Vec::new()
        } else {
            self.matching(kind)
        };
        if k.servers.is_empty() {
            k.servers = v
                .iter()
                .find_map(|r| r.1.servers.clone())
                .unwrap_or_default();
        }
        if !k.writes && !loose(&k.fresh) {
            k.fresh = v.iter().find_map(|r| r.1.fresh.clone()).unwrap_or_default();
        }
        k
    }

    pub(crate) fn ruled(&self, out: &mut Vec<String>) {
        for (i, r) in self.rules.iter().enumerate() {
            let at = format!("rules[{i}]");
            selector(&format!("{at}.kinds"), &r.kinds, out);
            r.servers
                .iter()
                .for_each(|s| selector(&format!("{at}.servers"), s, out));
            if r.servers.is_none() && r.fresh.is_none() {
                out.push(format!("{at}: says neither servers nor fresh"));
            }
            if r.fresh
                .as_ref()
                .is_some_and(|f| f.own_changes && f.within_ms.is_none())
            {
                out.push(format!("{at}.fresh.within_ms: own_changes needs a bound"));
            }
            if self.rules[..i].iter().any(|o| o.name == r.name) {
                out.push(format!("{at}.name: '{}' is named twice", r.name));
            }
        }
        for n in self.kinds.keys() {
            let v = self.matching(n);
            for (x, (i, a)) in v.iter().enumerate() {
                for (j, b) in v[x + 1..].iter().filter(|b| b.1.rank == a.rank) {
                    let servers =
                        a.servers.is_some() && b.servers.is_some() && a.servers != b.servers;
                    let fresh = a.fresh.is_some() && b.fresh.is_some() && a.fresh != b.fresh;
                    if servers || fresh {
                        let field = if servers { "servers" } else { "fresh" };
                        out.push(format!("rules[{j}].{field}: ties with rules[{i}] for kind {n}, both of rank {}", a.rank));
                    }
                }
            }
        }
    }

    pub fn claimed_twice(&self, st: &State) -> Vec<String> {
        let claims = |s: &Server| -> Vec<&String> {
            let l = labels_of(self, s);
            let hit = |d: &str| Selector::parse(d).is_ok_and(|x| x.matches(&l));
            self.databases
                .iter()
                .filter(|(_, d)| hit(&d.servers))
                .map(|(n, _)| n)
                .collect()
        };
        let two = |s: &Server| match claims(s)[..] {
            [a, b, ..] => Some(format!(
                "databases.{b}.servers: server {} is claimed by databases.{a} too",
                s.name
            )),
            _ => None,
        };
        st.servers.values().filter_map(two).collect()
    }

    pub fn warnings(&self, st: Option<&State>) -> Vec<String> {
        let mut out = Vec::new();
        let parsed = |s: &str| Selector::parse(s).unwrap_or_default();
        for i in 0..self.rules.len() {
            if !self
                .kinds
                .keys()
                .any(|n| self.matching(n).iter().any(|m| m.0 == i))
            {
                out.push(format!("rules[{i}].kinds: picks no kind"));
            }
        }
        for (n, d) in &self.databases {
            for (m, e) in self.databases.iter().take_while(|x| x.0 < n) {
                if parsed(&d.servers).may_meet(&parsed(&e.servers)) {
                    out.push(format!("databases.{n}.servers: a server may match databases.{m} too; it would belong to {m}"));
                }
            }
        }
        let Some(st) = st else { return out };
        let none = |s: &str| {
            !st.servers
                .values()
                .any(|x| parsed(s).matches(&labels_of(self, x)))
        };
        let told =
            |at: String, s: &str| none(s).then(|| format!("{at}: matches no server known now"));
        out.extend(
            self.databases
                .iter()
                .filter_map(|(n, d)| told(format!("databases.{n}.servers"), &d.servers)),
        );
        out.extend(
            self.kinds
                .iter()
                .filter_map(|(n, k)| told(format!("kinds.{n}.servers"), &k.servers)),
        );
        out.extend(self.rules.iter().enumerate().filter_map(|(i, r)| {
            r.servers
                .as_ref()
                .and_then(|s| told(format!("rules[{i}].servers"), s))
        }));
        out.extend(
            self.servers
                .keys()
                .filter(|n| !st.servers.contains_key(*n))
                .map(|n| format!("servers.{n}: no such server known now")),
        );
        out
    }

    pub(crate) fn names(&self, out: &mut Vec<String>) {
        self.ruled(out);
        self.entered(out);
        let regions: Vec<&String> = self.domains.values().map(|d| &d.region).collect();
        let mut by_selector: BTreeMap<Option<Selector>, Vec<&String>> = BTreeMap::new();
        for (n, d) in &self.databases {
            let at = format!("databases.{n}");
            selector(&format!("{at}.servers"), &d.servers, out);
            dangling(&format!("{at}.homes"), &d.homes, &regions, out);
            for (t, h) in &d.tenants {
                let at = format!("{at}.tenants.{t}");
                if h.is_empty() {
                    out.push(format!("{at}: a tenant needs a home"));
                }
                dangling(&at, h, &regions, out);
                h.iter().filter(|r| !d.homes.contains(r)).for_each(|r| {
                    out.push(format!("{at}: '{r}' is no home of the database"));
                });
            }
            let alike = by_selector
                .entry(Selector::parse(&d.servers).ok())
                .or_default();
            for earlier in alike.iter() {
                out.push(format!(
                    "{at}.servers: the same servers as databases.{earlier}"
                ));
            }
            alike.push(n);
        }
        for (n, k) in &self.kinds {
            let at = format!("kinds.{n}");
            selector(&format!("{at}.servers"), &k.servers, out);
            if k.writes && loose(&k.fresh) {
                out.push(format!(
                    "{at}.fresh: a kind that writes goes to the primary alone"
                ));
            }
            if k.fresh.own_changes && k.fresh.within_ms.is_none() {
                out.push(format!("{at}.fresh.within_ms: own_changes needs a bound"));
            }
        }
    }
}
