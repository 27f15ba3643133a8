//! Serves the stand-in servers and the stand-in platform over HTTP.

use crate::lock;
use crate::world::{Reply, World};
use medium::back::{Back, HttpRes};
use medium::clock::Clock;
use medium::doors::response;
use medium::http::serve;
use serde_json::Value;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tenet::kind::{Kind, Reject};
use volo_http::http::{HeaderValue, StatusCode};
use volo_http::response::Response;

/// The stand-in servers, as the tasks of a fleet share them.
pub type SharedWorld = Arc<Mutex<World>>;

/// Pause between two rounds of announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(100);
/// Rounds after which an unchanged announcement is sent again.
const ANNOUNCE_AGAIN: u32 = 20;
/// How long an announcement may take, ms.
const ANNOUNCE_TIMEOUT_MS: u64 = 1500;
/// Pause between two steps of replication.
const REPLICATION_PERIOD: Duration = Duration::from_millis(5);

/// What operations cost the servers and the platform, ms.
pub struct Costs {
    /// A new connection.
    pub connect: u64,
    /// A statement or a commit.
    pub statement: u64,
    /// A promotion.
    pub promote: u64,
}

impl Costs {
    fn of(&self, path: &str) -> u64 {
        match path {
            "/connect" => self.connect,
            "/statement" | "/commit" => self.statement,
            _ => 0,
        }
    }
}

fn http_response(reply: Reply) -> Response {
    match reply {
        Ok(body) => response(Ok(body)),
        Err((code, why)) => {
            let mut refused = response(Err(Reject::new(Kind::Failed, why)));
            *refused.status_mut() = StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_GATEWAY);
            refused
                .headers_mut()
                .insert("connection", HeaderValue::from_static("keep-alive"));
            refused
        }
    }
}

/// Serves an HTTP interface whose requests and replies are JSON; no reply means silence.
async fn serve_json<F, R>(address: SocketAddr, answer: F) -> eyre::Result<()>
where
    F: Fn(String, Value) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Option<Reply>> + Send + 'static,
{
    let handler = move |_method: String, path: String, _query: String, body: Vec<u8>| {
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let reply = answer(path, body);
        async move {
            match reply.await {
                Some(reply) => http_response(reply),
                None => std::future::pending().await,
            }
        }
    };
    serve(address, handler, async {}).await
}

/// Serves the stand-in server with number `index`; one that is down never answers.
pub async fn server(
    world: SharedWorld,
    index: usize,
    address: SocketAddr,
    clock: Clock,
    costs: Arc<Costs>,
) -> eyre::Result<()> {
    let answer = move |path: String, body: Value| {
        let (world, costs) = (world.clone(), costs.clone());
        async move {
            let cost = costs.of(&path);
            if cost > 0 {
                tokio::time::sleep(Duration::from_millis(cost)).await;
            }
            let mut world = lock(&world);
            let up = world.servers[index].up;
            up.then(|| world.handle(clock.now(), index, &path, &body))
        }
    };
    serve_json(address, answer).await
}

/// Serves the platform, which promotes servers on demand.
pub async fn platform(
    world: SharedWorld,
    address: SocketAddr,
    clock: Clock,
    costs: Arc<Costs>,
) -> eyre::Result<()> {
    let answer = move |path: String, body: Value| {
        let (world, costs) = (world.clone(), costs.clone());
        async move {
            if path != "/promote" {
                return Some(Err((404, "no such path".into())));
            }
            tokio::time::sleep(Duration::from_millis(costs.promote)).await;
            let server = body["server"].as_str().unwrap_or("");
            Some(lock(&world).promote(clock.now(), server))
        }
    };
    serve_json(address, answer).await
}

/// What one server announced last.
#[derive(Clone, Default)]
struct Announced {
    body: Value,
    rounds: u32,
}

/// Announces each server that is up to the nodes in turn: when it changed, and now and then.
pub async fn announce(
    world: SharedWorld,
    servers: Vec<SocketAddr>,
    nodes: Vec<SocketAddr>,
    back: Back,
) {
    let mut turn = 0;
    let mut announced = vec![Announced::default(); servers.len()];
    loop {
        for (index, address) in servers.iter().enumerate() {
            let Some(body) = announcement(&world, index, address) else {
                continue;
            };
            let last = &mut announced[index];
            last.rounds += 1;
            if body == last.body && !last.rounds.is_multiple_of(ANNOUNCE_AGAIN) {
                continue;
            }
            turn += 1;
            let to = nodes[turn % nodes.len()].into();
            let answer = back
                .post(to, "/announce", &body, u64::MAX, ANNOUNCE_TIMEOUT_MS)
                .await;
            if matches!(answer, HttpRes::Ok(_)) {
                last.body = body;
            }
        }
        tokio::time::sleep(ANNOUNCE_PERIOD).await;
    }
}

fn announcement(world: &SharedWorld, index: usize, address: &SocketAddr) -> Option<Value> {
    let world = lock(world);
    let up = world.servers[index].up;
    up.then(|| world.announcement(index, &address.to_string()))
}

/// Lets the replicas catch up as time goes on.
pub async fn replicate(world: SharedWorld, clock: Clock) {
    loop {
        lock(&world).tick(clock.now());
        tokio::time::sleep(REPLICATION_PERIOD).await;
    }
}
