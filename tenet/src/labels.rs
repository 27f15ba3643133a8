//! Labels and selectors: reads `a=b, c in (d,e), !f`, refuses what can never match, and says what matches.

use std::collections::BTreeMap;
use std::fmt;

pub type Labels = BTreeMap<String, String>;

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Term {
    Is(String, Vec<String>),
    Not(String, Vec<String>),
    Has(String),
    Lacks(String),
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct Selector {
    terms: Vec<Term>,
}

fn word(s: &str) -> Result<String, String> {
    let s = s.trim();
    let ok = !s.is_empty()
        && s.chars()
            .all(|c| c.is_ascii_alphanumeric() || "-_./".contains(c));
    ok.then(|| s.to_string())
        .ok_or(format!("'{s}' is not a label word"))
}

fn split(s: &str) -> Vec<String> {
    let mut d = 0;
    let mut v = vec![String::new()];
    for c in s.chars() {
        d += (c == '(') as i32 - (c == ')') as i32;
        if c == ',' && d == 0 {
            v.push(String::new());
        } else if let Some(l) = v.last_mut() {
            l.push(c);
        }
    }
    v
}

fn list(s: &str) -> Result<Vec<String>, String> {
    s.trim()
        .strip_prefix('(')
        .and_then(|s| s.strip_suffix(')'))
        .ok_or(format!("'{s}' needs a list in brackets"))
        .and_then(|s| s.split(',').map(word).collect())
}

fn term(s: &str) -> Result<Term, String> {
    let s = s.trim();
    if let Some((k, v)) = s.split_once(" notin ") {
        return Ok(Term::Not(word(k)?, list(v)?));
    }
    if let Some((k, v)) = s.split_once(" in ") {
        return Ok(Term::Is(word(k)?, list(v)?));
    }
    if let Some((k, v)) = s.split_once("!=") {
        return Ok(Term::Not(word(k)?, vec![word(v)?]));
    }
    if let Some((k, v)) = s.split_once('=') {
        return Ok(Term::Is(word(k)?, vec![word(v)?]));
    }
    s.strip_prefix('!')
        .map(|k| word(k).map(Term::Lacks))
        .unwrap_or_else(|| word(s).map(Term::Has))
}

impl Selector {
    pub fn parse(s: &str) -> Result<Self, String> {
        if s.trim().is_empty() {
            return Ok(Selector::default());
        }
        let terms: Vec<Term> = split(s).iter().map(|t| term(t)).collect::<Result<_, _>>()?;
        let me = Selector { terms };
        me.impossible().map_or(Ok(me), Err)
    }

    fn impossible(&self) -> Option<String> {
        let mut want: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for t in &self.terms {
            if let Term::Is(k, v) = t {
                let n: Vec<&str> = v.iter().map(|s| s.as_str()).collect();
                let e = want.entry(k).or_insert_with(|| n.clone());
                e.retain(|x| n.contains(x));
            }
        }
        for t in &self.terms {
            match t {
                Term::Not(k, v) => {
                    if let Some(e) = want.get_mut(k.as_str()) {
                        e.retain(|x| !v.iter().any(|y| y == x))
                    }
                }
                Term::Lacks(k) => {
                    let has = self
                        .terms
                        .iter()
                        .any(|u| matches!(u, Term::Has(h) if h == k));
                    if has || want.contains_key(k.as_str()) {
                        return Some(format!("asks for label {k} and against it"));
                    }
                }
                _ => (),
            }
        }
        want.iter()
            .find(|(_, v)| v.is_empty())
            .map(|(k, _)| format!("no value of {k} can match"))
    }

    pub fn may_meet(&self, o: &Selector) -> bool {
        let apart = |a: &Term, b: &Term| match (a, b) {
            (Term::Is(k, v), Term::Is(l, w)) => k == l && !v.iter().any(|x| w.contains(x)),
            (Term::Is(k, v), Term::Not(l, w)) => k == l && v.iter().all(|x| w.contains(x)),
            (Term::Is(k, _) | Term::Has(k), Term::Lacks(l)) => k == l,
            _ => false,
        };
        !self
            .terms
            .iter()
            .any(|a| o.terms.iter().any(|b| apart(a, b) || apart(b, a)))
    }

    pub fn matches(&self, l: &Labels) -> bool {
        self.terms.iter().all(|t| match t {
            Term::Is(k, v) => l.get(k).is_some_and(|x| v.contains(x)),
            Term::Not(k, v) => l.get(k).is_none_or(|x| !v.contains(x)),
            Term::Has(k) => l.contains_key(k),
            Term::Lacks(k) => !l.contains_key(k),
        })
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Term::Is(k, v) => write!(f, "{k} in ({})", v.join(",")),
            Term::Not(k, v) => write!(f, "{k} notin ({})", v.join(",")),
            Term::Has(k) => write!(f, "{k}"),
            Term::Lacks(k) => write!(f, "!{k}"),
        }
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let v: Vec<String> = self.terms.iter().map(|t| t.to_string()).collect();
        f.write_str(&v.join(", "))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    #[test]
    fn selectors_match_and_impossible_ones_are_rejected() {
        let l: Labels = [("db", "members"), ("tier", "a")]
            .map(|(k, v)| (k.into(), v.into()))
            .into();
        for s in [
            "db=members",
            "db in (x, members), tier!=b",
            "tier",
            "!gone",
            "",
        ] {
            assert!(Selector::parse(s).unwrap().matches(&l), "{s}");
        }
        for s in ["db=other", "tier notin (a,b)", "gone", "!tier"] {
            assert!(!Selector::parse(s).unwrap().matches(&l), "{s}");
        }
        for s in ["a=1,a=2", "a,!a", "a in (1),a!=1", "=", "a in 1", "a b"] {
            assert!(Selector::parse(s).is_err(), "{s}");
        }
    }
}
