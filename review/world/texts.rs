//! What clients may send: a line feed inside a field, and an option that looks like a prepared statement.

use crate::{unplayed, Client, End, Stage};

/// A client stores a text of two lines. Its message ends with CR LF, as the pages say.
pub fn line_feed(stage: &Stage) -> ! {
    let s = &stage.service;
    let mut broken = Vec::new();
    let (mut sent, mut kept) = (0, 0);
    for round in 0..6 {
        let front = &stage.fronts[round % stage.fronts.len()];
        let Some(mut client) = Client::open(front, &stage.host, "author") else {
            unplayed(stage, "no session")
        };
        let (id, inner) = (format!("m{}", s.number()), format!("n{}", s.number()));
        let between = if stage.trouble { "\n" } else { " " };
        let text = format!("STORE minutes{round} first{between}QUERY {inner} STORE balance{round} 0");
        s.note(&format!("client sends one message: QUERY {id} {}", text.escape_debug()));
        let end = client.ask(&id, &text);
        s.note(&format!("client is answered: {end:?}"));
        for line in client.unasked(1000) {
            s.note(&format!("and, with nothing asked: {line}"));
        }
        sent += 1;
        for (ran, by_server) in s.ran.lock().unwrap().iter() {
            if *ran == id && *by_server != text {
                broken.push(format!(
                    "UNASKED: {id} was run as {by_server:?}, its client sent {text:?}"
                ));
            }
            if *ran == inner {
                broken.push(format!("UNASKED: {inner} was run ({by_server:?}); no client sent a message with that id"));
            }
            kept += usize::from(*ran == id && *by_server == text);
        }
    }
    stage.judge(&broken, &format!("{sent} messages were sent, {kept} of them run as sent"))
}

/// One client sets an option, another prepares a statement of the same name, and executes it.
pub fn collide(stage: &Stage) -> ! {
    let s = &stage.service;
    let mut broken = Vec::new();
    let mut executed = 0;
    for round in 0..10 {
        let front = &stage.fronts[round % stage.fronts.len()];
        let open = || Client::open(front, &stage.host, &format!("u{round}"));
        let (Some(mut first), Some(mut second)) = (open(), open()) else {
            unplayed(stage, "no session")
        };
        let name = format!("s{round}");
        let other = if stage.trouble { name.clone() } else { format!("t{round}") };
        let ask = |who: usize, client: &mut Client, text: &str| {
            let id = format!("q{}", s.number());
            let end = client.ask(&id, text);
            s.note(&format!("client {who}: {id} {text}: {end:?}"));
            end
        };
        let set = ask(1, &mut first, &format!("SETOPT {name} FETCH q2c"));
        let read = ask(1, &mut first, "FETCH 1a4");
        let prepared = ask(2, &mut second, &format!("PREPARE {other} FETCH q2c"));
        if [&set, &read, &prepared].iter().any(|end| !matches!(end, End::Done { .. })) {
            unplayed(stage, "a statement before was refused");
        }
        let end = ask(2, &mut second, &format!("EXECUTE {other} 1a4"));
        executed += 1;
        if let End::Refused(why) = end {
            s.note(&format!("client 2 is refused: {why}"));
        }
    }
    broken.extend(s.broken.lock().unwrap().iter().cloned());
    stage.judge(&broken, &format!("{executed} prepared statements were executed"))
}
