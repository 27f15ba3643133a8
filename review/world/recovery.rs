//! A primary crashes, then all processes of the system are killed and start again, while the platform is
//! slow. Requests that are sent later than `recoveryS` after that must be served again.

use crate::{Client, End, Stage};
use std::fs::{self, File};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 12;
const PAUSE: Duration = Duration::from_millis(100);
/// `recoveryS` of the deployment.
const RECOVERY: Duration = Duration::from_secs(12);
/// For how long requests are counted, before and after.
const COUNTED: Duration = Duration::from_secs(8);

/// One request: served, or not.
fn request(stage: &Stage, n: usize, client: &mut Option<Client>) -> (bool, String) {
    let front = &stage.fronts[n % stage.fronts.len()];
    if client.is_none() {
        *client = Client::open(front, &stage.host, &format!("u{n}"));
    }
    let Some(c) = client.as_mut() else {
        return (false, "no session".into());
    };
    let id = format!("w{n}x{}", stage.service.number());
    match c.ask(&id, &format!("STORE k{n} v")) {
        End::Done { .. } => (true, id),
        End::Refused(why) => (false, format!("{id} {why}")),
        End::Cut => {
            *client = None;
            (false, format!("{id} was cut"))
        }
    }
}

pub fn play(stage: &Stage) -> ! {
    let s = &stage.service;
    let over = AtomicBool::new(false);
    let sent: Mutex<Vec<(Instant, bool)>> = Mutex::default();
    let (mut before, mut after) = ((0, 0), (0, 0));
    thread::scope(|scope| {
        for n in 0..CLIENTS {
            let (over, sent) = (&over, &sent);
            scope.spawn(move || {
                let mut client = None;
                while !over.load(Ordering::Relaxed) {
                    thread::sleep(PAUSE);
                    let at = Instant::now();
                    let (served, what) = request(stage, n, &mut client);
                    let how = if served { "served" } else { "not served" };
                    stage.service.note(&format!("client {n}: {how}: {what}"));
                    sent.lock().unwrap().push((at, served));
                }
            });
        }
        let count = |from: Instant, to: Instant| {
            let all = sent.lock().unwrap();
            let of: Vec<bool> = all.iter().filter(|x| x.0 >= from && x.0 < to).map(|x| x.1).collect();
            (of.iter().filter(|served| **served).count(), of.len())
        };
        let began = Instant::now();
        thread::sleep(COUNTED);
        before = count(began, Instant::now());
        if stage.trouble {
            s.note("server 0, the primary, crashes");
            s.crash(0);
            thread::sleep(Duration::from_millis(500));
            let marker = stage.argument("marker").to_string();
            s.note("all processes are to be killed");
            let _ = File::create(&marker);
            let done = format!("{marker}.done");
            while !Path::new(&done).exists() {
                thread::sleep(Duration::from_millis(20));
            }
            let _ = fs::remove_file(done);
            s.note("all processes run again");
        }
        let returned = Instant::now();
        thread::sleep(Duration::from_millis(6500));
        if stage.trouble {
            s.note("server 0 is back with its log");
            s.back(0);
        }
        thread::sleep(RECOVERY.saturating_sub(returned.elapsed()));
        let from = Instant::now();
        s.note("from here on requests count again");
        thread::sleep(COUNTED);
        after = count(from, Instant::now());
        over.store(true, Ordering::Relaxed);
    });
    let checked = format!("before: {} of {} served, after: {} of {}", before.0, before.1, after.0, after.1);
    let mut broken = Vec::new();
    if before.0 * 4 >= before.1 && after.0 * 4 < after.1 {
        broken.push(format!("RECOVER: {checked}"));
    }
    stage.judge(&broken, &checked)
}
