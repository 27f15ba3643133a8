//! A route is moved to another service and back, while a session goes on. A read of the session must see
//! what the session committed before (`owned`).

use crate::{unplayed, Client, End, Stage};
use std::fs;
use std::thread;
use std::time::{Duration, Instant};

const ROUNDS: usize = 12;

pub fn play(stage: &Stage) -> ! {
    let s = &stage.service;
    let first = fs::read_to_string(stage.argument("document")).unwrap_or_default();
    let second = stage.argument("second");
    let gap = Duration::from_millis(stage.argument("gap").parse().unwrap_or(100));
    let at_first = format!("\"backend\":\"{}\",\"maxAttempts\"", s.name);
    let at_second = format!("\"backend\":\"{second}\",\"maxAttempts\"");
    let document = |version: usize, moved: bool| {
        let text = first.replace("\"revision\":7", &format!("\"revision\":{version}"));
        match moved {
            true => text.replace(&at_first, &at_second),
            false => text,
        }
    };
    let path = s.words["config"].clone();
    let (mut broken, mut reads) = (Vec::new(), 0);
    for round in 0..ROUNDS {
        let front = &stage.fronts[round % stage.fronts.len()];
        let Some(mut client) = Client::open(front, &stage.host, &format!("u{round}")) else {
            unplayed(stage, "no session")
        };
        let number = |prefix: &str| format!("{prefix}{}", s.number());
        // Reads before, so that the node knows the primary's position.
        let began = Instant::now();
        while began.elapsed() < Duration::from_millis(1200) {
            client.ask(&number("a"), "FETCH k");
            thread::sleep(Duration::from_millis(20));
        }
        let own = number("w");
        let version = 10 + 4 * round;
        thread::scope(|scope| {
            let orders = scope.spawn(|| {
                if !stage.trouble {
                    return true;
                }
                let limit = Duration::from_secs(6);
                let moved = stage.order("PUT", &path, &document(version, true), limit);
                thread::sleep(gap);
                moved && stage.order("PUT", &path, &document(version + 1, false), limit)
            });
            let written = client.ask(&own, "STORE k v");
            s.note(&format!("client: {own} STORE k v: {written:?}"));
            if !matches!(written, End::Done { .. }) || !s.ran.lock().unwrap().iter().any(|r| r.0 == own) {
                let _ = orders.join();
                return;
            }
            let began = Instant::now();
            while began.elapsed() < Duration::from_millis(600) {
                let id = number("r");
                let end = client.ask(&id, "FETCH k");
                let ran = s.reads.lock().unwrap().iter().find(|r| r.0 == id).cloned();
                let Some((_, server, applied)) = ran else {
                    s.note(&format!("client: {id} FETCH k, not at this service: {end:?}"));
                    continue;
                };
                reads += 1;
                let lead = s.state().lead;
                let place = lead.and_then(|lead| {
                    let g = s.state();
                    g.servers[lead].log.iter().position(|(e, _)| e.commit == own)
                });
                let lacks = place.is_some_and(|place| place >= applied);
                s.note(&format!("client: {id} FETCH k at server {server}, lacks {own}: {lacks}"));
                if lacks && matches!(end, End::Done { .. }) {
                    broken.push(format!(
                        "STALE: {id} was read {} ms after {own} was acknowledged to its session, at server {server} without it",
                        began.elapsed().as_millis()
                    ));
                }
            }
            let _ = orders.join();
        });
        thread::sleep(Duration::from_millis(500));
    }
    stage.judge(&broken, &format!("{reads} reads after an own commit"))
}
