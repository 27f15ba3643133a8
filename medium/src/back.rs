//! HTTP client for servers, the platform and other nodes, over pooled connections.

use crate::clock::Clock;
use crate::dialect;
use crate::link::{Link, Links, Went};
use crate::traffic::{Later, Servers};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::http::request::Builder;
use hyper::{Method, Request};
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tenet::base::{Addr, Time};
use tenet::front::{BackCall, BackRes};

/// How a call over HTTP ended. `NotSent` promises that the other side never saw it.
#[derive(Debug, Clone)]
pub enum HttpRes {
    /// The other side answered 200 with this body.
    Ok(Value),
    /// The other side answered 200, and the body is not JSON.
    NotJson,
    /// The other side answered another status, with this text.
    Rejected(u16, String),
    /// Nothing was sent.
    NotSent,
    /// It is not known what the other side did.
    Lost,
}

/// An HTTP client. Clones share their connections.
#[derive(Clone)]
pub struct Back {
    links: Arc<Links>,
    clock: Clock,
    head: Vec<(String, String)>,
}

/// How long a GET may take, ms.
const ASK: Time = 1500;

impl Back {
    /// A client without open connections.
    pub fn new(clock: Clock) -> eyre::Result<Back> {
        Ok(Back {
            links: Arc::new(Links::default()),
            clock,
            head: Vec::new(),
        })
    }

    /// The same connections, with further headers.
    pub fn with(&self, head: &[(&str, &str)]) -> Back {
        let head = head
            .iter()
            .map(|(k, v)| (k.to_string(), v.to_string()))
            .collect();
        Back {
            head,
            ..self.clone()
        }
    }

    /// Posts a body, unless the address is none or it is `not_after` already.
    pub async fn post(
        &self,
        to: Addr,
        path: &str,
        body: &Value,
        not_after: Time,
        timeout: Time,
    ) -> HttpRes {
        match to == Addr::NONE {
            true => HttpRes::NotSent,
            false => {
                self.bounded(Method::POST, to.into(), path, body, not_after, timeout)
                    .await
            }
        }
    }

    /// Sends a body with any method, at any time.
    pub async fn send(
        &self,
        m: Method,
        to: Addr,
        path: &str,
        body: &Value,
        timeout: Time,
    ) -> HttpRes {
        self.bounded(m, to.into(), path, body, Time::MAX, timeout)
            .await
    }

    /// Sends a body unless it is `not_after` already, and waits at most `timeout` ms.
    pub async fn bounded(
        &self,
        m: Method,
        to: SocketAddr,
        path: &str,
        body: &Value,
        not_after: Time,
        timeout: Time,
    ) -> HttpRes {
        let with = |r: Builder, (k, v): &(String, String)| r.header(k, v);
        let r = self
            .head
            .iter()
            .fold(Request::builder(), with)
            .method(m)
            .uri(path)
            .header("host", to.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(if body.is_null() {
                String::new()
            } else {
                body.to_string()
            })));
        let Ok(r) = r else { return HttpRes::NotSent };
        let t = Duration::from_millis(timeout);
        tokio::time::timeout(t, self.go(to, r, not_after))
            .await
            .unwrap_or(HttpRes::Lost)
    }

    async fn go(&self, to: SocketAddr, r: Request<Full<Bytes>>, not_after: Time) -> HttpRes {
        let mut r = r;
        loop {
            if self.clock.now() >= not_after {
                return HttpRes::NotSent;
            }
            let old = self.links.take(to);
            let fresh = old.is_none();
            let mut l = match old {
                Some(l) => l,
                None => match Link::open(to).await {
                    Ok(l) => l,
                    Err(_) => return HttpRes::NotSent,
                },
            };
            if self.clock.now() >= not_after {
                self.links.put(to, l);
                return HttpRes::NotSent;
            }
            match l.go(r).await {
                Went::NotSent(_) if fresh => return HttpRes::NotSent,
                Went::NotSent(back) => r = *back,
                Went::Lost => return HttpRes::Lost,
                Went::Answer(code, b) => {
                    self.links.put(to, l);
                    return told(code, &b);
                }
            }
        }
    }

    /// Gets a body; `None` for anything but 200.
    pub async fn get(&self, to: SocketAddr, path: &str) -> Option<Value> {
        match self
            .bounded(Method::GET, to, path, &Value::Null, Time::MAX, ASK)
            .await
        {
            HttpRes::Ok(v) => Some(v),
            _ => None,
        }
    }
}

fn told(code: u16, b: &[u8]) -> HttpRes {
    match code {
        200 => serde_json::from_slice(b).map_or(HttpRes::NotJson, HttpRes::Ok),
        _ => HttpRes::Rejected(code, String::from_utf8_lossy(b).into()),
    }
}

impl Servers for Back {
    fn call(self: Rc<Self>, c: BackCall) -> Later<BackRes> {
        Box::pin(async move {
            let (path, body) = dialect::ask(&c.query);
            dialect::got(
                path,
                self.post(c.to, path, &body, c.not_after, c.timeout).await,
            )
        })
    }
}
