//! Answers requests over HTTP: passes them to the control thread or to the traffic thread.

use crate::back::Back;
use crate::calls::Calls;
use crate::clock::Clock;
use crate::dialect;
use crate::paths::{door, Door};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use tenet::control::{In, Reply};
use tenet::front::FrontIn;
use tenet::kind::{Kind, Reject};
use tenet::state::Op;
use tokio::sync::mpsc::UnboundedSender;
use volo_http::http::{header, HeaderValue, StatusCode};
use volo_http::response::Response;

/// Largest body that is taken, in bytes.
pub const BODY_LIMIT: usize = 1 << 20;

/// What the HTTP interface of a process works with.
pub struct App {
    /// Clock of the process.
    pub clock: Clock,
    /// Inputs of the control thread.
    pub control: Sender<In>,
    /// Calls that the control thread answers.
    pub control_calls: Arc<Calls<Reply>>,
    /// Inputs of the traffic thread; `accord` has none.
    pub front: Option<UnboundedSender<FrontIn>>,
    /// Calls that the traffic thread answers.
    pub front_calls: Arc<Calls<Result<tenet::session::Answer, Reject>>>,
    /// Client for other nodes.
    pub back: Back,
    /// Set when the process was asked to stop.
    pub stopping: Arc<AtomicBool>,
    /// Set while nothing is under way that must end before the process.
    pub drained: Arc<AtomicBool>,
    /// Set while no session is open.
    pub empty: Arc<AtomicBool>,
    /// Until when the traffic thread may serve by a confirmed configuration; 0 when it has none.
    pub serves_until: Arc<AtomicU64>,
    /// Requests under way; `begin` counts them.
    pub busy: AtomicUsize,
    /// Whether the process runs the control plane.
    pub disk: bool,
}

/// A body, or why the request is refused.
pub type Answer = Result<Value, Reject>;

/// Counts a request as under way until it is dropped, also when its caller hangs up.
pub struct UnderWay(Arc<App>);

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

impl App {
    /// A request begins. The process does not end on its own accord before the result is dropped.
    pub fn begin(self: &Arc<Self>) -> UnderWay {
        self.busy.fetch_add(1, Ordering::Relaxed);
        UnderWay(self.clone())
    }

    /// Whether the process was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether the process was asked to stop and takes no part in the fleet any more.
    pub fn has_left(&self) -> bool {
        self.is_stopping() && self.drained.load(Ordering::Relaxed)
    }

    async fn control(&self, f: impl FnOnce(u64) -> In) -> Result<Reply, Reject> {
        let (k, rx) = self.control_calls.open();
        let gone = || Reject::new(Kind::Starting, "control thread is not running");
        self.control.send(f(k)).map_err(|_| gone())?;
        rx.await.map_err(|_| gone())
    }

    /// Shows a part of the state, for operators.
    pub async fn show(&self, what: String, arg: String) -> Answer {
        match self.control(|call| In::Show { call, what, arg }).await? {
            Reply::Text(t) => Ok(serde_json::from_str(&t).unwrap_or(Value::Null)),
            Reply::Reject(r) => Err(r),
            Reply::Verdict(v) => Ok(json!({ "mark": v.mark })),
        }
    }

    async fn front(&self, req: tenet::session::Req) -> Answer {
        let f = self
            .front
            .as_ref()
            .ok_or_else(|| Reject::new(Kind::NoRoute, "accord serves no callers"))?;
        let (call, rx) = self.front_calls.open();
        let gone = || Reject::new(Kind::Starting, "traffic thread is not running");
        f.send(FrontIn::Call { call, req }).map_err(|_| gone())?;
        rx.await.map_err(|_| gone())?.map(dialect::told)
    }

    /// Puts an order to the control plane and waits for its decision.
    pub async fn verdict(&self, f: impl FnOnce(u64) -> In) -> Answer {
        match self.control(f).await? {
            Reply::Verdict(v) => v
                .reject
                .map_or(Ok(json!({"accepted": true, "mark": v.mark})), Err),
            Reply::Reject(r) => Err(r),
            Reply::Text(_) => Ok(Value::Null),
        }
    }

