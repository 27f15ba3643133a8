//! Lines as the pages have them: a message ends with CR LF, and its last field extends to there.

use std::io::{Read, Write};
use std::net::TcpStream;

pub struct Line {
    pub tcp: TcpStream,
    buffer: Vec<u8>,
}

impl Line {
    pub fn new(tcp: TcpStream) -> Line {
        let _ = tcp.set_nodelay(true);
        Line {
            tcp,
            buffer: Vec::new(),
        }
    }

    /// The next message without its CR LF; none when the connection ends or is silent too long.
    pub fn read(&mut self) -> Option<String> {
        let mut part = [0u8; 4096];
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).to_string();
                self.buffer.drain(..end + 2);
                return Some(text);
            }
            match self.tcp.read(&mut part) {
                Ok(n) if n > 0 => self.buffer.extend(&part[..n]),
                _ => return None,
            }
        }
    }

    pub fn send(&mut self, text: &str) -> bool {
        self.tcp.write_all(text.as_bytes()).is_ok()
    }
}

/// The first word and the rest.
pub fn cut(text: &str) -> (&str, &str) {
    text.split_once(' ').unwrap_or((text, ""))
}
