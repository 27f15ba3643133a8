use crate::clock::Clock;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tenet::base::{Addr, Time};
use tenet::front::BackRes;
use volo_http::body::BodyConversion;
use volo_http::client::{Client, ClientBuilder};
use volo_http::error::client::ErrorKind;
use volo_http::http::Method;

#[derive(Clone)]
pub struct Back {
    client: Client,
    clock: Clock,
}

impl Back {
    pub fn new(clock: Clock) -> eyre::Result<Back> {
        let mut b = ClientBuilder::new();
        b.set_connect_timeout(Duration::from_millis(400));
        b.set_max_idle_per_host(256);
        let client = b.build().map_err(|e| eyre::eyre!("client: {e}"))?;
        Ok(Back { client, clock })
    }

    pub async fn post(&self, to: Addr, path: &str, body: &Value, not_after: Time, timeout: Time) -> BackRes {
        if to == Addr::NONE || self.clock.now() >= not_after {
            return BackRes::NotSent;
        }
        self.send(Method::POST, to, path, body, timeout).await
    }

    pub async fn send(&self, m: Method, to: Addr, path: &str, body: &Value, timeout: Time) -> BackRes {
        let url = format!("http://{}{path}", SocketAddr::from(to));
        let job = async {
            let r = self.client.request(m, url.as_str()).json(body).send().await;
            match r {
                Err(e) if matches!(e.kind(), ErrorKind::Connect | ErrorKind::Builder) => BackRes::NotSent,
                Err(_) => BackRes::Lost,
                Ok(r) => {
                    let code = r.status().as_u16();
                    match r.into_string().await {
                        Err(_) => BackRes::Lost,
                        Ok(s) if code == 200 => serde_json::from_str(&s).map_or(BackRes::Lost, BackRes::Ok),
                        Ok(s) => BackRes::Rejected(code, s),
                    }
                }
            }
        };
        let t = Duration::from_millis(timeout);
        tokio::time::timeout(t, job).await.unwrap_or(BackRes::Lost)
    }

    pub async fn get(&self, to: SocketAddr, path: &str) -> Option<Value> {
        let url = format!("http://{to}{path}");
        let job = async {
            let r = self.client.get(url.as_str()).send().await.ok()?;
            let ok = r.status().is_success();
            let s = r.into_string().await.ok()?;
            ok.then(|| serde_json::from_str(&s).ok()).flatten()
        };
        tokio::time::timeout(Duration::from_millis(1500), job).await.ok().flatten()
    }
}
