//! The steps of recent requests by id, in bounded number, for `motive` to explain.

use crate::base::*;
use serde_json::{json, Value};
use std::collections::{HashMap, VecDeque};

#[derive(Default)]
pub struct Traces {
    order: VecDeque<String>,
    by: HashMap<String, Vec<(Time, String)>>,
}

const KEPT: usize = 4000;
const LINES: usize = 60;

impl Traces {
    pub fn tell(&mut self, now: Time, id: &str, text: String) {
        if !self.by.contains_key(id) {
            self.order.push_back(id.into());
            if self.order.len() > KEPT {
                self.order.pop_front().map(|o| self.by.remove(&o));
            }
        }
        let v = self.by.entry(id.into()).or_default();
        if v.len() < LINES {
            v.push((now, text));
        }
    }

    pub fn show(&self, id: &str) -> Option<Value> {
        self.by
            .get(id)
            .map(|v| Value::Array(v.iter().map(|(t, s)| json!({"at": t, "text": s})).collect()))
    }
}
