//! Every door of a node names what is wrong with a request, and a node that is stopped ends well.

mod common;

use common::bin;
use guise::fleet::{until, Fleet, Plan};
use medium::back::HttpRes;
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use volo_http::http::Method;

async fn call(s: &Fleet, m: Method, to: SocketAddr, path: &str, b: &Value) -> (u16, Value) {
    match s.site.back.send(m, to.into(), path, b, 9000).await {
        HttpRes::Ok(v) => (200, v),
        HttpRes::Rejected(c, t) => (c, serde_json::from_str(&t).unwrap_or(Value::Null)),
        r => panic!("{path}: {r:?}"),
    }
}

async fn post(s: &Fleet, to: SocketAddr, path: &str, b: Value) -> (u16, Value) {
    call(s, Method::POST, to, path, &b).await
}

#[test]
fn every_door_names_what_is_wrong_and_state_stays() {
    let rt = tokio::runtime::Runtime::new().unwrap();
    rt.block_on(async {
        let p = Plan::small("doors", 7, 0);
        let (s, mark) = Fleet::start_ready(&p, 6).await.unwrap();
        let at = s.flows()[0];
        let (_, v) = post(&s, at, "/sessions", json!({"database": "ledger", "user": "u"})).await;
        let ses = format!("/sessions/{}", v["session"]);
        let run = format!("{ses}/run");
        let put = |id: &str, n: i64| json!({"kind": "order", "id": id, "body": {"op": "put", "key": "k", "value": n}});
        let first = post(&s, at, &run, put("one", 1)).await;
        assert_eq!((first.0, &first.1["repeat"]), (200, &json!(false)));
        let other = s.flows()[2];
        let (_, v) = post(&s, other, "/sessions", json!({"database": "ledger"})).await;
        let again = post(&s, other, &format!("/sessions/{}/run", v["session"]), put("one", 1)).await;
        assert_eq!((again.0, &again.1["repeat"], &again.1["mark"]), (200, &json!(true), &first.1["mark"]));

        let bad: Vec<(String, Value, u16, &str, &str)> = vec![
            ("/sessions".into(), json!({"database": "nope"}), 404, "unknown-database", "nope"),
            ("/sessions".into(), json!({"user": "u"}), 400, "bad-request", "database"),
            ("/sessions".into(), json!({"database": "ledger", "colour": 1}), 400, "bad-request", "colour"),
            ("/sessions".into(), json!({"database": 7}), 400, "bad-request", "database"),
            ("/sessions".into(), json!([1]), 400, "bad-request", "body"),
            ("/sessions/77/run".into(), put("x", 1), 404, "unknown-session", "77"),
            ("/sessions/x/run".into(), put("x", 1), 404, "unknown-session", "x"),
            (run.clone(), json!({"kind": "nope"}), 404, "unknown-kind", "nope"),
            (run.clone(), json!({"kind": "order", "prepared": "p"}), 404, "unknown-name", "p"),
            (run.clone(), put("one", 2), 409, "other-body", "another body"),
            (run.clone(), json!({"kind": "order", "body": {"op": "fail"}}), 422, "failed", "asked to fail"),
            (run.clone(), json!({"kind": "order", "deadline_ms": "x"}), 400, "bad-request", "deadline_ms"),
            (format!("{ses}/commit"), json!({}), 409, "bad-state", "no transaction"),
            (format!("{ses}/rollback"), json!({}), 409, "bad-state", "no transaction"),
            (format!("{ses}/fly"), json!({}), 404, "no-route", "fly"),
            ("/announce".into(), json!({"server": "a", "addr": "x", "domain": "d", "life": 1}), 400, "bad-request", "addr"),
            ("/domains/nowhere/evacuate".into(), json!({}), 404, "unknown-name", "nowhere"),
            ("/servers/nobody/drain".into(), json!({}), 404, "unknown-name", "nobody"),
        ];
        for (path, body, code, kind, says) in bad {
            let (c, v) = post(&s, at, &path, body.clone()).await;
            let why = v["why"].as_str().unwrap_or("");
            assert!(c == code && v["error"] == kind && why.contains(says), "{path} {body}: {c} {v}");
            assert!(v["kept"] == "nothing" || v["kept"] == "unchanged", "{v}");
        }
        let mut hasty = put("hasty", 3);
        hasty["deadline_ms"] = json!(25);
        let (c, v) = post(&s, at, &run, hasty).await;
        assert!(c == 504 && v["kept"] == "unknown" || c == 503 || v["kept"] == "nothing", "a deadline below the replicas' lag: {c} {v}");
        assert_eq!(post(&s, at, &run, put("hasty", 3)).await.0, 200);
        let cfg = serde_json::to_value(&s.cfg).unwrap();
        let mut broken = cfg.clone();
        broken["databases"]["ledger"]["cap"] = json!(0);
        for (b, kind, says) in [
            (json!({"base": mark, "configuration": broken}), "bad-config", "databases.ledger.cap"),
            (json!({"base": mark + 9, "configuration": cfg}), "stale-base", "current"),
            (json!({"configuration": cfg}), "bad-request", "base"),
        ] {
            let (_, v) = call(&s, Method::PUT, at, "/configuration", &b).await;
            assert!(v["error"] == kind && v["why"].as_str().unwrap_or("").contains(says), "{v}");
        }
        let now = s.site.back.get(at, "/configuration").await.unwrap();
        assert_eq!(now["mark"], json!(mark));
        let big = json!({"database": "x".repeat(2 << 20)});
        assert_eq!(post(&s, at, "/sessions", big).await.1["error"], "too-large");

        let udp = UdpSocket::bind("127.0.0.1:0").unwrap();
        for p in &s.procs {
            for b in [&b""[..], &[1, 2, 3], &[255; 900], &[1; 1200]] {
                udp.send_to(b, p.listen).unwrap();
            }
            let mut t = TcpStream::connect(p.listen).unwrap();
            let _ = t.write_all(&[255; 64]);
            let mut t = TcpStream::connect(p.listen).unwrap();
            let _ = t.write_all(&[9, 0, 0, 0, 1, 9, 9, 9, 9, 9, 9, 9, 9]);
        }
        let id = first.1["id"].as_str().unwrap();
        let (s, run) = (&s, &run);
        until("the fleet to serve as before", 15_000, || async move { post(s, at, run, put("two", 2)).await.0 == 200 }).await.unwrap();
        let e = s.site.back.get(s.procs[0].http, &format!("/explain/{id}")).await.unwrap();
        let text = e.to_string();
        assert!(text.contains("to gateway") && text.contains("sends it to the primary"), "{text}");
        let m = bin("motive").arg("--node").arg(at.to_string()).arg(id).output().unwrap();
        assert!(m.status.success() && String::from_utf8_lossy(&m.stdout).contains("answered from"));
        let m = bin("motive").arg("--node").arg(at.to_string()).arg("no-such").output().unwrap();
        assert_eq!(m.status.code(), Some(1));
        let m = bin("motive").arg("--node").arg(at.to_string()).args(["--about", "ledger", "--last", "60"]).output().unwrap();
        let says = String::from_utf8_lossy(&m.stdout).to_string();
        assert!(m.status.success() && says.contains("adopted as first primary") && !says.contains("configuration"), "{says}");
        let v = s.site.back.get(s.procs[0].http, "/verdicts").await.unwrap();
        let seen = v["seen_by"]["servers"].as_object().cloned().unwrap_or_default();
        assert!(seen.values().filter(|x| x["writes"]["may"] == true).count() == 1 && seen.len() == 3, "{v}");
        assert!(seen.values().all(|x| x["reads"]["search"]["may"] == true && x["emptied"] == false), "{v}");
        let _ = std::fs::remove_dir_all(&p.data);
    });
}

