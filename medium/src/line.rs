//! Streams of packets between two processes, compressed between regions.
//!
//! A packet has its length before it, in four bytes; the first byte of a stream tells whether it is
//! compressed.

use crate::link::connect;
use crate::net::Sink;
use flate2::{Compress, Compression, Decompress, FlushCompress, FlushDecompress};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tenet::base::{LINE_ACK, LINE_OLD};
use tenet::wire::decode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// A packet to send, with the time at which it was handed over.
pub type Letter = (Instant, Vec<u8>);

/// Longest packet on a line, in bytes.
pub const LARGE: usize = 16 << 20;
/// A packet that waited longer is dropped.
const OLD: Duration = Duration::from_millis(LINE_OLD);
/// A stream from which nothing came for so long is closed.
const QUIET: Duration = Duration::from_secs(60);
/// First byte of a stream that is not compressed.
const PLAIN: u8 = 0;
/// First byte of a compressed stream.
const DEFLATED: u8 = 1;
/// Bytes that are written at once; larger buffers are given back.
const BATCH: usize = 64 << 10;
/// Bytes that are read or inflated in a step.
const STEP: usize = 4096;
/// A packet from this size on is compressed by itself, in bytes.
const ALONE: usize = 4096;
/// Bit of the length that marks such a packet.
const ALONE_BIT: u32 = 1 << 31;

/// A packet with its length before it; a large one deflated, which the length's top bit tells.
pub fn framed(b: Vec<u8>) -> Vec<u8> {
    let mut v = Vec::with_capacity(b.len() + 4);
    match b.len() < ALONE {
        true => v.extend((b.len() as u32).to_le_bytes()),
        false => v.extend([0; 4]),
    }
    if b.len() < ALONE {
        v.extend(b);
        return v;
    }
    deflate(&mut Compress::new(Compression::fast(), false), &b, &mut v);
    let n = (v.len() - 4) as u32 | ALONE_BIT;
    v[..4].copy_from_slice(&n.to_le_bytes());
    v
}

fn deflate(z: &mut Compress, plain: &[u8], out: &mut Vec<u8>) {
    let mut at = 0;
    loop {
        out.reserve(plain.len() / 2 + 64);
        let was = z.total_in();
        if z.compress_vec(&plain[at..], out, FlushCompress::Sync)
            .is_err()
        {
            return;
        }
        at += (z.total_in() - was) as usize;
        if at == plain.len() && out.len() < out.capacity() {
            return;
        }
    }
}

fn inflate(z: &mut Decompress, mut b: &[u8], out: &mut Vec<u8>) -> Result<(), String> {
    loop {
        out.reserve(STEP);
        let (was, had) = (z.total_in(), out.len());
        z.decompress_vec(b, out, FlushDecompress::Sync)
            .map_err(|e| e.to_string())?;
        b = &b[(z.total_in() - was) as usize..];
        if out.len() > LARGE + 4 {
            return Err("too much in one piece".into());
        }
        if b.is_empty() && out.len() < out.capacity() || z.total_in() == was && out.len() == had {
            return Ok(());
        }
    }
}

/// Writes packets to one process until it is gone, silent or too slow. What waited too long is
/// dropped.
pub async fn write(to: SocketAddr, mut rx: mpsc::Receiver<Letter>, far: bool) {
    let Ok(s) = connect(to, OLD, LINE_ACK).await else {
        return;
    };
    let (mut r, mut w) = s.into_split();
    let mut end = [0u8; 1];
    let mut z = far.then(|| Compress::new(Compression::fast(), false));
    let mut out = vec![if far { DEFLATED } else { PLAIN }];
    let mut plain = Vec::new();
    loop {
        let letter = tokio::select! {
            _ = r.read(&mut end) => return,
            l = rx.recv() => l,
        };
        let mut next = letter;
        if next.is_none() {
            return;
        }
        while let Some((at, b)) = next.take() {
            if at.elapsed() <= OLD {
                plain.extend(b);
            }
            if plain.len() < BATCH {
                next = rx.try_recv().ok();
            }
        }
        match z.as_mut() {
            Some(z) => deflate(z, &plain, &mut out),
            None => out.extend(&plain),
        }
        plain.clear();
        let limit = OLD + Duration::from_micros(out.len() as u64);
        if !matches!(
            tokio::time::timeout(limit, w.write_all(&out)).await,
            Ok(Ok(()))
        ) {
            return;
        }
        out.clear();
        if out.capacity() > BATCH {
            (out, plain) = (Vec::new(), Vec::new());
        }
    }
}

fn packets(buf: &mut Vec<u8>, sink: &Sink) -> Result<(), String> {
    let mut at = 0;
    while let Some(h) = buf.get(at..at + 4) {
        let n = u32::from_le_bytes([h[0], h[1], h[2], h[3]]);
        let (alone, n) = (n & ALONE_BIT != 0, (n & !ALONE_BIT) as usize);
        if n > LARGE {
            return Err(format!("announced {n} bytes"));
        }
        let Some(b) = buf.get(at + 4..at + 4 + n) else {
            break;
        };
        match alone {
            true => {
                let mut whole = Vec::new();
                inflate(&mut Decompress::new(false), b, &mut whole)?;
                sink(decode(&whole)?);
            }
            false => sink(decode(b)?),
        }
        at += 4 + n;
    }
    buf.drain(..at);
    Ok(())
}

/// Reads one line until it ends; what does not read ends it.
pub async fn hear(mut s: TcpStream, from: SocketAddr, sink: Sink) {
    let _ = s.set_nodelay(true);
    let Ok(Ok(form)) = tokio::time::timeout(QUIET, s.read_u8()).await else {
        return;
    };
    let mut z = (form == DEFLATED).then(|| Decompress::new(false));
    let (mut raw, mut buf) = (Vec::with_capacity(STEP), Vec::new());
    loop {
        match tokio::time::timeout(QUIET, s.read_buf(&mut raw)).await {
            Ok(Ok(n)) if n > 0 => (),
            _ => return,
        }
        let got = match z.as_mut() {
            Some(z) => inflate(z, &raw, &mut buf),
            None => {
                buf.extend(&raw);
                Ok(())
            }
        };
        raw.clear();
        if let Err(e) = got.and_then(|_| packets(&mut buf, &sink)) {
            log::warn!("net: {from} sent what does not read, line closed: {e}");
            return;
        }
        if buf.is_empty() && buf.capacity() > BATCH {
            buf = Vec::new();
        }
    }
}
