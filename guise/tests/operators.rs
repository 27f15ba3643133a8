//! What operators do to a running fleet holds, and callers keep their sessions.

use guise::fleet::{until, Fleet, Plan};
use medium::back::HttpRes;
use serde_json::{json, Value};
use std::net::SocketAddr;

async fn post(s: &Fleet, to: SocketAddr, path: &str, b: Value) -> Result<Value, Value> {
    match s.site.back.post(to.into(), path, &b, u64::MAX, 9000).await {
        HttpRes::Ok(v) => Ok(v),
        HttpRes::Rejected(_, t) => Err(serde_json::from_str(&t).unwrap_or(Value::Null)),
        r => Err(json!(format!("{r:?}"))),
    }
}

async fn session(s: &Fleet, at: SocketAddr) -> String {
    let v = post(
        s,
        at,
        "/sessions",
        json!({"database": "ledger", "user": "ann", "settings": {"zone": "CET"}}),
    )
    .await
    .unwrap();
    format!("/sessions/{}", v["session"])
}

async fn reasons(s: &Fleet, at: SocketAddr, word: &str) -> bool {
    let v = s.site.back.get(at, "/reasons").await.unwrap_or(Value::Null);
    v["reasons"].as_array().is_some_and(|a| {
        a.iter()
            .any(|r| r["text"].as_str().is_some_and(|t| t.contains(word)))
    })
}

async fn primary(s: &Fleet, at: SocketAddr) -> Value {
    s.site
        .back
        .get(at, "/verdicts")
        .await
        .map_or(Value::Null, |v| v["databases"]["ledger"].clone())
}

#[test]
fn settings_and_prepared_statements_follow_a_session_and_nobody_else() {
    let rt = tokio::runtime::Runtime::new().unwrap();
    rt.block_on(async {
        let p = Plan::small("prepared", 9, 0);
        let (s, _) = Fleet::start_ready(&p, 4).await.unwrap();
        let at = s.flows()[0];
        let (a, b) = (session(&s, at).await, session(&s, at).await);
        let run = |x: &str| format!("{x}/run");
        let text = json!({"op": "put", "key": "$1", "value": "$2"});
        post(
            &s,
            at,
            &format!("{a}/prepare"),
            json!({"name": "p", "text": text}),
        )
        .await
        .unwrap();
        for n in 1..6 {
            let v = post(
                &s,
                at,
                &run(&a),
                json!({"kind": "order", "prepared": "p", "args": ["k", n]}),
            )
            .await
            .unwrap();
            assert_eq!(v["result"], json!(n));
            post(
                &s,
                at,
                &format!("{a}/set"),
                json!({"name": "zone", "value": format!("z{n}")}),
            )
            .await
            .unwrap();
            let show = json!({"kind": "state", "body": {"op": "show", "name": "zone"}});
            let mine = post(&s, at, &run(&a), show.clone()).await.unwrap();
            let other = post(&s, at, &run(&b), show).await.unwrap();
            assert_eq!(
                (&mine["result"]["value"], &other["result"]["value"]),
                (&json!(format!("z{n}")), &json!("CET"))
            );
            assert_eq!(other["result"]["user"], "ann");
        }
        let e = post(
            &s,
            at,
            &run(&b),
            json!({"kind": "order", "prepared": "p", "args": ["k", 9]}),
        )
        .await
        .unwrap_err();
        assert_eq!(e["error"], "unknown-name");
        post(&s, at, &format!("{a}/begin"), json!({"id": "left-open"}))
            .await
            .unwrap();
        let step = json!({"kind": "order", "body": {"op": "put", "key": "left", "value": 1}});
        assert_eq!(
            post(&s, at, &run(&a), step).await.unwrap()["transaction"],
            true
        );
        post(&s, at, &format!("{a}/rollback"), json!({}))
            .await
            .unwrap();
        let get = json!({"kind": "state", "body": {"op": "get", "key": "left"}});
        assert_eq!(post(&s, at, &run(&b), get).await.unwrap()["result"], 0);
        let _ = std::fs::remove_dir_all(&p.data);
    });
}

#[test]
fn evacuation_drain_and_the_loss_of_every_process_are_survived_and_explained() {
    let rt = tokio::runtime::Runtime::new().unwrap();
    rt.block_on(async {
        let p = Plan::small("operators", 9, 0);
        let (mut s, mark) = Fleet::start_ready(&p, 4).await.unwrap();
        let first = primary(&s, s.flows()[0]).await;
        let home = first["servers"].as_array().unwrap().iter().find(|x| x["server"] == first["primary"]).unwrap()["labels"]["domain"].clone();
        let home = home.as_str().unwrap().to_string();
        let away = s.procs.iter().find(|p| !p.disk && p.domain != home).unwrap().http;
        let near = s.procs.iter().find(|p| !p.disk && p.domain == home).unwrap().http;
        let old = session(&s, away).await;
        let put = |id: &str| json!({"kind": "order", "id": id, "body": {"op": "put", "key": "k", "value": 1}});
        post(&s, away, &format!("{old}/run"), put("before")).await.unwrap();

        post(&s, near, &format!("/domains/{home}/evacuate"), json!({})).await.unwrap();
        let (w, first) = (&s, &first);
        until("the primary to leave the evacuated domain", 20_000, || async move {
            let v = primary(w, away).await;
            v["phase"] == "steady" && v["primary"] != first["primary"]
        })
        .await
        .unwrap();
        until("nodes there to be unready for sessions", 10_000, || async move {
            post(w, near, "/sessions", json!({"database": "ledger"})).await.is_err_and(|e| e["error"] == "leaving")
        })
        .await
        .unwrap();
        assert!(reasons(w, s.procs[0].http, &format!("domain {home} evacuated")).await);
        until("the story of the failover", 10_000, || async move { reasons(w, away, "takes writes").await }).await.unwrap();
        post(&s, away, &format!("/domains/{home}/return"), json!({})).await.unwrap();
        until("nodes there to take sessions again", 15_000, || async move {
            post(w, near, "/sessions", json!({"database": "ledger"})).await.is_ok()
        })
        .await
        .unwrap();

        s.procs.iter_mut().for_each(|p| p.kill());
        s.procs.iter_mut().for_each(|p| p.start().unwrap());
        s.ready().await.unwrap();
        let v = s.site.back.get(away, "/configuration").await.unwrap();
        assert_eq!(v["mark"], json!(mark), "the configuration outlives every process");
        let w = &s;
        until("a session after the loss", 15_000, || async move { post(w, away, "/sessions", json!({"database": "ledger"})).await.is_ok() }).await.unwrap();
        let ses = session(&s, away).await;
        let ses = &ses;
        until("writes after the loss", 20_000, || async move { post(w, away, &format!("{ses}/run"), put("after")).await.is_ok() }).await.unwrap();
        let v = post(&s, away, &format!("{ses}/run"), put("before")).await.unwrap();
        assert_eq!(v["repeat"], true, "an id of before the loss is known: {v}");
        assert!(reasons(w, away, "takes writes").await, "the failover before the loss is still explained");
        let _ = std::fs::remove_dir_all(&p.data);
    });
}
