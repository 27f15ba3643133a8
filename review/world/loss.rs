//! A primary crashes while one replica leaves or is emptied and the other has received nothing for a
//! while. Every commit that was acknowledged must be in the log of the server that is promoted.

use crate::{unplayed, Client, End, Stage};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 12;
/// Pause of a client between two writes.
const PAUSE: Duration = Duration::from_millis(30);

fn write_on(stage: &Stage, n: usize, acknowledged: &Mutex<Vec<String>>, over: &AtomicBool) {
    let front = &stage.fronts[n % stage.fronts.len()];
    let mut client = None;
    while !over.load(Ordering::Relaxed) {
        thread::sleep(PAUSE);
        let Some(c) = client.as_mut() else {
            client = Client::open(front, &stage.host, &format!("u{n}"));
            continue;
        };
        let id = format!("w{n}x{}", stage.service.number());
        match Client::ask(c, &id, &format!("STORE k{n} v")) {
            End::Done { stamp, .. } => {
                stage.service.note(&format!("client {n} has {id} acknowledged, {stamp}"));
                acknowledged.lock().unwrap().push(id);
            }
            End::Refused(why) => stage.service.note(&format!("client {n}: {id} {why}")),
            End::Cut => client = None,
        }
    }
}

fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn play(stage: &Stage) -> ! {
    let s = &stage.service;
    let acknowledged: Arc<Mutex<Vec<String>>> = Arc::default();
    let over = AtomicBool::new(false);
    let near = stage.argument("near") == "1";
    if near {
        // Server 1 stands in the primary's region, in another zone, and hears everything.
        s.state().servers[1].net = Duration::from_millis(1);
    }
    let mut checked = String::new();
    let mut broken = Vec::new();
    thread::scope(|scope| {
        for n in 0..CLIENTS {
            let (acknowledged, over) = (&acknowledged, &over);
            scope.spawn(move || write_on(stage, n, acknowledged, over));
        }
        sleep(1500);
        // Planned: server 1, a replica, begins to leave, or its zone is emptied, or it says that it has left.
        let (id, zone) = {
            let g = s.state();
            (g.servers[1].id.clone(), g.servers[1].zone.clone())
        };
        let planned = match stage.argument("planned") {
            "drain" => {
                s.state().servers[1].draining = true;
                true
            }
            "evacuate" => {
                let path = format!("{}{zone}", s.words["evacuate"]);
                stage.order("POST", &path, "", Duration::from_secs(6))
            }
            "depart" => {
                s.state().servers[1].gone = true;
                sleep(100);
                let path = format!("{}{id}", s.words["beat"]);
                stage.order("DELETE", &path, "", Duration::from_secs(6))
            }
            _ => true,
        };
        if !planned {
            unplayed(stage, "the planned work was not acknowledged");
        }
        sleep(1500);
        if stage.trouble {
            // Server 2, the other replica, receives nothing for a while, and the primary crashes meanwhile.
            if !near {
                s.note("server 2 receives nothing");
                s.state().servers[2].deaf = true;
            }
            sleep(1000);
            s.note("server 0, the primary, crashes");
            s.crash(0);
        }
        let began = Instant::now();
        let promoted = || !s.state().promoted.is_empty();
        while stage.trouble && !promoted() && began.elapsed() < Duration::from_millis(4500) {
            sleep(20);
        }
        sleep(500);
        if stage.trouble && !near {
            s.note("server 2 receives again");
            s.state().servers[2].deaf = false;
        }
        while stage.trouble && !promoted() && began.elapsed() < Duration::from_secs(20) {
            sleep(20);
            if began.elapsed() > Duration::from_secs(7) && !s.state().servers[0].up {
                s.note("server 0 is back with its log");
                s.back(0);
            }
        }
        over.store(true, Ordering::Relaxed);
        let at_promotion = s.state().promoted.first().cloned();
        let all = acknowledged.lock().unwrap().clone();
        checked = format!("{} commits were acknowledged", all.len());
        if let Some((i, log)) = at_promotion {
            let before = format!("{checked}, server {i} was promoted with {}", log.len());
            checked = before;
            // What was acknowledged after the promotion is not in that log; it stands in the log of now.
            let g = s.state();
            let now: Vec<String> = g.servers[i].log.iter().map(|(e, _)| e.commit.clone()).collect();
            drop(g);
            let lost = all.iter().filter(|id| !log.contains(id) && !now.contains(id));
            broken.extend(lost.map(|id| format!("LOST: {id} was acknowledged and is not in the log of server {i}")));
        }
    });
    if stage.trouble && s.state().promoted.is_empty() {
        unplayed(stage, "nobody was promoted");
    }
    stage.judge(&broken, &checked)
}