#[test]
fn a_stopped_node_lets_its_transaction_end_and_exits_with_0() {
    let rt = tokio::runtime::Runtime::new().unwrap();
    rt.block_on(async {
        let p = Plan::small("stop", 7, 0);
        let (mut s, _) = Fleet::start_ready(&p, 3).await.unwrap();
        let at = s.procs[6].http;
        let (_, v) = post(&s, at, "/sessions", json!({"database": "ledger"})).await;
        let ses = format!("/sessions/{}", v["session"]);
        assert_eq!(
            post(&s, at, &format!("{ses}/begin"), json!({"id": "t1"}))
                .await
                .0,
            200
        );
        s.procs[6].signal("-TERM");
        until("the node to turn unready", 10_000, || async {
            s.site.back.get(at, "/ready").await.is_none()
        })
        .await
        .unwrap();
        let step = json!({"kind": "order", "body": {"op": "put", "key": "t", "value": 5}});
        assert_eq!(post(&s, at, &format!("{ses}/run"), step).await.0, 200);
        assert_eq!(
            post(&s, at, "/sessions", json!({"database": "ledger"}))
                .await
                .1["error"],
            "leaving"
        );
        let done = post(&s, at, &format!("{ses}/commit"), json!({})).await;
        assert_eq!(done.0, 200, "{}", done.1);
        let c = s.procs[6].child.take();
        let code = tokio::task::spawn_blocking(move || {
            c.and_then(|mut c| c.wait().ok()).and_then(|s| s.code())
        })
        .await
        .unwrap();
        assert_eq!(code, Some(0));
        let _ = std::fs::remove_dir_all(&p.data);
    });
}
