//! The product's own HTTP interface: the daemons that speak nothing else, and its doors beside others.

use crate::back::Back;
use crate::clock::Clock;
use crate::doors::{response, App};
use crate::http::serve;
use crate::run::{run, Kit, Node};
use crate::settings::Flags;
use crate::threads::{HttpPromoter, Promoter};
use crate::traffic::{Later, Servers};
use eyre::Result;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use volo_http::response::Response;

/// Runs a daemon by its command line, with the product's own interface. Ends the process with 2 when
/// its settings cannot be used.
pub fn start(f: Flags, disk: bool) -> Result<()> {
    let p = f.place(disk).unwrap_or_else(|e| {
        eprintln!("{e}");
        std::process::exit(2);
    });
    let kit = HttpKit {
        platform: p.platform,
    };
    run(p, disk, Box::new(kit))
}

struct HttpKit {
    platform: Option<SocketAddr>,
}

impl Kit for HttpKit {
    fn servers(&self, clock: Clock) -> Result<Rc<dyn Servers>> {
        Ok(Rc::new(Back::new(clock)?))
    }

    fn promoter(&self, clock: Clock) -> Result<Arc<dyn Promoter>> {
        Ok(Arc::new(HttpPromoter {
            back: Back::new(clock)?,
            to: self.platform,
        }))
    }

    fn open(self: Box<Self>, n: Node) -> Later<Result<()>> {
        let (at, clock) = (n.place.http, n.clock);
        let (app, grace) = (n.app.clone(), n.place.grace);
        Box::pin(serve(at, handler(n.app), Node::drain(app, clock, grace)))
    }
}

/// Opens the product's own doors beside others that see to the process's end.
pub async fn own_doors(n: Node) {
    if let Err(e) = serve(n.place.http, handler(n.app), std::future::pending()).await {
        log::error!("node: {e}");
    }
}

type Handled = Pin<Box<dyn Future<Output = Response> + Send>>;

fn handler(
    a: Arc<App>,
) -> impl Fn(String, String, String, Vec<u8>) -> Handled + Clone + Send + Sync + 'static {
    move |m: String, path: String, q: String, b: Vec<u8>| {
        let a = a.clone();
        Box::pin(async move {
            let _under_way = a.begin();
            response(a.handle(&m, &path, &q, &b).await)
        })
    }
}
