//! The control thread: feeds the core's control machine and carries out what it returns.

use crate::back::{Back, HttpRes};
use crate::calls::Calls;
use crate::clock::Clock;
use crate::net::Net;
use crate::traffic::News;
use serde_json::json;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use tenet::control::*;
use tenet::disk::Rec;
use tenet::front::*;
use tenet::handoff::Giver;
use tenet::pilot::Promote;
use tokio::runtime::Handle;
use tokio::sync::mpsc::UnboundedSender;

/// A future that another thread may run.
pub type Soon<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The way to the platform's promote call. Gives whether the server leads already. Errors: `true` when the outcome is unknown, `false`
/// when nothing was promoted.
pub trait Promoter: Send + Sync {
    /// Orders a promotion.
    fn promote<'a>(&'a self, p: &'a Promote) -> Soon<'a, Result<bool, bool>>;
}

/// Promotes over the product's own HTTP interface.
pub struct HttpPromoter {
    /// HTTP client.
    pub back: Back,
    /// Address of the platform; without one nothing is promoted.
    pub to: Option<SocketAddr>,
}

impl Promoter for HttpPromoter {
    fn promote<'a>(&'a self, p: &'a Promote) -> Soon<'a, Result<bool, bool>> {
        Box::pin(async move {
            let body = json!({"database": p.db, "server": p.server, "ask": p.epoch});
            let r = match self.to {
                Some(a) => {
                    self.back
                        .post(a.into(), "/promote", &body, p.not_after, 5000)
                        .await
                }
                None => HttpRes::NotSent,
            };
            match r {
                HttpRes::Ok(_) => Ok(true),
                HttpRes::NotJson => Ok(false),
                HttpRes::Lost => Err(true),
                _ => Err(false),
            }
        })
    }
}

/// What the control thread works with.
pub struct ControlSide {
    /// Clock of the process.
    pub clock: Clock,
    /// Its inputs.
    pub rx: Receiver<In>,
    /// The other end of its inputs, for results that come later.
    pub tx: Sender<In>,
    /// Packets to other processes.
    pub net: Arc<Net>,
    /// Records to write, with their number.
    pub disk: Option<Sender<(u64, Vec<Rec>)>>,
    /// Calls that it answers.
    pub calls: Arc<Calls<Reply>>,
    /// Routing tables for the traffic thread.
    pub news: Giver<News>,
    /// Inputs of the traffic thread, to wake it.
    pub front: Option<UnboundedSender<FrontIn>>,
    /// The way to the platform.
    pub promoter: Arc<dyn Promoter>,
    /// Runtime for promotions under way.
    pub rt: Handle,
    /// Set when the process has left the fleet.
    pub left: Option<Arc<std::sync::atomic::AtomicBool>>,
}

impl ControlSide {
    /// Runs until its inputs end.
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
            self.left
                .iter()
                .for_each(|l| l.store(c.left(), std::sync::atomic::Ordering::Relaxed));
        }
    }

    fn act(&self, e: Effect) {
        e.log.iter().for_each(|t| log::info!("control: {t}"));
        if let (Some(w), Some(d)) = (e.write, &self.disk) {
            let _ = d.send(w);
        }
        e.send.iter().for_each(|(a, p)| self.net.send(*a, p));
        e.response
            .into_iter()
            .for_each(|(k, r)| self.calls.end(k, r));
        if let Some(n) = e.news {
            self.news.give(Some(n));
            if let Some(front) = self.front.as_ref() {
                let _ = front.send(FrontIn::Wakeup);
            }
        }
        for p in e.promote {
            let (tx, promoter) = (self.tx.clone(), self.promoter.clone());
            self.rt.spawn(async move {
                log::info!(
                    "control: asking the platform to promote {} for {}",
                    p.server,
                    p.db
                );
                let done = promoter.promote(&p).await;
                let _ = tx.send(In::Promoted {
                    db: p.db,
                    epoch: p.epoch,
                    server: p.server,
                    done,
                });
            });
        }
    }
}
