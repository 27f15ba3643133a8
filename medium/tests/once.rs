//! A peer that resets its line after any byte: what was begun to be written there is written on no
//! other line.

use medium::net::Net;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tenet::base::Addr;
use tenet::kind::{Kind, Reject};
use tenet::wire::{Msg, Packet};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const PACKETS: u64 = 40;
/// Bytes of a frame before the number of the attempt: length, generation, sender, its address,
/// cluster, kind of message, who asked, who was asked.
const BEFORE_NUMBER: usize = 4 + 1 + 8 + 18 + 8 + 4 + 8 + 8;
const NUMBER: usize = 8;

fn packet(go: u64) -> Packet {
    Packet {
        from: 1,
        addr: Addr::NONE,
        cluster: 7,
        msg: Msg::Carried {
            to: 2,
            asked: 4,
            go,
            clock: 3,
            done: Err(Reject::new(Kind::Busy, "x")),
        },
    }
}

/// Numbers of the packets that were begun in the bytes of one line, as far as they can be read.
fn begun(line: &[u8]) -> Vec<u64> {
    let mut numbers = Vec::new();
    let mut rest = line.get(1..).unwrap_or(&[]);
    while rest.len() >= BEFORE_NUMBER + NUMBER {
        let number = &rest[BEFORE_NUMBER..BEFORE_NUMBER + NUMBER];
        numbers.push(u64::from_le_bytes(number.try_into().unwrap()));
        let length = u32::from_le_bytes(rest[..4].try_into().unwrap()) as usize;
        rest = rest.get(4 + length..).unwrap_or(&[]);
    }
    numbers
}

type Lines = Arc<Mutex<Vec<Vec<u8>>>>;

/// Hears lines and resets each after `most` bytes.
async fn resetting_peer(most: usize) -> (SocketAddr, Lines) {
    let ear = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = ear.local_addr().unwrap();
    let lines = Lines::default();
    let all = lines.clone();
    tokio::spawn(async move {
        while let Ok((mut tcp, _)) = ear.accept().await {
            let mut line = Vec::new();
            while line.len() < most {
                match tcp.read_u8().await {
                    Ok(byte) => line.push(byte),
                    Err(_) => break,
                }
            }
            let _ = tcp.set_zero_linger();
            all.lock().unwrap().push(line);
        }
    });
    (at, lines)
}

#[tokio::test]
async fn a_packet_that_was_begun_on_a_line_is_written_on_no_other() {
    let net = Net::start("127.0.0.1:0".parse().unwrap(), Arc::new(|_| ())).await;
    let net = net.unwrap();
    for most in (1 + BEFORE_NUMBER + NUMBER..338).step_by(9) {
        let (peer, lines) = resetting_peer(most).await;
        for go in 1..=PACKETS {
            net.send(peer.into(), &packet(go));
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        let lines = lines.lock().unwrap().clone();
        let numbers: Vec<u64> = lines.iter().flat_map(|l| begun(l)).collect();
        assert!(
            lines.len() > 1 && numbers.len() > 3,
            "reset at {most}: {numbers:?}"
        );
        let mut once = numbers.clone();
        once.dedup();
        once.sort_unstable();
        once.dedup();
        assert_eq!(once.len(), numbers.len(), "reset at {most}: {numbers:?}");
        assert!(
            numbers.iter().all(|n| (1..=PACKETS).contains(n)),
            "{numbers:?}"
        );
    }
}
