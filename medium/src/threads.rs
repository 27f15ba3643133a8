use crate::back::Back;
use crate::calls::Calls;
use crate::clock::Clock;
use crate::net::Net;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use tenet::base::*;
use tenet::control::*;
use tenet::disk::Rec;
use tenet::front::*;
use tenet::handoff::{Giver, Handoff};
use tenet::kind::Reject;
use tenet::table::Table;
use tenet::wire::Packet;
use tokio::runtime::Handle;

pub type News = Option<(Arc<Table>, Time)>;

pub struct ControlSide {
    pub clock: Clock,
    pub rx: Receiver<In>,
    pub tx: Sender<In>,
    pub net: Arc<Net>,
    pub disk: Option<Sender<(u64, Vec<Rec>)>>,
    pub calls: Arc<Calls<Reply>>,
    pub news: Giver<News>,
    pub front: Option<Sender<FrontIn>>,
    pub back: Back,
    pub platform: Option<SocketAddr>,
    pub rt: Handle,
    pub left: Option<Arc<std::sync::atomic::AtomicBool>>,
}

impl ControlSide {
    pub fn run(self, mut c: Control, first: Effect) {
        let mut e = first;
        loop {
            let wake = e.wakeup;
            self.act(e);
            let i = match self.rx.recv_timeout(self.clock.until(wake)) {
                Ok(i) => i,
                Err(RecvTimeoutError::Timeout) => In::Wakeup,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            e = c.poll(self.clock.now(), i);
            self.left.iter().for_each(|l| l.store(c.left(), std::sync::atomic::Ordering::Relaxed));
        }
    }

    fn act(&self, e: Effect) {
        e.log.iter().for_each(|t| log::info!("control: {t}"));
        if let (Some(w), Some(d)) = (e.write, &self.disk) {
            let _ = d.send(w);
        }
        e.send.iter().for_each(|(a, p)| self.net.send(*a, p));
        e.response.into_iter().for_each(|(k, r)| self.calls.end(k, r));
        if let Some(n) = e.news {
            self.news.give(Some(n));
            self.front.as_ref().map(|f| f.send(FrontIn::Wakeup));
        }
        for p in e.promote {
            let (tx, back, to) = (self.tx.clone(), self.back.clone(), self.platform);
            self.rt.spawn(async move {
                log::info!("control: asking the platform to promote {} for {}", p.server, p.db);
                let body = json!({"database": p.db, "server": p.server, "ask": p.epoch});
                let r = match to {
                    Some(a) => back.post(a.into(), "/promote", &body, p.not_after, 5000).await,
                    None => BackRes::NotSent,
                };
                let done = match r {
                    BackRes::Ok(_) => Ok(()),
                    BackRes::Lost => Err(true),
                    _ => Err(false),
                };
                let _ = tx.send(In::Promoted { db: p.db, epoch: p.epoch, server: p.server, done });
            });
        }
    }
}

pub struct FrontSide {
    pub clock: Clock,
    pub rx: Receiver<FrontIn>,
    pub tx: Sender<FrontIn>,
    pub control: Sender<In>,
    pub net: Arc<Net>,
    pub calls: Arc<Calls<Result<Value, Reject>>>,
    pub news: Handoff<News>,
    pub back: Back,
    pub rt: Handle,
    pub drained: Arc<std::sync::atomic::AtomicBool>,
    pub empty: Arc<std::sync::atomic::AtomicBool>,
}

impl FrontSide {
    pub fn run(mut self, mut f: Front) {
        let mut wake = 0;
        loop {
            let i = match self.rx.recv_timeout(self.clock.until(wake)) {
                Ok(i) => i,
                Err(RecvTimeoutError::Timeout) => FrontIn::Wakeup,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if let Some((t, until)) = self.news.newer().flatten() {
                let o = f.poll(self.clock.now(), FrontIn::Table(t, until));
                self.act(&f, o);
            }
            let o = f.poll(self.clock.now(), i);
            wake = o.wakeup;
            self.act(&f, o);
            self.drained.store(f.drained(), std::sync::atomic::Ordering::Relaxed);
            self.empty.store(f.empty(), std::sync::atomic::Ordering::Relaxed);
        }
    }

    fn act(&self, f: &Front, o: FrontOut) {
        o.log.iter().for_each(|t| log::info!("traffic: {t}"));
        let (from, addr) = (f.me, f.addr);
        for (a, msg) in o.send {
            self.net.send(a, &Packet { from, addr, cluster: 0, msg });
        }
        o.response.into_iter().for_each(|(k, r)| self.calls.end(k, r));
        if !o.sights.is_empty() {
            let _ = self.control.send(In::Sights(o.sights));
        }
        for (db, since) in o.clean {
            let _ = self.control.send(In::Clean { db, since });
        }
        for b in o.back {
            let (tx, back) = (self.tx.clone(), self.back.clone());
            self.rt.spawn(async move {
                let res = back.post(b.to, b.path, &b.body, b.not_after, b.timeout).await;
                let _ = tx.send(FrontIn::Back { token: b.token, res });
            });
        }
    }
}
