//! HTTP server: connections, size limits and the end of the process.

use crate::doors::{response, BODY_LIMIT};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tenet::kind::{Kind, Reject};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};
use volo_http::http::StatusCode;
use volo_http::response::Response;

/// How long a connection may take to send the head of a request.
const HEADERS: Duration = Duration::from_secs(10);
/// How long it may take to send the body: 1 MiB takes 4 s over a link of 2 Mbit/s.
const BODY: Duration = Duration::from_secs(10);
/// A body up to this many bytes is read, also to reject it, so that its connection stays of use.
const READ_LIMIT: usize = 4 * BODY_LIMIT;
/// Most connections to one address. One more is closed at once, so that its caller goes on to another
/// node; without a bound, peers that send nothing would take the descriptors that the disk needs.
const CONNECTIONS: usize = 1024;
/// How long what was taken may take to be answered after the process has no other work.
const LAST_ANSWERS: Duration = Duration::from_millis(1000);

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

/// The whole body, or the response to a request whose body does not come whole.
async fn whole(body: Incoming) -> Result<Bytes, Response> {
    match timeout(BODY, Limited::new(body, READ_LIMIT).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => {
            let kind = match error.is::<LengthLimitError>() {
                true => Kind::TooLarge,
                false => Kind::BadRequest,
            };
            Err(response(Err(Reject::new(kind, error.to_string()))))
        }
        Err(_) => {
            let late = Reject::new(Kind::TooLate, "the body did not come in time");
            let mut late = response(Err(late));
            *late.status_mut() = StatusCode::REQUEST_TIMEOUT;
            Err(late)
        }
    }
}

async fn answer<F, H>(handler: H, request: Request<Incoming>) -> Response
where
    H: Fn(String, String, String, Vec<u8>) -> F,
    F: Future<Output = Response>,
{
    let (head, body) = request.into_parts();
    let query = head.uri.query().unwrap_or("").to_string();
    let (method, path) = (head.method.to_string(), head.uri.path().to_string());
    match whole(body).await {
        Ok(body) => handler(method, path, query, body.to_vec()).await,
        Err(refusal) => refusal,
    }
}

async fn is_stopping(mut stopping: watch::Receiver<bool>) {
    let _ = stopping.wait_for(|stopping| *stopping).await;
}

/// Serves one connection. Once the process is stopping, a request under way is answered and told to
/// be the last one, and a connection without a request is closed.
async fn connection<F, H>(
    stream: TcpStream,
    handler: H,
    stopping: watch::Receiver<bool>,
    _open: OwnedSemaphorePermit,
) where
    H: Fn(String, String, String, Vec<u8>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(answer(handler, request).await) }
    });
    let lasting = !*stopping.borrow();
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADERS)
        .keep_alive(lasting);
    let served = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let ended = tokio::select! {
        ended = served.as_mut() => ended,
        _ = is_stopping(stopping.clone()), if lasting => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = ended {
        log::debug!("http: a connection ended: {error}");
    }
}

/// Serves HTTP/1.1 until SIGTERM or SIGINT, and on while `drain` runs; then what was taken is
/// answered. SIGHUP does not end it, as volo's own server would.
pub async fn serve<F, H, D>(at: SocketAddr, handler: H, drain: D) -> eyre::Result<()>
where
    H: Fn(String, String, String, Vec<u8>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
    D: Future<Output = ()>,
{
    let listener = TcpListener::bind(at)
        .await
        .map_err(|e| eyre::eyre!("http: listen {at}: {e}"))?;
    let (tell, stopping) = watch::channel(false);
    let stop = async {
        told_to_stop().await;
        let _ = tell.send(true);
        drain.await;
    };
    tokio::select! {
        _ = stop => (),
        _ = accept(&listener, handler, &stopping) => (),
    }
    drop((listener, stopping));
    let _ = timeout(LAST_ANSWERS, tell.closed()).await;
    Ok(())
}

async fn accept<F, H>(listener: &TcpListener, handler: H, stopping: &watch::Receiver<bool>)
where
    H: Fn(String, String, String, Vec<u8>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let free = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("http: accept: {error}");
                sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        if let Ok(open) = free.clone().try_acquire_owned() {
            let served = connection(stream, handler.clone(), stopping.clone(), open);
            tokio::spawn(served);
        }
    }
}
