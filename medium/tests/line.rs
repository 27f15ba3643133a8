use medium::line::{framed, hear, write};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tenet::base::Addr;
use tenet::state::{Ask, Op};
use tenet::wire::{encode, Msg, Packet};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};

type Got = Arc<(Mutex<Vec<Vec<u8>>>, Notify)>;

fn packet(n: usize) -> Packet {
    let text = (0..n)
        .map(|i| char::from(b'a' + (i * i % 23) as u8))
        .collect();
    let ask = Ask {
        question: 0,
        id: n as u64,
        from: Addr::NONE,
        at: 0,
        op: Op::Publish {
            version: 1,
            document: 1,
            text,
        },
    };
    Packet {
        from: 1,
        addr: Addr::NONE,
        cluster: 7,
        msg: Msg::Propose { ask },
    }
}

async fn ear() -> (std::net::SocketAddr, Got) {
    let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = l.local_addr().unwrap();
    let got: Got = Arc::default();
    let g = got.clone();
    tokio::spawn(async move {
        while let Ok((s, from)) = l.accept().await {
            let g = g.clone();
            let sink = Arc::new(move |p: Packet| {
                g.0.lock().unwrap().push(encode(&p));
                g.1.notify_one();
            });
            tokio::spawn(hear(s, from, sink));
        }
    });
    (at, got)
}

async fn passes(far: bool) {
    let (at, got) = ear().await;
    let (tx, rx) = mpsc::channel(64);
    let line = tokio::spawn(write(at, rx, far));
    let sizes = [0, 1, 200, 4000, 4096, 5000, 70_000, 300, 900_000, 3];
    for n in sizes {
        tx.send((Instant::now(), framed(encode(&packet(n)))))
            .await
            .unwrap();
    }
    while got.0.lock().unwrap().len() < sizes.len() {
        got.1.notified().await;
    }
    let want: Vec<Vec<u8>> = sizes.iter().map(|n| encode(&packet(*n))).collect();
    assert!(
        *got.0.lock().unwrap() == want,
        "far {far}: not what was sent, or not in order"
    );
    drop(tx);
    line.await.unwrap();
}

#[tokio::test]
async fn what_is_sent_arrives_whole_and_in_order_with_and_without_compression() {
    passes(false).await;
    passes(true).await;
}

#[tokio::test]
async fn a_line_of_rubbish_ends_and_the_next_one_is_heard() {
    let (at, got) = ear().await;
    for bad in [
        &b"\x00\xff\xff\xff\x7f"[..],
        b"\x01not deflated at all",
        b"\x00\x03\x00\x00\x80abc",
        b"\x00\x03\x00\x00\x00abc",
    ] {
        let mut s = TcpStream::connect(at).await.unwrap();
        s.write_all(bad).await.unwrap();
        let mut end = Vec::new();
        let _ = tokio::io::AsyncReadExt::read_to_end(&mut s, &mut end).await;
        assert!(end.is_empty());
    }
    let (tx, rx) = mpsc::channel(4);
    tokio::spawn(write(at, rx, true));
    tx.send((Instant::now(), framed(encode(&packet(9)))))
        .await
        .unwrap();
    while got.0.lock().unwrap().is_empty() {
        got.1.notified().await;
    }
    assert_eq!(got.0.lock().unwrap().len(), 1);
}
