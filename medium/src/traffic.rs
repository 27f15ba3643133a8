//! The traffic thread: feeds the core's data plane and carries out what it returns.

use crate::calls::Calls;
use crate::clock::Clock;
use crate::net::Net;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use tenet::base::*;
use tenet::control::In;
use tenet::front::*;
use tenet::handoff::Handoff;
use tenet::kind::{Kind, Reject};
use tenet::session::Req;
use tenet::table::Table;
use tenet::wire::Packet;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{sleep, Duration};

/// A routing table, and until when it holds.
pub type News = Option<(Arc<Table>, Time)>;
/// A future that its own thread runs.
pub type Later<T> = Pin<Box<dyn Future<Output = T>>>;

/// The way to the database servers. Answers `NotSent` only when no byte of the query left.
pub trait Servers {
    /// Carries a query to a server.
    fn call(self: Rc<Self>, c: BackCall) -> Later<BackRes>;
}

/// What the traffic thread works with.
pub struct Traffic {
    /// Clock of the process.
    pub clock: Clock,
    /// The core's data plane.
    pub front: RefCell<Front>,
    /// Routing tables from the control thread.
    pub news: RefCell<Handoff<News>>,
    /// Packets to other processes.
    pub net: Arc<Net>,
    /// Inputs of the control thread.
    pub control: Sender<In>,
    /// Calls that it answers.
    pub calls: Arc<Calls<Result<Answer, Reject>>>,
    /// The way to the servers.
    pub servers: Rc<dyn Servers>,
    /// Set while no request and no transaction is under way.
    pub drained: Arc<AtomicBool>,
    /// Set while no session is open.
    pub empty: Arc<AtomicBool>,
    /// Until when it may serve by a confirmed configuration; 0 when it has none.
    pub serves_until: Arc<AtomicU64>,
    /// When the core wants to be polled next.
    pub wake: Cell<Time>,
}

/// Inputs that are taken before others have their turn.
const BATCH: usize = 64;

impl Traffic {
    /// Feeds an input, after a newer routing table if there is one.
    pub fn drive(self: &Rc<Self>, i: FrontIn) {
        if let Some((t, until)) = self.news.borrow_mut().newer().flatten() {
            self.net.set_far(
                t.nodes
                    .values()
                    .filter(|n| n.region != t.region)
                    .map(|n| n.addr)
                    .collect(),
            );
            self.step(FrontIn::Table(t, until));
        }
        self.step(i);
    }

    fn step(self: &Rc<Self>, i: FrontIn) {
        let o = self.front.borrow_mut().poll(self.clock.now(), i);
        self.wake.set(o.wakeup);
        self.act(o);
        let f = self.front.borrow();
        self.drained.store(f.drained(), Ordering::Relaxed);
        self.empty.store(f.empty(), Ordering::Relaxed);
        let until = f.t.as_ref().map_or(0, |_| f.until);
        self.serves_until.store(until, Ordering::Relaxed);
    }

    fn act(self: &Rc<Self>, o: FrontOut) {
        o.log.iter().for_each(|t| log::info!("traffic: {t}"));
        let (from, addr) = (self.front.borrow().me, self.front.borrow().addr);
        for (a, msg) in o.send {
            self.net.send(
                a,
                &Packet {
                    from,
                    addr,
                    cluster: 0,
                    msg,
                },
            );
        }
        o.response
            .into_iter()
            .for_each(|(k, r)| self.calls.end(k, r));
        if !o.sights.is_empty() {
            let _ = self.control.send(In::Sights(o.sights));
        }
        for (db, since) in o.clean {
            let _ = self.control.send(In::Clean { db, since });
        }
        for b in o.back {
            let (me, token) = (self.clone(), b.token);
            let f = self.servers.clone().call(b);
            tokio::task::spawn_local(async move {
                let res = f.await;
                me.drive(FrontIn::Back { token, res });
            });
        }
    }

    /// Puts a request and waits for its answer.
    pub async fn call(self: &Rc<Self>, req: Req) -> Result<Answer, Reject> {
        let (call, rx) = self.calls.open();
        self.drive(FrontIn::Call { call, req });
        rx.await
            .unwrap_or_else(|_| Err(Reject::new(Kind::Starting, "the process is ending")))
    }

    /// Feeds inputs and timers until the inputs end.
    pub async fn run(self: Rc<Self>, mut rx: UnboundedReceiver<FrontIn>) {
        loop {
            let t = self
                .clock
                .until(self.wake.get())
                .max(Duration::from_millis(1));
            tokio::select! {
                biased;
                i = rx.recv() => match i {
                    None => return,
                    Some(i) => {
                        self.drive(i);
                        for _ in 0..BATCH {
                            match rx.try_recv() {
                                Ok(i) => self.drive(i),
                                Err(_) => break,
                            }
                        }
                    }
                },
                _ = sleep(t) => self.drive(FrontIn::Wakeup),
            }
        }
    }
}
