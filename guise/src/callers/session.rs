//! The session of one caller: opens it, sends requests over it, and leaves a node that fails.

use super::outcome::{before_commit, outcome, Finished, Span};
use super::Site;
use crate::lock;
use crate::mix::{Caller, Class, Do};
use medium::back::HttpRes;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use volo_http::http::Method;

/// How long a request may take, ms.
const REQUEST_TIMEOUT_MS: u64 = 9000;
/// How long closing a session may take, ms.
const CLOSE_TIMEOUT_MS: u64 = 2000;
/// Pause between two statements of a transaction.
const STATEMENT_PAUSE: Duration = Duration::from_millis(20);

/// A session that is open at a node.
#[derive(Clone)]
struct OpenSession {
    id: u64,
    region: String,
}

/// A caller with its session, which moves to the next node when one fails.
pub struct Session {
    site: Arc<Site>,
    nodes: Vec<SocketAddr>,
    node: usize,
    caller: Caller,
    homes: Vec<String>,
    open: Option<OpenSession>,
}

impl Session {
    /// A caller that begins at the node with the number `node` and may use the regions `homes`.
    pub fn new(
        site: Arc<Site>,
        nodes: Vec<SocketAddr>,
        node: usize,
        caller: Caller,
        homes: Vec<String>,
    ) -> Session {
        Session {
            site,
            nodes,
            node,
            caller,
            homes,
            open: None,
        }
    }

    /// Sends requests until the site stops.
    pub async fn run(mut self) {
        while !self.site.stop.load(Relaxed) {
            let pause = self.caller.pause(self.site.pause);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            if self.open.is_none() && !self.connect().await {
                continue;
            }
            let action = self.caller.next(&self.site.kinds);
            self.act(action).await;
        }
    }

    fn address(&self) -> SocketAddr {
        self.nodes[self.node % self.nodes.len()]
    }

    async fn post(&self, path: &str, body: &Value) -> HttpRes {
        let to = self.address().into();
        let back = &self.site.back;
        back.post(to, path, body, u64::MAX, REQUEST_TIMEOUT_MS)
            .await
    }

    async fn connect(&mut self) -> bool {
        let user = format!("caller-{}", self.caller.n);
        let body = json!({"database": self.caller.db, "user": user});
        let HttpRes::Ok(answer) = self.post("/sessions", &body).await else {
            self.node += 1;
            return false;
        };
        let region = answer["region"].as_str().unwrap_or("").to_string();
        self.open = answer["session"]
            .as_u64()
            .map(|id| OpenSession { id, region });
        true
    }

    async fn act(&mut self, action: Do) {
        let Some(open) = self.open.clone() else {
            return;
        };
        let start = self.site.clock.now();
        let finished = match action {
            Do::Show { name, value } => return self.show(open.id, name, value).await,
            Do::Txn {
                id,
                steps,
                key,
                value,
            } => Finished {
                kind: "transaction".into(),
                response: self.transaction(open.id, &id, steps).await,
                id,
                class: Class::Write,
                key,
                written: value,
            },
            Do::Run {
                kind,
                id,
                body,
                class,
                key,
                value,
            } => {
                let request = json!({"kind": kind, "id": id, "body": body});
                let path = format!("/sessions/{}/run", open.id);
                Finished {
                    response: self.post(&path, &request).await,
                    kind,
                    id: id.unwrap_or_default(),
                    class,
                    key,
                    written: value,
                }
            }
        };
        let end = self.site.clock.now();
        let (out, answer) = outcome(&finished.response);
        self.move_if_needed(open.id, &finished.response, &answer)
            .await;
        let mut allowed = self.homes.clone();
        allowed.push(open.region);
        let span = Span { start, end };
        finished.record(&self.site, self.caller.n, span, out, &answer, allowed);
    }

    /// Gives the session up where the node asks for it, or where it is not sure to be there.
    async fn move_if_needed(&mut self, session: u64, response: &HttpRes, answer: &Value) {
        let leaving = answer["leaving"] == true;
        let error = answer["error"].as_str().unwrap_or("");
        if leaving {
            let to = self.address().into();
            let path = format!("/sessions/{session}");
            let back = &self.site.back;
            let _ = back
                .send(Method::DELETE, to, &path, &json!({}), CLOSE_TIMEOUT_MS)
                .await;
        }
        if error == "aborted" {
            log::warn!("aborted: {}", answer["why"]);
        }
        let gone = leaving || error == "unknown-session" || error == "leaving";
        if gone || matches!(response, HttpRes::NotSent | HttpRes::Lost) {
            self.open = None;
            self.node += 1;
        }
    }

    async fn transaction(&self, session: u64, id: &str, steps: Vec<Value>) -> HttpRes {
        let path = |verb: &str| format!("/sessions/{session}/{verb}");
        let begun = self.post(&path("begin"), &json!({ "id": id })).await;
        if !matches!(begun, HttpRes::Ok(_)) {
            return before_commit(begun);
        }
        let kind = &self.site.kinds.write[0];
        for body in steps {
            let statement = json!({"kind": kind, "body": body});
            let ran = self.post(&path("run"), &statement).await;
            if !matches!(ran, HttpRes::Ok(_)) {
                let _ = self.post(&path("rollback"), &json!({})).await;
                return before_commit(ran);
            }
            tokio::time::sleep(STATEMENT_PAUSE).await;
        }
        self.post(&path("commit"), &json!({})).await
    }

    /// Changes a setting and checks with a statement that it is in force.
    async fn show(&mut self, session: u64, name: String, value: String) {
        let set = json!({"name": name, "value": value});
        let answer = self.post(&format!("/sessions/{session}/set"), &set).await;
        if !matches!(answer, HttpRes::Ok(_)) {
            return;
        }
        let kind = &self.site.kinds.current[0];
        let body = json!({"kind": kind, "body": {"op": "show", "name": name}});
        let answer = self.post(&format!("/sessions/{session}/run"), &body).await;
        if let HttpRes::Ok(answer) = answer {
            let got = answer["result"]["value"].as_str().unwrap_or("").to_string();
            lock(&self.site.history).settings.push((value, got));
        }
    }
}
