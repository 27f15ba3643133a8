//! Starts a process: its threads, its sockets and its doors; and lets it end in order.

use crate::back::Back;
use crate::calls::Calls;
use crate::clock::{entropy, wall, Clock};
use crate::doors::App;
use crate::files;
use crate::net::Net;
pub use crate::own::{own_doors, start};
use crate::settings::Place;
use crate::threads::*;
use crate::traffic::{Later, Servers, Traffic};
use eyre::{Result, WrapErr};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::Duration;
use tenet::control::{Control, In, Start};
use tenet::drain::Drain;
use tenet::front::{Front, FrontIn};
use tenet::grace::Grace;
use tenet::handoff::Handoff;
use tenet::wire::Packet;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;

fn thread(name: &str, f: impl FnOnce() + Send + 'static) -> Result<()> {
    let n = name.to_string();
    std::thread::Builder::new()
        .name(name.into())
        .spawn(move || {
            let r = std::panic::catch_unwind(std::panic::AssertUnwindSafe(f));
            log::error!(
                "{n}: the thread has ended{}",
                if r.is_err() { " in a panic" } else { "" }
            );
            std::process::exit(70);
        })
        .map(|_| ())
        .wrap_err("thread")
}

/// What a started process offers to its doors.
#[derive(Clone)]
pub struct Node {
    /// Clock of the process.
    pub clock: Clock,
    /// Where it stands.
    pub place: Place,
    /// What its HTTP interface works with.
    pub app: Arc<App>,
    /// Its data plane; `accord` has none.
    pub traffic: Option<Rc<Traffic>>,
}

/// How a process meets the outside world: its doors, its servers and the promote call.
pub trait Kit {
    /// The way to the database servers.
    fn servers(&self, clock: Clock) -> Result<Rc<dyn Servers>>;
    /// The way to the platform's promote call.
    fn promoter(&self, clock: Clock) -> Result<Arc<dyn Promoter>>;
    /// Serves until the process ends.
    fn open(self: Box<Self>, n: Node) -> Later<Result<()>>;
}

/// From here on SIGHUP does not end the process. What it asks for is read by whoever watches the
/// settings; until then the settings have not been read, or are read again soon.
pub fn outlive_hangup() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()?;
    let _inside = runtime.enter();
    let _ = signal(SignalKind::hangup())?;
    Ok(())
}

/// Runs a node until it is stopped. Ends the process with 1 when it cannot start.
pub fn run(p: Place, disk: bool, kit: Box<dyn Kit>) -> Result<()> {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new()
        .block_on(&rt, go(p, disk, kit))
        .map_err(|e| {
            log::error!("node: could not start: {e:#}");
            std::process::exit(1)
        })
}

async fn go(p: Place, disk: bool, kit: Box<dyn Kit>) -> Result<()> {
    let clock = Clock::new();
    let seed = entropy();
    let folder = p
        .data
        .as_deref()
        .filter(|_| disk)
        .map(files::open)
        .transpose()?;
    let durable = folder
        .as_ref()
        .and_then(|f| f.durable.clone())
        .filter(|d| d.id != 0);
    let (tx, rx) = channel::<In>();
    let (ftx, frx) = unbounded_channel::<FrontIn>();
    let front = (!disk).then(|| ftx.clone());
    let (c2, f2) = (tx.clone(), front.clone());
    let sink = Arc::new(move |p: Packet| match FrontIn::from_packet(p) {
        Ok(input) => {
            if let Some(front) = f2.as_ref() {
                let _ = front.send(input);
            }
        }
        Err(p) => {
            let _ = c2.send(In::Packet(*p));
        }
    });
    let net = Net::start(p.listen, sink)
        .await
        .wrap_err_with(|| format!("listen {}", p.listen))?;
    let start = Start {
        addr: p.listen.into(),
        http: p.http.into(),
        domain: p.domain.clone(),
        disk,
        found: p.found,
        founders: p.founders.iter().map(|s| (*s).into()).collect(),
        copies: p.copies,
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
    let serves_until = Arc::new(AtomicU64::new(0));
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
        promoter: kit.promoter(clock)?,
        rt: tokio::runtime::Handle::current(),
        left: disk.then(|| drained.clone()),
    };
    thread("control", move || side.run(control, first))?;
    let mut traffic = None;
    if !disk {
        let t = Rc::new(Traffic {
            clock,
            front: RefCell::new(Front::new(me.id, me.addr, seed).with_grace(p.grace)),
            news: RefCell::new(news),
            net,
            control: tx.clone(),
            calls: front_calls.clone(),
            servers: kit.servers(clock)?,
            drained: drained.clone(),
            empty: empty.clone(),
            serves_until: serves_until.clone(),
            wake: Cell::new(0),
        });
        tokio::task::spawn_local(t.clone().run(frx));
        traffic = Some(t);
    }
    let app = Arc::new(App {
        clock,
        control: tx,
        control_calls,
        front,
        front_calls,
        back: Back::new(clock)?,
        stopping,
        drained,
        empty,
        serves_until,
        busy: AtomicUsize::new(0),
        disk,
    });
    log::info!(
        "node: {:x} in {}, peers at {}, http at {}",
        me.id,
        p.domain,
        p.listen,
        p.http
    );
    kit.open(Node {
        clock,
        place: p,
        app,
        traffic,
    })
    .await?;
    log::info!("node: stopped");
    std::process::exit(0);
}

impl Node {
    /// Ends when the work under way has ended, or may no longer wait for it.
    pub async fn drain(app: Arc<App>, clock: Clock, grace: Grace) {
        log::info!("node: asked to stop, letting work under way end");
        app.stopping.store(true, Ordering::Relaxed);
        let _ = app.control.send(In::Stopping);
        if let Some(front) = app.front.as_ref() {
            let _ = front.send(FrontIn::Stopping);
        }
        let d = Drain::new(clock.now(), grace);
        let on = |b: &AtomicBool| b.load(Ordering::Relaxed);
        while !d.done(
            clock.now(),
            on(&app.empty),
            on(&app.drained),
            app.busy.load(Ordering::Relaxed),
        ) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}
