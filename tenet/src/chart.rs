//! State charts read from `charts/*.json`: given a state and an event, the next state or none. A chart with an
//! unknown or unreachable state is refused when it is read.

use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Text {
    name: String,
    start: String,
    states: BTreeMap<String, BTreeMap<String, String>>,
}

pub struct Chart {
    pub name: String,
    names: Vec<String>,
    start: usize,
    steps: Vec<BTreeMap<String, usize>>,
}

impl Chart {
    pub fn read(s: &str) -> Result<Chart, String> {
        let t: Text = serde_json::from_str(s).map_err(|e| e.to_string())?;
        let names: Vec<String> = t.states.keys().cloned().collect();
        let ix = |n: &String| {
            names
                .iter()
                .position(|m| m == n)
                .ok_or(format!("{}: no state {n}", t.name))
        };
        let start = ix(&t.start)?;
        let mut steps = Vec::new();
        for s in t.states.values() {
            let m: Result<BTreeMap<_, _>, String> = s
                .iter()
                .map(|(e, to)| ix(to).map(|i| (e.clone(), i)))
                .collect();
            steps.push(m?);
        }
        let c = Chart {
            name: t.name.clone(),
            names,
            start,
            steps,
        };
        c.reached().map(|_| c)
    }

    fn reached(&self) -> Result<(), String> {
        let mut seen = BTreeSet::from([self.start]);
        let mut todo = vec![self.start];
        while let Some(i) = todo.pop() {
            for n in self.steps[i].values() {
                if seen.insert(*n) {
                    todo.push(*n);
                }
            }
        }
        let lost: Vec<&str> = (0..self.names.len())
            .filter(|i| !seen.contains(i))
            .map(|i| self.names[i].as_str())
            .collect();
        lost.is_empty().then_some(()).ok_or(format!(
            "{}: never reached: {}",
            self.name,
            lost.join(", ")
        ))
    }

    pub fn start(&self) -> &str {
        &self.names[self.start]
    }

    pub fn step(&self, from: &str, event: &str) -> Option<&str> {
        self.names
            .iter()
            .position(|n| n == from)
            .and_then(|i| self.steps[i].get(event))
            .map(|i| self.names[*i].as_str())
    }
}

macro_rules! chart {
    ($f:ident, $p:literal) => {
        pub fn $f() -> &'static Chart {
            static C: std::sync::OnceLock<Chart> = std::sync::OnceLock::new();
            C.get_or_init(|| match Chart::read(include_str!($p)) {
                Ok(c) => c,
                Err(e) => panic!("chart {}: {e}", $p),
            })
        }
    };
}

chart!(failover, "../../charts/failover.json");
chart!(member, "../../charts/member.json");
chart!(colleague, "../../charts/colleague.json");

#[cfg(test)]
mod tests {
    use super::*;
    #[test]
    fn shipped_charts_hold_and_broken_ones_are_told() {
        assert_eq!(failover().step("steady", "offline"), Some("fenced"));
        assert_eq!(failover().step("steady", "promoted"), None);
        assert_eq!(member().start(), "joining");
        assert_eq!(colleague().step("alive", "silent"), Some("suspect"));
        let bad = r#"{"name":"x","start":"a","states":{"a":{"go":"b"}}}"#;
        assert!(Chart::read(bad).is_err_and(|e| e.contains("no state b")));
        let lost = r#"{"name":"x","start":"a","states":{"a":{},"b":{}}}"#;
        assert!(Chart::read(lost).is_err_and(|e| e.contains("never reached: b")));
    }
}
