use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use crate::link::connect;
use std::time::{Duration, Instant};
use tenet::base::{Addr, LINE_ACK, LINE_OLD};
use tenet::wire::{by_line, decode, encode, Packet};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;

const OLD: Duration = Duration::from_millis(LINE_OLD);
const QUIET: Duration = Duration::from_secs(60);
const LARGE: usize = 16 << 20;
const QUEUE: usize = 4096;

type Letter = (Instant, Vec<u8>);

pub struct Net {
    udp: Arc<UdpSocket>,
    lines: Mutex<HashMap<Addr, mpsc::Sender<Letter>>>,
    rt: tokio::runtime::Handle,
}

pub type Sink = Arc<dyn Fn(Packet) + Send + Sync>;

impl Net {
    pub async fn start(at: SocketAddr, sink: Sink) -> std::io::Result<Arc<Net>> {
        let udp = Arc::new(UdpSocket::bind(at).await?);
        let tcp = TcpListener::bind(at).await?;
        let rt = tokio::runtime::Handle::current();
        tokio::spawn(hear_udp(udp.clone(), sink.clone()));
        tokio::spawn(hear_tcp(tcp, sink));
        Ok(Arc::new(Net { udp, lines: Mutex::new(HashMap::new()), rt }))
    }

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
        self.rt.spawn(write_line(to.into(), rx));
        tx
    }
}

async fn write_line(to: SocketAddr, mut rx: mpsc::Receiver<Letter>) {
    let Ok(s) = connect(to, OLD, LINE_ACK).await else { return };
    let (mut r, mut w) = s.into_split();
    let mut end = [0u8; 1];
    loop {
        let letter = tokio::select! {
            _ = r.read(&mut end) => return,
            l = rx.recv() => l,
        };
        let Some((at, b)) = letter else { return };
        if at.elapsed() > OLD {
            continue;
        }
        let n = (b.len() as u32).to_le_bytes();
        let put = async {
            w.write_all(&n).await?;
            w.write_all(&b).await
        };
        let limit = OLD + Duration::from_micros(b.len() as u64);
        if !matches!(tokio::time::timeout(limit, put).await, Ok(Ok(()))) {
            return;
        }
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
            tokio::spawn(hear_line(s, from, sink.clone()));
        } else {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn hear_line(mut s: TcpStream, from: SocketAddr, sink: Sink) {
    let _ = s.set_nodelay(true);
    let mut h = [0u8; 4];
    while matches!(tokio::time::timeout(QUIET, s.read_exact(&mut h)).await, Ok(Ok(_))) {
        let n = u32::from_le_bytes(h) as usize;
        if n > LARGE {
            log::warn!("net: {from} announced {n} bytes, line closed");
            return;
        }
        let mut b = Vec::new();
        let got = (&mut s).take(n as u64).read_to_end(&mut b).await;
        if !matches!(got, Ok(m) if m == n) {
            return;
        }
        match decode(&b) {
            Ok(p) => sink(p),
            Err(e) => {
                log::warn!("net: {from} sent what does not read, line closed: {e}");
                return;
            }
        }
    }
}
