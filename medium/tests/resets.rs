//! A server behind HTTP that resets its connection after each byte of a request or of its answer: a
//! request of which a byte left is sent on no other connection.

use medium::back::Back;
use medium::clock::Clock;
use medium::traffic::Servers;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tenet::front::BackCall;
use tenet::query::{BackRes, Got, Query};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const BODY: &str = r#"{"pos":7,"result":"x"}"#;

fn answer() -> String {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json";
    format!("{head}\r\ncontent-length: {}\r\n\r\n{BODY}", BODY.len())
}

/// Bytes of requests that arrived, for each connection.
type Arrived = Arc<Mutex<Vec<usize>>>;

/// Reads whole requests of `size` bytes. The first `good` are answered; then the connection is reset
/// after `at` bytes of the next request and its answer.
async fn serve(
    mut tcp: TcpStream,
    size: usize,
    good: usize,
    at: usize,
    arrived: Arrived,
) -> Option<()> {
    tcp.set_nodelay(true).ok()?;
    let me = {
        let mut all = arrived.lock().unwrap();
        all.push(0);
        all.len() - 1
    };
    for i in 0..=good {
        let end = if i < good { size } else { at.min(size) };
        for _ in 0..end {
            tcp.read_u8().await.ok()?;
            arrived.lock().unwrap()[me] += 1;
        }
        let whole = answer();
        let cut = if i < good {
            whole.len()
        } else {
            at.saturating_sub(size)
        };
        tcp.write_all(&whole.as_bytes()[..cut]).await.ok()?;
    }
    tokio::time::sleep(Duration::from_millis(5)).await;
    tcp.set_zero_linger().ok()
}

async fn server(size: usize, good: usize, at: usize) -> (SocketAddr, Arrived) {
    let ear = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = ear.local_addr().unwrap();
    let arrived = Arrived::default();
    let all = arrived.clone();
    tokio::spawn(async move {
        while let Ok((tcp, _)) = ear.accept().await {
            tokio::spawn(serve(tcp, size, good, at, all.clone()));
        }
    });
    (to, arrived)
}

async fn store(back: &Rc<Back>, to: SocketAddr) -> BackRes {
    let query = Query::Run {
        conn: 1,
        id: Some("a".into()),
        writes: true,
        body: "1".into(),
        after: 0,
    };
    let call = BackCall {
        token: 1,
        to: to.into(),
        query,
        not_after: u64::MAX,
        timeout: 1000,
    };
    back.clone().call(call).await
}

/// How many bytes one request has; the port has five digits wherever it is asked.
async fn size_of_request() -> usize {
    let (to, arrived) = server(usize::MAX, 0, usize::MAX).await;
    let back = Rc::new(Back::new(Clock::new()).unwrap());
    let _ = tokio::time::timeout(Duration::from_millis(100), store(&back, to)).await;
    let size = arrived.lock().unwrap()[0];
    assert_eq!(to.port().to_string().len(), 5);
    size
}

#[tokio::test]
async fn a_request_that_was_reset_after_any_byte_is_lost_and_not_sent_again() {
    let size = size_of_request().await;
    for at in 1..size + answer().len() {
        let (to, arrived) = server(size, 0, at).await;
        let back = Rc::new(Back::new(Clock::new()).unwrap());
        let result = store(&back, to).await;
        assert!(matches!(result, BackRes::Lost), "reset at {at}: {result:?}");
        assert_eq!(*arrived.lock().unwrap(), [at.min(size)], "reset at {at}");
    }
}

#[tokio::test]
async fn a_request_on_a_kept_connection_that_was_reset_after_any_byte_is_not_sent_again() {
    let size = size_of_request().await;
    for at in 1..size + answer().len() {
        let (to, arrived) = server(size, 1, at).await;
        let back = Rc::new(Back::new(Clock::new()).unwrap());
        let first = store(&back, to).await;
        assert!(matches!(first, BackRes::Ok(Got::Ran { .. })), "{first:?}");
        let result = store(&back, to).await;
        assert!(matches!(result, BackRes::Lost), "reset at {at}: {result:?}");
        assert_eq!(
            *arrived.lock().unwrap(),
            [size + at.min(size)],
            "reset at {at}"
        );
    }
}

#[tokio::test]
async fn a_status_that_promises_nothing_is_no_refusal() {
    for (status, refused) in [
        (500, false),
        (502, false),
        (504, false),
        (503, true),
        (429, true),
    ] {
        let ear = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = ear.local_addr().unwrap();
        tokio::spawn(async move {
            let (mut tcp, _) = ear.accept().await.ok()?;
            let mut byte = [0u8; 4096];
            let _ = tcp.read(&mut byte).await.ok()?;
            let answer = format!("HTTP/1.1 {status} x\r\ncontent-length: 0\r\n\r\n");
            tcp.write_all(answer.as_bytes()).await.ok()?;
            tokio::time::sleep(Duration::from_millis(200)).await;
            Some(())
        });
        let back = Rc::new(Back::new(Clock::new()).unwrap());
        let result = store(&back, to).await;
        let is_refused = matches!(result, BackRes::Rejected(..));
        assert_eq!(is_refused, refused, "{status}: {result:?}");
        assert!(
            is_refused || matches!(result, BackRes::Lost),
            "{status}: {result:?}"
        );
    }
}

/// Answers each request twice, the second time while nobody asks.
fn doubling_server() -> SocketAddr {
    let ear = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = ear.local_addr().unwrap();
    std::thread::spawn(move || {
        use std::io::{Read, Write};
        while let Ok((mut tcp, _)) = ear.accept() {
            let mut request = [0u8; 4096];
            let _ = tcp.read(&mut request).unwrap();
            tcp.write_all(answer().as_bytes()).unwrap();
            std::thread::sleep(Duration::from_millis(30));
            tcp.write_all(answer().replace(":\"x", ":\"y").as_bytes())
                .unwrap();
        }
    });
    at
}

#[tokio::test]
async fn an_answer_that_comes_twice_is_not_the_answer_to_the_next_request() {
    let to = doubling_server();
    let back = Rc::new(Back::new(Clock::new()).unwrap());
    let first = store(&back, to).await;
    assert!(matches!(first, BackRes::Ok(Got::Ran { .. })), "{first:?}");
    // The process is busy meanwhile, so its runtime has not seen the second answer arrive.
    std::thread::sleep(Duration::from_millis(60));
    match store(&back, to).await {
        BackRes::Ok(Got::Ran { result, .. }) => assert_eq!(result, "\"x\""),
        other => panic!("{other:?}"),
    }
}
