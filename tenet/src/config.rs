//! The operator's configuration: its fields, their ranges and defaults. `Config::parse` takes the JSON text and
//! gives the configuration, or every error with the path of its field.

use crate::entry::{Abilities, Entry};
use crate::labels::{Labels, Selector};
use crate::rules::{Labelled, Rule};
use garde::Validate;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::OnceLock;

#[derive(Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Config {
    #[garde(length(min = 1, max = 64))]
    pub name: String,
    #[garde(length(min = 1), dive)]
    pub domains: BTreeMap<String, Domain>,
    #[garde(length(min = 1), dive)]
    pub databases: BTreeMap<String, Database>,
    #[garde(length(min = 1), dive)]
    pub kinds: BTreeMap<String, RequestKind>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[garde(skip)]
    pub servers: BTreeMap<String, Labelled>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[garde(dive)]
    pub rules: Vec<Rule>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[garde(dive)]
    pub entries: BTreeMap<String, Entry>,
    /// The document this was made from, kept as it came.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    #[garde(skip)]
    pub origin: String,
    /// False: evacuating a domain empties its servers, its nodes go on serving.
    #[serde(default = "yes")]
    #[garde(skip)]
    pub evacuates_nodes: bool,
    #[serde(default)]
    #[garde(dive)]
    pub pool: PoolCfg,
    #[serde(default)]
    #[garde(dive)]
    pub timeouts: Timeouts,
    #[serde(skip)]
    #[garde(skip)]
    selectors: OnceLock<Vec<(String, Selector)>>,
}

#[derive(Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    #[garde(length(min = 1, max = 64))]
    pub region: String,
    #[serde(default)]
    #[garde(skip)]
    pub labels: Labels,
}

#[derive(Clone, Serialize, Deserialize, Validate, Default)]
#[serde(deny_unknown_fields)]
pub struct Database {
    #[garde(length(min = 1))]
    pub servers: String,
    #[garde(length(min = 1))]
    pub homes: Vec<String>,
    #[garde(range(min = 2, max = 100000))]
    pub cap: u32,
    #[serde(default)]
    #[garde(skip)]
    pub can: Abilities,
    /// A gateway beside the primary passes by one in another region first.
    #[serde(default = "yes")]
    #[garde(skip)]
    pub detour: bool,
    #[serde(default)]
    #[garde(skip)]
    pub tenants: BTreeMap<String, Vec<String>>,
}

#[derive(Clone, Serialize, Deserialize, Validate, Default)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    #[serde(default)]
    #[garde(skip)]
    pub writes: bool,
    #[serde(default)]
    #[garde(skip)]
    pub servers: String,
    #[serde(default)]
    #[garde(dive)]
    pub fresh: Freshness,
    #[serde(default)]
    #[garde(skip)]
    pub labels: Labels,
}

#[derive(Clone, PartialEq, Serialize, Deserialize, Validate, Default)]
#[serde(deny_unknown_fields)]
pub struct Freshness {
    #[serde(default)]
    #[garde(inner(range(min = 100, max = 600000)))]
    pub within_ms: Option<u64>,
    #[serde(default)]
    #[garde(skip)]
    pub own_changes: bool,
}

#[derive(Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct PoolCfg {
    #[garde(range(min = 1, max = 100000))]
    pub queue: u32,
    #[garde(range(min = 1, max = 1000))]
    pub warm_start: u32,
    #[garde(range(min = 1, max = 600000))]
    pub warm_ms: u64,
    #[garde(range(min = 100, max = 86400000))]
    pub keep_idle_ms: u64,
}

fn yes() -> bool {
    true
}

impl Default for PoolCfg {
    fn default() -> Self {
        PoolCfg {
            queue: 200,
            warm_start: 2,
            warm_ms: 4000,
            keep_idle_ms: 600_000,
        }
    }
}

#[derive(Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Timeouts {
    #[garde(range(min = 50, max = 60000))]
    pub request_ms: u64,
    #[garde(range(min = 50, max = 60000))]
    pub statement_ms: u64,
    #[garde(range(min = 300, max = 60000))]
    pub detect_ms: u64,
    #[garde(range(min = 100, max = 60000))]
    pub transaction_drain_ms: u64,
    #[garde(range(min = 1000, max = 86400000))]
    pub session_idle_ms: u64,
    #[garde(range(min = 0, max = 60000))]
    pub patience_ms: u64,
    #[garde(range(min = 100, max = 3600000))]
    pub transaction_idle_ms: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts {
            request_ms: 6000,
            statement_ms: 1500,
            detect_ms: 1000,
            transaction_drain_ms: 3000,
            session_idle_ms: 8 * 3600 * 1000,
            patience_ms: 2500,
            transaction_idle_ms: 10_000,
        }
    }
}

impl Config {
    pub fn parse(s: &str) -> Result<Config, Vec<String>> {
        let c: Config = serde_json::from_str(s).map_err(|e| vec![e.to_string()])?;
        let mut out: Vec<String> = c
            .validate()
            .err()
            .map(|r| r.iter().map(|(p, e)| format!("{p}: {e}")).collect())
            .unwrap_or_default();
        c.names(&mut out);
        out.is_empty().then_some(c).ok_or(out)
    }

    /// Each database's selector, by name; read once.
    pub fn selectors(&self) -> &[(String, Selector)] {
        self.selectors.get_or_init(|| {
            let one = |(n, d): (&String, &Database)| {
                Selector::parse(&d.servers).ok().map(|s| (n.clone(), s))
            };
            self.databases.iter().filter_map(one).collect()
        })
    }

    pub fn region<'a>(&'a self, domain: &str) -> Option<&'a str> {
        self.domains.get(domain).map(|d| d.region.as_str())
    }
}
