//! TCP connections with bounded times, and HTTP connections that are used again.

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, Socket};
use std::collections::HashMap;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tenet::base::{Time, BYTES_ACK};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// How long connecting may take.
const CONNECT: Duration = Duration::from_millis(400);
/// Largest answer that is read, in bytes.
const ANSWER: usize = 16 << 20;
/// Most idle connections to one address.
const IDLE: usize = 256;

/// Connects within `limit`; bytes unacknowledged for `unacked` ms end the connection, and closing it
/// drops what was not sent.
pub async fn connect(to: SocketAddr, limit: Duration, unacked: Time) -> io::Result<TcpStream> {
    let s = tokio::time::timeout(limit, TcpStream::connect(to)).await??;
    s.set_nodelay(true)?;
    let r = SockRef::from(&s);
    r.set_linger(Some(Duration::ZERO))?;
    r.set_tcp_user_timeout(Some(Duration::from_millis(unacked)))?;
    Ok(s)
}

/// Whether the other side has neither sent nor closed, by the kernel's word. The runtime's own
/// readiness may lag behind it, and what lies there unread is no answer to the next question.
pub fn is_quiet(s: &Socket) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    s.peek(&mut byte)
        .is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

/// A stream that two hold: hyper, which reads and writes, and the link, which closes it at once. Aborting hyper's task
/// would close it only when the runtime comes to that, and what the kernel held could arrive meanwhile.
#[derive(Clone)]
struct SharedStream(Arc<Mutex<Option<TcpStream>>>);

impl SharedStream {
    fn new(stream: TcpStream) -> SharedStream {
        SharedStream(Arc::new(Mutex::new(Some(stream))))
    }

    fn locked(&self) -> MutexGuard<'_, Option<TcpStream>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close(&self) {
        drop(self.locked().take());
    }

    fn is_quiet(&self) -> bool {
        let stream = self.locked();
        stream.as_ref().is_some_and(|s| is_quiet(&SockRef::from(s)))
    }

    fn poll<T>(
        &self,
        work: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.locked().as_mut() {
            Some(stream) => work(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll(|stream| stream.poll_read(context, buffer))
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll(|stream| stream.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll(|stream| stream.poll_write_vectored(context, slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll(|stream| stream.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll(|stream| stream.poll_shutdown(context))
    }
}

/// An HTTP connection, closed when it is dropped: what was not sent by then is never sent.
pub struct Link {
    send: SendRequest<Full<Bytes>>,
    stream: SharedStream,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.stream.close();
        self.task.abort();
    }
}

/// How a request went.
pub enum Went {
    /// The other side answered with this status and body.
    Answer(u16, Bytes),
    /// Nothing was sent; the request is given back.
    NotSent(Box<Request<Full<Bytes>>>),
    /// It is not known what the other side did.
    Lost,
}

impl Link {
    /// Connects.
    pub async fn open(to: SocketAddr) -> io::Result<Link> {
        let s = connect(to, CONNECT, BYTES_ACK).await?;
        let stream = SharedStream::new(s);
        let shared = TokioIo::new(stream.clone());
        let (send, conn) = handshake(shared).await.map_err(io::Error::other)?;
        let ended = stream.clone();
        let task = tokio::spawn(async move {
            let _ = conn.await;
            ended.close();
        });
        Ok(Link {
            send,
            stream,
            task: task.abort_handle(),
        })
    }

    fn is_quiet(&self) -> bool {
        self.stream.is_quiet()
    }

    /// Sends a request and waits for its answer.
    pub async fn go(&mut self, r: Request<Full<Bytes>>) -> Went {
        match self.send.try_send_request(r).await {
            Ok(r) => read(r).await,
            Err(mut e) => e
                .take_message()
                .map_or(Went::Lost, |r| Went::NotSent(Box::new(r))),
        }
    }
}

async fn read(r: Response<Incoming>) -> Went {
    let code = r.status().as_u16();
    let b = Limited::new(r.into_body(), ANSWER).collect().await;
    b.map_or(Went::Lost, |b| Went::Answer(code, b.to_bytes()))
}

/// Idle connections by address.
#[derive(Default)]
pub struct Links {
    idle: Mutex<HashMap<SocketAddr, Vec<Link>>>,
}

impl Links {
    /// Takes an idle connection that is still open.
    pub fn take(&self, to: SocketAddr) -> Option<Link> {
        let mut g = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        let v = g.get_mut(&to)?;
        v.retain(|l| l.send.is_ready());
        while let Some(l) = v.pop() {
            if l.is_quiet() {
                return Some(l);
            }
        }
        None
    }

    /// Gives a connection back for later requests.
    pub fn put(&self, to: SocketAddr, l: Link) {
        let mut g = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        let v = g.entry(to).or_default();
        if v.len() < IDLE && !l.send.is_closed() {
            v.push(l);
        }
    }
}
