//! TCP connections with bounded times, and HTTP connections that are used again.

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, Socket};
use std::collections::HashMap;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use tenet::base::{Time, BYTES_ACK};
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

/// An HTTP connection, closed when it is dropped.
pub struct Link {
    send: SendRequest<Full<Bytes>>,
    /// The connection's socket, while hyper holds the connection.
    socket: Weak<Socket>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
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
        let socket = Arc::new(SockRef::from(&s).try_clone()?);
        let weak = Arc::downgrade(&socket);
        let (send, conn) = handshake(TokioIo::new(s)).await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            let _ = conn.await;
            drop(socket);
        });
        Ok(Link {
            send,
            socket: weak,
            task: task.abort_handle(),
        })
    }

    fn is_quiet(&self) -> bool {
        self.socket.upgrade().is_some_and(|s| is_quiet(&s))
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
