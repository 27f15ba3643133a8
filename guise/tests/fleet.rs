//! A real fleet serves through failures.

use guise::check::check;
use guise::fleet::{until, Fleet, Plan};
use guise::lock;
use std::sync::atomic::Ordering::Relaxed;

async fn served(s: &Fleet, more: usize) {
    let n = |s: &Fleet| {
        s.site
            .history
            .lock()
            .unwrap()
            .events
            .iter()
            .filter(|e| e.out == guise::check::Out::Kept)
            .count()
    };
    let from = n(s);
    until("requests to be served", 25_000, || async {
        n(s) >= from + more
    })
    .await
    .unwrap();
}

#[test]
fn a_real_fleet_serves_through_the_loss_of_a_primary_and_of_a_node() {
    let rt = tokio::runtime::Runtime::new().unwrap();
    rt.block_on(async {
        let p = Plan::small("fleet", 9, 24);
        let (mut s, _) = Fleet::start_ready(&p, 8).await.unwrap();
        s.learn_regions().await;
        let callers = s.start_callers(p.sessions);
        served(&s, 200).await;
        let old = lock(&s.world).leader("ledger");
        s.inject("kill=ledger").unwrap();
        let w = s.world.clone();
        until("a new primary", 25_000, || async {
            lock(&w).leader("ledger") != old
        })
        .await
        .unwrap();
        served(&s, 200).await;
        s.inject("kill=accord-0").unwrap();
        s.inject("kill=flow-3").unwrap();
        served(&s, 400).await;
        let bad = s.configure(0, 8).await;
        assert!(
            bad.is_ok(),
            "a repeat of the same configuration over the same base is taken as done: {bad:?}"
        );
        s.site.stop.store(true, Relaxed);
        for c in callers {
            let _ = c.await;
        }
        let faults = check(&s.site.history.lock().unwrap(), &lock(&s.world));
        assert_eq!(faults, Vec::<String>::new());
        let _ = std::fs::remove_dir_all(&p.data);
    });
}
