use crate::check::{Event, History, Out};
use crate::mix::*;
use medium::back::Back;
use medium::back::HttpRes;
use medium::clock::Clock;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use volo_http::http::Method;

pub struct Site {
    pub clock: Clock,
    pub back: Back,
    pub kinds: Kinds,
    pub history: Mutex<History>,
    pub regions: Mutex<std::collections::HashMap<String, String>>,
    pub stop: std::sync::atomic::AtomicBool,
    pub pause: u64,
    pub lag: Mutex<Vec<(String, u64, u64, bool)>>,
}

fn kept(r: &HttpRes) -> (Out, Value) {
    match r {
        HttpRes::Ok(v) => (Out::Kept, v.clone()),
        HttpRes::Rejected(_, s) => {
            let v: Value = serde_json::from_str(s).unwrap_or(Value::Null);
            let out = if v["kept"] == "nothing" {
                Out::Nothing
            } else {
                Out::Unknown
            };
            (out, v)
        }
        HttpRes::NotSent => (Out::Nothing, Value::Null),
        HttpRes::Lost => (Out::Unknown, Value::Null),
    }
}

pub struct Line {
    pub site: Arc<Site>,
    pub nodes: Vec<SocketAddr>,
    pub at: usize,
    pub caller: Caller,
    pub homes: Vec<String>,
    session: Option<(u64, String)>,
}

impl Line {
    pub fn new(
        site: Arc<Site>,
        nodes: Vec<SocketAddr>,
        at: usize,
        caller: Caller,
        homes: Vec<String>,
    ) -> Line {
        Line {
            site,
            nodes,
            at,
            caller,
            homes,
            session: None,
        }
    }

    async fn post(&self, path: &str, b: &Value) -> HttpRes {
        let to = self.nodes[self.at % self.nodes.len()];
        self.site
            .back
            .post(to.into(), path, b, u64::MAX, 9000)
            .await
    }

    async fn open(&mut self) -> bool {
        let b = json!({"database": self.caller.db, "user": format!("caller-{}", self.caller.n)});
        match self.post("/sessions", &b).await {
            HttpRes::Ok(v) => {
                let region = v["region"].as_str().unwrap_or("").to_string();
                self.session = v["session"].as_u64().map(|s| (s, region));
                true
            }
            _ => {
                self.at += 1;
                false
            }
        }
    }

    pub async fn run(mut self) {
        use std::sync::atomic::Ordering::Relaxed;
        while !self.site.stop.load(Relaxed) {
            let p = self.caller.pause(self.site.pause);
            tokio::time::sleep(Duration::from_millis(p)).await;
            if self.session.is_none() && !self.open().await {
                continue;
            }
            let d = self.caller.next(&self.site.kinds);
            self.act(d).await;
        }
    }

    async fn act(&mut self, d: Do) {
        let Some((s, region)) = self.session.clone() else {
            return;
        };
        let start = self.site.clock.now();
        let (class, id, key, value, kind, r) = match d {
            Do::Run {
                kind,
                id,
                body,
                class,
                key,
                value,
            } => {
                let b = json!({"kind": kind, "id": id, "body": body});
                let r = self.post(&format!("/sessions/{s}/run"), &b).await;
                (class, id.unwrap_or_default(), key, value, kind, r)
            }
            Do::Txn {
                id,
                steps,
                key,
                value,
            } => {
                let r = self.txn(s, &id, steps).await;
                (Class::Write, id, key, value, "transaction".into(), r)
            }
            Do::Show { name, value } => return self.show(s, name, value).await,
        };
        let end = self.site.clock.now();
        let (out, v) = kept(&r);
        let error = v["error"].as_str().unwrap_or("").to_string();
        let moving = v["leaving"] == true;
        if moving {
            let _ = self
                .site
                .back
                .send(
                    Method::DELETE,
                    self.nodes[self.at % self.nodes.len()].into(),
                    &format!("/sessions/{s}"),
                    &json!({}),
                    2000,
                )
                .await;
        }
        if error == "aborted" {
            log::warn!("aborted: {}", v["why"]);
        }
        if moving
            || error == "unknown-session"
            || error == "leaving"
            || matches!(r, HttpRes::NotSent | HttpRes::Lost)
        {
            self.session = None;
            self.at += 1;
        }
        let got = if class == Class::Write {
            value
        } else {
            v["result"].as_i64().unwrap_or(0)
        };
        let hops = self.path(&v);
        let mut allowed = self.homes.clone();
        allowed.push(region);
        let mut h = self.site.history.lock().unwrap_or_else(|e| e.into_inner());
        let n = if out == Out::Kept {
            "kept".into()
        } else {
            format!("{error}/{out:?}")
        };
        *h.kinds.entry(format!("{kind} {n}")).or_default() += 1;
        if out == Out::Kept && !hops.is_empty() {
            h.hops.push((id.clone(), hops, allowed));
        }
        h.events.push(Event {
            start,
            end,
            session: self.caller.n,
            class,
            id,
            key,
            value: got,
            out,
        });
        drop(h);
        let mut l = self.site.lag.lock().unwrap_or_else(|e| e.into_inner());
        l.push((kind, start, end - start, out == Out::Kept));
    }

    fn path(&self, v: &Value) -> Vec<String> {
        let g = self.site.regions.lock().unwrap_or_else(|e| e.into_inner());
        let hop = |h: &Value| h.as_str().and_then(|h| g.get(h).cloned());
        v["hops"]
            .as_array()
            .map_or(Vec::new(), |a| a.iter().filter_map(hop).collect())
    }

    async fn txn(&self, s: u64, id: &str, steps: Vec<Value>) -> HttpRes {
        let r = self
            .post(&format!("/sessions/{s}/begin"), &json!({ "id": id }))
            .await;
        if !matches!(r, HttpRes::Ok(_)) {
            return match r {
                HttpRes::Lost => HttpRes::NotSent,
                r => r,
            };
        }
        let kind = &self.site.kinds.write[0];
        for b in steps {
            let r = self
                .post(
                    &format!("/sessions/{s}/run"),
                    &json!({"kind": kind, "body": b}),
                )
                .await;
            if !matches!(r, HttpRes::Ok(_)) {
                let _ = self
                    .post(&format!("/sessions/{s}/rollback"), &json!({}))
                    .await;
                return match r {
                    HttpRes::Lost => HttpRes::NotSent,
                    HttpRes::Rejected(_, _) => r,
                    r => r,
                };
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.post(&format!("/sessions/{s}/commit"), &json!({}))
            .await
    }

    async fn show(&mut self, s: u64, name: String, value: String) {
        let set = self
            .post(
                &format!("/sessions/{s}/set"),
                &json!({"name": name, "value": value}),
            )
            .await;
        if !matches!(set, HttpRes::Ok(_)) {
            return;
        }
        let kind = self.site.kinds.current[0].clone();
        let b = json!({"kind": kind, "body": {"op": "show", "name": name}});
        if let HttpRes::Ok(v) = self.post(&format!("/sessions/{s}/run"), &b).await {
            let got = v["result"]["value"].as_str().unwrap_or("").to_string();
            let mut h = self.site.history.lock().unwrap_or_else(|e| e.into_inner());
            h.settings.push((value, got));
        }
    }
}
