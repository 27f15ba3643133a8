//! Real sockets: what is given up never arrives, and a silent stream is replaced.

use guise::fleet::until;
use medium::back::Back;
use medium::back::HttpRes;
use medium::clock::Clock;
use medium::net::Net;
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use tenet::base::{mix, Addr, Time};
use tenet::state::{Ask, Op};
use tenet::wire::{Msg, Packet};

fn narrow() -> (TcpListener, SocketAddr) {
    let s = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    s.set_recv_buffer_size(2048).unwrap();
    s.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    s.listen(8).unwrap();
    let l = TcpListener::from(s);
    let a = l.local_addr().unwrap();
    (l, a)
}

fn arrived(l: &TcpListener) -> usize {
    let (mut s, _) = l.accept().unwrap();
    let mut b = Vec::new();
    let _ = s.read_to_end(&mut b);
    b.len()
}

const LONG: usize = 40_000;

fn send_into(timeout: Time) -> usize {
    let rt = tokio::runtime::Runtime::new().unwrap();
    let (l, at) = narrow();
    let b = Back::new(Clock::new()).unwrap();
    let body = json!({"id": "w", "body": "x".repeat(LONG)});
    let r = rt.block_on(b.post(at.into(), "/statement", &body, Time::MAX, timeout));
    assert!(matches!(r, HttpRes::Lost), "{r:?}");
    arrived(&l)
}

#[test]
fn what_the_kernel_still_held_of_a_call_given_up_never_arrives() {
    let n = send_into(300);
    assert!(
        n > 0 && n < LONG,
        "{n} bytes of a statement given up arrived"
    );
}

#[test]
fn what_nobody_takes_dies_in_the_kernel_before_the_caller_gives_up() {
    let n = send_into(120_000);
    assert!(
        n > 0 && n < LONG,
        "{n} bytes of a statement that lay in the kernel arrived"
    );
}

fn long() -> String {
    static TEXT: std::sync::OnceLock<String> = std::sync::OnceLock::new();
    let letter = |i: u64| char::from(b' ' + (mix(i) % 95) as u8);
    TEXT.get_or_init(|| (0..2_000_000).map(letter).collect())
        .clone()
}

fn packet(from: Addr, id: u64) -> Packet {
    let op = Op::Config {
        base: id,
        text: long(),
    };
    Packet {
        from: 1,
        addr: from,
        cluster: 0,
        msg: Msg::Propose {
            ask: Ask {
                question: 0,
                id,
                from,
                at: 0,
                op,
            },
        },
    }
}

fn hear(l: TcpListener, got: Arc<Mutex<Vec<u64>>>, rt: tokio::runtime::Handle) {
    let stuck = l.accept();
    while let Ok((s, from)) = l.accept() {
        s.set_nonblocking(true).unwrap();
        let got = got.clone();
        let sink = Arc::new(move |p: Packet| {
            if let Msg::Propose { ask } = p.msg {
                got.lock().unwrap().push(ask.id);
            }
        });
        rt.spawn(async move {
            medium::line::hear(tokio::net::TcpStream::from_std(s).unwrap(), from, sink).await
        });
    }
    drop(stuck);
}

#[test]
fn a_line_that_went_silent_is_left_for_a_new_one_and_what_waited_is_dropped() {
    let rt = tokio::runtime::Runtime::new().unwrap();
    rt.block_on(async {
        let me = guise::processes::free_port().unwrap();
        let net = Net::start(me, Arc::new(|_| ())).await.unwrap();
        let (l, at) = narrow();
        let got = Arc::new(Mutex::new(Vec::new()));
        let (to, g) = (Addr::from(at), got.clone());
        let h = tokio::runtime::Handle::current();
        std::thread::spawn(move || hear(l, g, h));
        for old in 0..3 {
            net.send(to, &packet(me.into(), old));
        }
        let next = std::sync::atomic::AtomicU64::new(100);
        let (net, got) = (&net, &got);
        until("a packet over a new line", 20_000, || {
            net.send(
                to,
                &packet(
                    me.into(),
                    next.fetch_add(1, std::sync::atomic::Ordering::Relaxed),
                ),
            );
            async move { !got.lock().unwrap().is_empty() }
        })
        .await
        .unwrap();
        let v = got.lock().unwrap().clone();
        assert!(
            v.iter().all(|id| *id >= 100),
            "stale packets came over the new line: {v:?}"
        );
    });
}
