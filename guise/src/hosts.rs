use crate::world::World;
use medium::back::Back;
use medium::clock::Clock;
use medium::doors::response;
use medium::http::serve;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tenet::kind::{Kind, Reject};
use volo_http::http::{HeaderValue, StatusCode};
use volo_http::response::Response;

pub type Shared = Arc<Mutex<World>>;

pub fn lock(w: &Shared) -> std::sync::MutexGuard<'_, World> {
    w.lock().unwrap_or_else(|e| e.into_inner())
}

fn raw(r: Result<Value, (u16, String)>) -> Response {
    match r {
        Ok(v) => response(Ok(v)),
        Err((code, why)) => {
            let mut r = response(Err(Reject::new(Kind::Failed, why)));
            *r.status_mut() = StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_GATEWAY);
            r.headers_mut()
                .insert("connection", HeaderValue::from_static("keep-alive"));
            r
        }
    }
}

pub struct Costs {
    pub connect: u64,
    pub statement: u64,
    pub promote: u64,
}

pub async fn server(
    w: Shared,
    i: usize,
    at: SocketAddr,
    clock: Clock,
    c: Arc<Costs>,
) -> eyre::Result<()> {
    let h = move |_m: String, path: String, _q: String, b: Vec<u8>| {
        let (w, c) = (w.clone(), c.clone());
        async move {
            let body: Value = serde_json::from_slice(&b).unwrap_or(Value::Null);
            let cost = match path.as_str() {
                "/connect" => c.connect,
                "/statement" | "/commit" => c.statement,
                _ => 0,
            };
            if cost > 0 {
                tokio::time::sleep(Duration::from_millis(cost)).await;
            }
            let r = {
                let mut g = lock(&w);
                g.servers[i]
                    .up
                    .then(|| g.handle(clock.now(), i, &path, &body))
            };
            match r {
                Some(r) => raw(r),
                None => std::future::pending().await,
            }
        }
    };
    serve(at, h, async {}).await
}

pub async fn platform(w: Shared, at: SocketAddr, clock: Clock, c: Arc<Costs>) -> eyre::Result<()> {
    let h = move |_m: String, path: String, _q: String, b: Vec<u8>| {
        let (w, c) = (w.clone(), c.clone());
        async move {
            let body: Value = serde_json::from_slice(&b).unwrap_or(Value::Null);
            if path != "/promote" {
                return raw(Err((404, "no such path".into())));
            }
            tokio::time::sleep(Duration::from_millis(c.promote)).await;
            raw(lock(&w).promote(clock.now(), body["server"].as_str().unwrap_or("")))
        }
    };
    serve(at, h, async {}).await
}

pub async fn announcer(w: Shared, addrs: Vec<SocketAddr>, nodes: Vec<SocketAddr>, back: Back) {
    let mut turn = 0usize;
    let mut told: Vec<Value> = vec![Value::Null; addrs.len()];
    let mut at = vec![0u32; addrs.len()];
    loop {
        for i in 0..addrs.len() {
            let a = {
                let g = lock(&w);
                g.servers[i]
                    .up
                    .then(|| g.announcement(i, &addrs[i].to_string()))
            };
            let Some(a) = a else { continue };
            at[i] += 1;
            if a != told[i] || at[i].is_multiple_of(20) {
                turn += 1;
                let to = nodes[turn % nodes.len()];
                let r = back.post(to.into(), "/announce", &a, u64::MAX, 1500).await;
                if matches!(r, medium::back::HttpRes::Ok(_)) {
                    told[i] = a;
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

pub async fn clockwork(w: Shared, clock: Clock) {
    loop {
        lock(&w).tick(clock.now());
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
