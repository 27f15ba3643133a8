//! HTTP server: connections, size limits and the end of the process.

use crate::doors::{response, BODY_LIMIT};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tenet::kind::{Kind, Reject};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use volo_http::response::Response;

/// How long a connection may take to send the head of a request.
const HEADERS: Duration = Duration::from_secs(10);
/// A body up to this many bytes is read, also to reject it, so that its connection stays of use.
const READ_LIMIT: usize = 4 * BODY_LIMIT;

async fn told_to_stop() {
    let (Ok(mut t), Ok(mut i)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = t.recv() => (),
        _ = i.recv() => (),
    }
}

async fn answer<F, H>(h: H, r: Request<Incoming>) -> Response
where
    H: Fn(String, String, String, Vec<u8>) -> F,
    F: Future<Output = Response>,
{
    let (head, body) = r.into_parts();
    let query = head.uri.query().unwrap_or("").to_string();
    match Limited::new(body, READ_LIMIT).collect().await {
        Ok(b) => {
            h(
                head.method.to_string(),
                head.uri.path().to_string(),
                query,
                b.to_bytes().to_vec(),
            )
            .await
        }
        Err(e) => response(Err(Reject::new(Kind::TooLarge, e.to_string()))),
    }
}

async fn connection<F, H>(s: TcpStream, h: H)
where
    H: Fn(String, String, String, Vec<u8>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let _ = s.set_nodelay(true);
    let f = service_fn(move |r| {
        let h = h.clone();
        async move { Ok::<_, Infallible>(answer(h, r).await) }
    });
    let mut b = http1::Builder::new();
    b.timer(TokioTimer::new()).header_read_timeout(HEADERS);
    if let Err(e) = b.serve_connection(TokioIo::new(s), f).await {
        log::debug!("http: a connection ended: {e}");
    }
}

/// Serves HTTP/1.1 until SIGTERM or SIGINT, and on while `drain` runs. SIGHUP does not end it, as
/// volo's own server would.
pub async fn serve<F, H, D>(at: SocketAddr, h: H, drain: D) -> eyre::Result<()>
where
    H: Fn(String, String, String, Vec<u8>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
    D: Future<Output = ()>,
{
    let l = TcpListener::bind(at)
        .await
        .map_err(|e| eyre::eyre!("http: listen {at}: {e}"))?;
    let stop = async {
        told_to_stop().await;
        drain.await;
    };
    tokio::pin!(stop);
    loop {
        tokio::select! {
            _ = &mut stop => return Ok(()),
            s = l.accept() => match s {
                Ok((s, _)) => {
                    tokio::spawn(connection(s, h.clone()));
                }
                Err(e) => {
                    log::warn!("http: accept: {e}");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            },
        }
    }
}