    async fn configure(&self, id: Option<u64>, base: u64, text: String) -> Answer {
        let warned = self.show("warnings".into(), text.clone()).await?;
        let mut v = self
            .verdict(|call| In::Ask {
                call,
                id,
                op: Op::Config { base, text },
            })
            .await?;
        v["warnings"] = warned["warnings"].clone();
        Ok(v)
    }

    async fn flows(&self) -> Result<Vec<SocketAddr>, Reject> {
        let fleet = self.show("fleet".into(), String::new()).await?;
        let nodes = fleet["nodes"].as_array().cloned().unwrap_or_default();
        let on = nodes
            .iter()
            .skip(1)
            .filter(|n| n["status"] == "alive" && n["disk"] == false);
        Ok(on
            .filter_map(|n| n["http"].as_str().and_then(|s| s.parse().ok()))
            .collect())
    }

    async fn verdicts(&self, here: bool) -> Answer {
        let mut v = self.show("verdicts".into(), String::new()).await?;
        let mut seen = Value::Null;
        if self.front.is_some() {
            seen = self.front(tenet::session::Req::Verdicts).await?;
        } else if !here {
            for a in self.flows().await? {
                if let Some(x) = self.back.get(a, "/verdicts?here").await {
                    seen = x["seen_by"].clone();
                    break;
                }
            }
        }
        v["seen_by"] = seen;
        Ok(v)
    }

    async fn explain(&self, id: String, here: bool) -> Answer {
        let own = self
            .front(tenet::session::Req::Explain { id: id.clone() })
            .await;
        if here {
            return own;
        }
        let mut v: Vec<Value> = own.into_iter().collect();
        let path = format!("/explain/{id}?here");
        for a in self.flows().await? {
            v.extend(self.back.get(a, &path).await);
        }
        match v.is_empty() {
            true => Err(Reject::new(
                Kind::UnknownName,
                format!("no node remembers request '{id}'"),
            )),
            false => Ok(json!({"id": id, "nodes": v})),
        }
    }

    /// Whether the process takes callers. The data plane knows it without asking the control thread,
    /// which may be at work on a large configuration.
    pub async fn ready(&self) -> Answer {
        let serves = match self.front.is_some() {
            true => self.clock.now() < self.serves_until.load(Ordering::Relaxed),
            false => {
                let fleet = self.show("fleet".into(), String::new()).await?;
                fleet["nodes"][0]["allows"] == true && fleet["confirmed"] == true
            }
        };
        match (self.is_stopping(), serves) {
            (true, _) => Err(Reject::new(Kind::Leaving, "stopping")),
            (false, true) => Ok(json!({"ready": true})),
            (false, false) => {
                let why = "the configuration is not confirmed";
                Err(Reject::new(Kind::Starting, why))
            }
        }
    }

    /// Answers a request.
    pub async fn handle(&self, method: &str, path: &str, query: &str, body: &[u8]) -> Answer {
        if body.len() > BODY_LIMIT {
            return Err(Reject::new(
                Kind::TooLarge,
                format!("{} bytes, {BODY_LIMIT} allowed", body.len()),
            ));
        }
        match door(method, path, query, body)? {
            Door::Front(r) => self.front(r).await,
            Door::Ask(id, Op::Config { base, text }) => self.configure(id, base, text).await,
            Door::Show(w, _) if w == "verdicts" => self.verdicts(query == "here").await,
            Door::Ask(id, op) => self.verdict(|call| In::Ask { call, id, op }).await,
            Door::Announce(op) => self.verdict(|call| In::Announce { call, op }).await,
            Door::Show(w, a) => self.show(w, a).await,
            Door::Explain(id, here) => self.explain(id, here).await,
            Door::Ready => self.ready().await,
        }
    }
}

/// The HTTP response that tells an answer.
pub fn response(a: Answer) -> Response {
    let (code, retry, v) = match a {
        Ok(v) => (200, 0, v),
        Err(r) => {
            let w = r.kind.row();
            (
                w.code,
                w.retry,
                json!({"error": w.name, "why": r.why, "kept": w.kept, "retry_after_s": w.retry}),
            )
        }
    };
    let mut r = Response::new(v.to_string().into());
    *r.status_mut() = StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    r.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if retry > 0 {
        r.headers_mut()
            .insert(header::RETRY_AFTER, HeaderValue::from(retry));
    }
    r
}
