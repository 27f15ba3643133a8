//! HTTP/1.1 as far as the stand-ins need it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// A request that a stand-in took.
pub struct Heard {
    pub method: String,
    pub path: String,
    /// The head, in small letters.
    pub head: String,
    pub body: String,
}

impl Heard {
    /// The value of a header, by its name in small letters.
    pub fn header(&self, name: &str) -> Option<&str> {
        let line = self.head.lines().find(|l| l.starts_with(&format!("{name}:")))?;
        line.split_once(':').map(|(_, value)| value.trim())
    }

    /// The text of a field of a flat JSON body.
    pub fn field(&self, name: &str) -> Option<String> {
        let (_, rest) = self.body.split_once(&format!("\"{name}\""))?;
        let (_, rest) = rest.split_once('"')?;
        rest.split_once('"').map(|(value, _)| value.to_string())
    }
}

fn read(s: &mut TcpStream, all: &mut Vec<u8>) -> Option<(String, String)> {
    let mut part = [0u8; 4096];
    loop {
        let text = String::from_utf8_lossy(all).to_string();
        if let Some(end) = text.find("\r\n\r\n") {
            let head = text[..end].to_string();
            let length = head
                .lines()
                .filter_map(|l| l.split_once(':'))
                .find(|(k, _)| k.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, v)| v.trim().parse::<usize>().ok())
                .unwrap_or(0);
            if all.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&all[end + 4..end + 4 + length]).to_string();
                all.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        match s.read(&mut part) {
            Ok(n) if n > 0 => all.extend(&part[..n]),
            _ => return None,
        }
    }
}

/// Calls, and gives status and body; none for silence or a failure.
pub fn call(to: &str, method: &str, path: &str, body: &str, limit_ms: u64) -> Option<(u16, String)> {
    let limit = Duration::from_millis(limit_ms);
    let began = Instant::now();
    let address: SocketAddr = to.parse().ok()?;
    let mut s = TcpStream::connect_timeout(&address, limit).ok()?;
    let rest = limit.checked_sub(began.elapsed())?.max(Duration::from_millis(1));
    s.set_read_timeout(Some(rest)).ok()?;
    s.set_nodelay(true).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    s.write_all(text.as_bytes()).ok()?;
    let (head, body) = read(&mut s, &mut Vec::new())?;
    let code = head.split(' ').nth(1)?.parse().ok()?;
    Some((code, body))
}

/// Serves calls at an address until the process ends.
pub fn serve(at: &str, answer: impl Fn(&Heard) -> (u16, String) + Send + Sync + Clone + 'static) {
    let ear = TcpListener::bind(at).expect("listen");
    thread::spawn(move || {
        for s in ear.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let (mut s, mut all) = (s, Vec::new());
                while let Some((head, body)) = read(&mut s, &mut all) {
                    let first = head.lines().next().unwrap_or("").to_string();
                    let mut words = first.split(' ');
                    let heard = Heard {
                        method: words.next().unwrap_or("").into(),
                        path: words.next().unwrap_or("").into(),
                        head: head.to_lowercase(),
                        body,
                    };
                    let (code, body) = answer(&heard);
                    let text = format!(
                        "HTTP/1.1 {code} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if s.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}
