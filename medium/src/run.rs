use crate::back::Back;
use crate::calls::Calls;
use crate::clock::{entropy, wall, Clock};
use crate::doors::{response, serve, App};
use crate::files;
use crate::net::Net;
use crate::settings::{Flags, Place};
use crate::threads::*;
use eyre::{Result, WrapErr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::Duration;
use tenet::control::{Control, In, Start};
use tenet::drain::Drain;
use tenet::front::{Front, FrontIn};
use tenet::handoff::Handoff;
use tenet::wire::Msg;
use volo_http::http::HeaderValue;

fn thread(name: &str, f: impl FnOnce() + Send + 'static) -> Result<()> {
    let n = name.to_string();
    std::thread::Builder::new()
        .name(name.into())
        .spawn(move || {
            let r = std::panic::catch_unwind(std::panic::AssertUnwindSafe(f));
            log::error!("{n}: the thread has ended{}", if r.is_err() { " in a panic" } else { "" });
            std::process::exit(70);
        })
        .map(|_| ())
        .wrap_err("thread")
}

pub fn start(f: Flags, disk: bool) -> Result<()> {
    let p = f.place(disk).unwrap_or_else(|e| {
        eprintln!("{e}");
        std::process::exit(2);
    });
    run(p, disk).map_err(|e| {
        log::error!("node: could not start: {e:#}");
        std::process::exit(1)
    })
}

pub fn run(p: Place, disk: bool) -> Result<()> {
    let rt = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
    let h = rt.handle().clone();
    rt.block_on(go(p, disk, h))
}

async fn go(p: Place, disk: bool, rt: tokio::runtime::Handle) -> Result<()> {
    let clock = Clock::new();
    let seed = entropy();
    let folder = p.data.as_deref().filter(|_| disk).map(files::open).transpose()?;
    let durable = folder.as_ref().and_then(|f| f.durable.clone()).filter(|d| d.id != 0);
    let (tx, rx) = channel::<In>();
    let (ftx, frx) = channel::<FrontIn>();
    let front = (!disk).then(|| ftx.clone());
    let (c2, f2) = (tx.clone(), front.clone());
    let sink = Arc::new(move |p: tenet::wire::Packet| match p.msg {
        Msg::Carry { go, to, by, load } => {
            f2.as_ref().map(|f| f.send(FrontIn::Carry { from: p.from, addr: p.addr, go, to, by, load }));
        }
        Msg::Carried { go, clock, done } => {
            f2.as_ref().map(|f| f.send(FrontIn::Carried { from: p.from, go, clock, done }));
        }
        _ => {
            let _ = c2.send(In::Packet(p));
        }
    });
    let net = Net::start(p.listen, sink).await.wrap_err_with(|| format!("listen {}", p.listen))?;
    let back = Back::new(clock)?;
    let start = Start {
        addr: p.listen.into(),
        http: p.http.into(),
        domain: p.domain.clone(),
        disk,
        seeds: p.seeds.iter().map(|s| (*s).into()).collect(),
        durable,
        seed,
        wall: wall(),
        wire: tenet::wire::WIRE,
    };
    let (control, first) = Control::new(start, clock.now());
    let me = control.me;
    let (give, news) = Handoff::new(None);
    let control_calls = Arc::new(Calls::default());
    let front_calls = Arc::new(Calls::default());
    let drained = Arc::new(AtomicBool::new(false));
    let stopping = Arc::new(AtomicBool::new(false));
    let empty = Arc::new(AtomicBool::new(disk));
    let mut dtx = None;
    if let Some(f) = folder {
        let (a, b) = channel();
        dtx = Some(a);
        let t = tx.clone();
        thread("disk", move || {
            f.serve(b, t, |e| {
                log::error!("disk: {e}; stopping, for what is not synced is not kept");
                std::process::exit(74);
            })
        })?;
    }
    let side = ControlSide {
        clock,
        rx,
        tx: tx.clone(),
        net: net.clone(),
        disk: dtx,
        calls: control_calls.clone(),
        news: give,
        front: front.clone(),
        back: back.clone(),
        platform: p.platform,
        rt: rt.clone(),
        left: disk.then(|| drained.clone()),
    };
    thread("control", move || side.run(control, first))?;
    if !disk {
        let f = Front::new(me.id, me.addr, seed);
        let (control, calls, drained, empty) = (tx.clone(), front_calls.clone(), drained.clone(), empty.clone());
        let side = FrontSide { clock, rx: frx, tx: ftx, control, net, calls, news, back: back.clone(), rt, drained, empty };
        thread("traffic", move || side.run(f))?;
    }
    let app = Arc::new(App {
        control: tx,
        control_calls,
        front,
        front_calls,
        back,
        stopping: stopping.clone(),
        drained,
        empty,
        busy: AtomicUsize::new(0),
        disk,
    });
    log::info!("node: {:x} in {}, peers at {}, http at {}", me.id, p.domain, p.listen, p.http);
    let a = app.clone();
    let h = move |m: String, path: String, q: String, b: Vec<u8>| {
        let a = a.clone();
        async move {
            a.busy.fetch_add(1, Ordering::Relaxed);
            let mut r = response(a.handle(&m, &path, &q, &b).await);
            if a.stopping.load(Ordering::Relaxed) {
                r.headers_mut().insert("connection", HeaderValue::from_static("close"));
            }
            a.busy.fetch_sub(1, Ordering::Relaxed);
            r
        }
    };
    let drain = async move {
        log::info!("node: asked to stop, letting work under way end");
        app.stopping.store(true, Ordering::Relaxed);
        let _ = app.control.send(In::Stopping);
        app.front.as_ref().map(|f| f.send(FrontIn::Stopping));
        let d = Drain::new(clock.now());
        let on = |b: &AtomicBool| b.load(Ordering::Relaxed);
        while !d.done(clock.now(), on(&app.empty), on(&app.drained), app.busy.load(Ordering::Relaxed)) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        log::info!("node: stopped");
        std::process::exit(0);
    };
    serve(p.http, h, drain).await
}
