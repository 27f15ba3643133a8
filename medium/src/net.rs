//! Packets between the processes: small ones as datagrams, others over streams.

use crate::line::{framed, hear, write, Letter, LARGE};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tenet::base::Addr;
use tenet::wire::{by_line, decode, encode, Packet};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;

/// Packets that may wait for a stream.
const QUEUE: usize = 4096;

/// The socket and the streams of a process.
pub struct Net {
    udp: Arc<UdpSocket>,
    lines: Mutex<HashMap<Addr, mpsc::Sender<Letter>>>,
    far: Mutex<HashSet<Addr>>,
    rt: tokio::runtime::Handle,
}

/// Where packets that arrive go.
pub type Sink = Arc<dyn Fn(Packet) + Send + Sync>;

impl Net {
    /// Listens at an address; what arrives goes to `sink`.
    pub async fn start(at: SocketAddr, sink: Sink) -> std::io::Result<Arc<Net>> {
        let udp = Arc::new(UdpSocket::bind(at).await?);
        let tcp = TcpListener::bind(at).await?;
        let rt = tokio::runtime::Handle::current();
        tokio::spawn(hear_udp(udp.clone(), sink.clone()));
        tokio::spawn(hear_tcp(tcp, sink));
        Ok(Arc::new(Net {
            udp,
            lines: Mutex::new(HashMap::new()),
            far: Mutex::default(),
            rt,
        }))
    }

    /// Processes of other regions; lines opened to them from now on are compressed.
    pub fn set_far(&self, v: HashSet<Addr>) {
        *self.far.lock().unwrap_or_else(|e| e.into_inner()) = v;
    }

    /// Sends a packet; it may be lost.
    pub fn send(&self, to: Addr, p: &Packet) {
        let b = encode(p);
        if !by_line(p, b.len()) {
            let _ = self.udp.try_send_to(&b, to.into());
            return;
        }
        if b.len() > LARGE {
            log::error!("net: a packet of {} bytes is too large to send", b.len());
            return;
        }
        let b = framed(b);
        let mut g = self.lines.lock().unwrap_or_else(|e| e.into_inner());
        let line = g.entry(to).or_insert_with(|| self.line(to));
        if let Err(mpsc::error::TrySendError::Closed(b)) = line.try_send((Instant::now(), b)) {
            let l = self.line(to);
            let _ = l.try_send(b);
            g.insert(to, l);
        }
    }

    fn line(&self, to: Addr) -> mpsc::Sender<Letter> {
        let (tx, rx) = mpsc::channel::<Letter>(QUEUE);
        let far = self
            .far
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .contains(&to);
        self.rt.spawn(write(to.into(), rx, far));
        tx
    }
}

async fn hear_udp(udp: Arc<UdpSocket>, sink: Sink) {
    let mut b = vec![0u8; 65536];
    loop {
        match udp.recv_from(&mut b).await {
            Ok((n, from)) => match decode(&b[..n]) {
                Ok(p) => sink(p),
                Err(e) => log::debug!("net: dropped {n} bytes from {from}: {e}"),
            },
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

async fn hear_tcp(tcp: TcpListener, sink: Sink) {
    loop {
        if let Ok((s, from)) = tcp.accept().await {
            tokio::spawn(hear(s, from, sink.clone()));
        } else {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}
