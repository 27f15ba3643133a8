//! Prints measured series and the cost of each role, in % of a core, bytes a second and ms.

use crate::slopes::fit::{line, power, spread};
use crate::slopes::tally::Tally;
use std::collections::BTreeMap;
use std::time::Duration;

/// Points of one measure at growing sizes, with all repeats.
#[derive(Default)]
pub struct Series {
    pub unit: &'static str,
    pub all: BTreeMap<u64, Vec<f64>>,
}

impl Series {
    pub fn new(unit: &'static str) -> Self {
        Series {
            unit,
            all: BTreeMap::new(),
        }
    }

    pub fn add(&mut self, x: usize, y: f64) {
        self.all.entry(x as u64).or_default().push(y);
    }

    /// Medians with least and most, the line through the medians and the power of growth.
    pub fn text(&self, name: &str) -> String {
        let mut s = format!("{name} [{}]", self.unit);
        let mids: Vec<(f64, f64)> = self
            .all
            .iter()
            .map(|(x, v)| (*x as f64, spread(v).mid))
            .collect();
        for (x, v) in &self.all {
            let p = spread(v);
            s += &format!(
                "\n  {x:>7}: {} ({} .. {}; {} runs)",
                short(p.mid),
                short(p.low),
                short(p.high),
                v.len()
            );
        }
        if let (Some(l), Some(k)) = (line(&mids), power(&mids)) {
            s += &format!(
                "\n  line {} + {} x, grows as x^{k:.2}",
                short(l.base),
                short(l.slope)
            );
        }
        s
    }
}

pub fn short(x: f64) -> String {
    match x.abs() {
        a if a >= 100.0 => format!("{x:.0}"),
        a if a >= 1.0 => format!("{x:.2}"),
        a if a >= 0.01 => format!("{x:.4}"),
        a if a > 0.0 => format!("{x:.3e}"),
        _ => "0".into(),
    }
}

/// Percent of one core over `secs` of virtual time.
pub fn share(d: Duration, secs: f64) -> f64 {
    d.as_secs_f64() / secs * 100.0
}

pub fn ms(d: Duration) -> f64 {
    d.as_secs_f64() * 1000.0
}

/// One line of a role and one for each kind of message, per node and second.
pub fn role(name: &str, n: usize, t: &Tally, secs: f64) -> String {
    let k = n as f64 * secs;
    let ((so, bo), (si, bi)) = t.totals();
    let per = |x: u64| short(x as f64 / k);
    let mut s = format!(
        "  {name:<9} x{n:<5} out {}/s {} B/s, in {}/s {} B/s, poll {}% codec {}% of a core, longest {} ms, {} polls/s",
        per(so), per(bo), per(si), per(bi),
        short(share(t.poll, k)), short(share(t.codec, k)), short(ms(t.worst)), per(t.polls)
    );
    for (way, m) in [("out", &t.sent), ("in", &t.got)] {
        let v: Vec<String> = m
            .iter()
            .map(|(k, (n, b))| format!("{k} {}/{}", per(*n), per(*b)))
            .collect();
        s += &format!("\n    {way}: {}", v.join(", "));
    }
    s
}
