use crate::clock::Clock;
use crate::link::{Link, Links, Went};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Method, Request};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tenet::base::{Addr, Time};
use tenet::front::BackRes;

#[derive(Clone)]
pub struct Back {
    links: Arc<Links>,
    clock: Clock,
}

const ASK: Time = 1500;

impl Back {
    pub fn new(clock: Clock) -> eyre::Result<Back> {
        Ok(Back { links: Arc::new(Links::default()), clock })
    }

    pub async fn post(&self, to: Addr, path: &str, body: &Value, not_after: Time, timeout: Time) -> BackRes {
        match to == Addr::NONE {
            true => BackRes::NotSent,
            false => self.bounded(Method::POST, to.into(), path, body, not_after, timeout).await,
        }
    }

    pub async fn send(&self, m: Method, to: Addr, path: &str, body: &Value, timeout: Time) -> BackRes {
        self.bounded(m, to.into(), path, body, Time::MAX, timeout).await
    }

    async fn bounded(&self, m: Method, to: SocketAddr, path: &str, body: &Value, not_after: Time, timeout: Time) -> BackRes {
        let r = Request::builder()
            .method(m)
            .uri(path)
            .header("host", to.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(if body.is_null() { String::new() } else { body.to_string() })));
        let Ok(r) = r else { return BackRes::NotSent };
        let t = Duration::from_millis(timeout);
        tokio::time::timeout(t, self.go(to, r, not_after)).await.unwrap_or(BackRes::Lost)
    }

    async fn go(&self, to: SocketAddr, r: Request<Full<Bytes>>, not_after: Time) -> BackRes {
        let mut r = r;
        loop {
            if self.clock.now() >= not_after {
                return BackRes::NotSent;
            }
            let old = self.links.take(to);
            let fresh = old.is_none();
            let mut l = match old {
                Some(l) => l,
                None => match Link::open(to).await {
                    Ok(l) => l,
                    Err(_) => return BackRes::NotSent,
                },
            };
            if self.clock.now() >= not_after {
                self.links.put(to, l);
                return BackRes::NotSent;
            }
            match l.go(r).await {
                Went::NotSent(_) if fresh => return BackRes::NotSent,
                Went::NotSent(back) => r = back,
                Went::Lost => return BackRes::Lost,
                Went::Answer(code, b) => {
                    self.links.put(to, l);
                    return told(code, &b);
                }
            }
        }
    }

    pub async fn get(&self, to: SocketAddr, path: &str) -> Option<Value> {
        match self.bounded(Method::GET, to, path, &Value::Null, Time::MAX, ASK).await {
            BackRes::Ok(v) => Some(v),
            _ => None,
        }
    }
}

fn told(code: u16, b: &[u8]) -> BackRes {
    match code {
        200 => serde_json::from_slice(b).map_or(BackRes::Lost, BackRes::Ok),
        _ => BackRes::Rejected(code, String::from_utf8_lossy(b).into()),
    }
}
