#![cfg(not(loom))]
use arbtest::arbtest;
use serde_json::{json, Value};
use tenet::base::Addr;
use tenet::config::Config;
use tenet::kind::Kind;
use tenet::state::*;
use tenet::table::db_servers;

const ALUMNI: &str = include_str!("../../examples/alumni.json");

#[test]
fn the_examples_are_good_and_each_flaw_is_named_by_its_path() {
    for t in [
        ALUMNI,
        include_str!("../../examples/thessaly.json"),
        include_str!("../../examples/small.json"),
    ] {
        assert!(Config::parse(t).is_ok());
    }
    let flaw = |path: &[&str], v: Value, says: &str| {
        let mut c: Value = serde_json::from_str(ALUMNI).unwrap();
        let (last, front) = path.split_last().unwrap();
        let at = front.iter().fold(&mut c, |c, k| &mut c[*k]);
        at[*last] = v;
        let e = Config::parse(&c.to_string())
            .err()
            .unwrap_or_default()
            .join("; ");
        assert!(e.contains(says), "{path:?}: wanted '{says}', got '{e}'");
    };
    flaw(&["extra"], json!(1), "extra");
    flaw(
        &["databases", "members", "cap"],
        json!(0),
        "databases.members.cap",
    );
    flaw(
        &["databases", "members", "homes"],
        json!([]),
        "databases.members.homes",
    );
    flaw(
        &["databases", "members", "homes"],
        json!(["bern"]),
        "databases.members.homes[0]",
    );
    flaw(
        &["databases", "members", "homes"],
        json!(["geneva", "geneva"]),
        "databases.members.homes[1]",
    );
    flaw(
        &["databases", "members", "servers"],
        json!("db=a,db=b"),
        "databases.members.servers",
    );
    flaw(
        &["databases", "members", "servers"],
        json!("db=events"),
        "the same servers as databases.events",
    );
    flaw(
        &["databases", "members", "tenants"],
        json!({"x": []}),
        "databases.members.tenants.x",
    );
    flaw(
        &["databases", "members", "tenants"],
        json!({"x": ["lugano"]}),
        "no home of the database",
    );
    flaw(
        &["kinds", "ticket", "servers"],
        json!("a,!a"),
        "kinds.ticket.servers",
    );
    flaw(
        &["kinds", "ticket", "fresh"],
        json!({"within_ms": 1000}),
        "kinds.ticket.fresh",
    );
    flaw(
        &["kinds", "record-view", "fresh"],
        json!({"own_changes": true}),
        "kinds.record-view.fresh.within_ms",
    );
    flaw(
        &["kinds", "directory-search", "fresh"],
        json!({"within_ms": 1}),
        "within_ms",
    );
    flaw(&["pool"], json!({"queue": 0}), "pool.queue");
    flaw(&["timeouts"], json!({"detect_ms": 1}), "timeouts.detect_ms");
    flaw(&["domains"], json!({}), "domains");
}

#[test]
fn whatever_order_operators_send_in_marks_never_fall_and_stale_bases_change_nothing() {
    arbtest(|u| {
        let mut s = State::default();
        let mut last = 0;
        for i in 0..u.int_in_range(1..=12)? {
            let base = *u.choose(&[0, last, s.cfg_mark, s.cfg_base, 99])?;
            let text = u.choose(&["a", "b", "c"])?.to_string();
            let id = *u.choose(&[i + 1, 1, 2])?;
            let (was, was_mark) = (s.cfg.clone(), s.cfg_mark);
            let mark = s.mark + 1;
            let op = Op::Config {
                base,
                text: text.clone(),
            };
            let ask = Ask::unanswered(id, op);
            let before = s.verdict(&ask);
            let v = s.apply(&Entry::unstamped(mark, ask));
            assert!(s.cfg_mark >= was_mark);
            match (&before, &v.reject) {
                (Some(b), Some(r)) if r.kind == Kind::OtherBody => {
                    assert!(s.cfg == was && b.reject.as_ref() == Some(r))
                }
                (Some(b), _) => assert!(*b == v && s.cfg == was),
                (None, Some(r)) => {
                    assert!(r.kind == Kind::StaleBase && s.cfg == was && base != was_mark)
                }
                (None, None) => assert!(s.cfg == text && (base == was_mark || text == was)),
            }
            last = v.mark;
        }
        Ok(())
    });
}

fn ruled(rules: &str, servers: &str) -> Result<Config, Vec<String>> {
    let mut v: serde_json::Value =
        serde_json::from_str(include_str!("../../examples/alumni.json")).unwrap();
    v["rules"] = serde_json::from_str(rules).unwrap();
    v["servers"] = serde_json::from_str(servers).unwrap();
    Config::parse(&v.to_string())
}

#[test]
fn rules_pick_kinds_by_label_and_their_order_is_stated() {
    let c = ruled(
        r#"[{"name": "a", "kinds": "class=search", "rank": 1, "servers": "tier=a"},
            {"name": "b", "kinds": "class", "rank": 2, "servers": "tier=b"},
            {"name": "c", "kinds": "name=booking-state", "fresh": {"within_ms": 700}}]"#,
        "{}",
    );
    let c = c.unwrap_or_else(|e| panic!("{e:?}"));
    assert_eq!(c.effective("directory-search").servers, "tier=b");
    assert_eq!(
        c.effective("directory-search").fresh.within_ms,
        Some(1500),
        "its own bound stands before any rule"
    );
    assert_eq!(c.effective("booking-state").fresh.within_ms, Some(700));
    assert_eq!(c.effective("ticket").fresh.within_ms, None);
    let bad = [
        (
            r#"[{"name": "a", "kinds": "class", "servers": "x=1"}, {"name": "b", "kinds": "class=search", "servers": "x=2"}]"#,
            "rules[1].servers: ties with rules[0]",
        ),
        (
            r#"[{"name": "a", "kinds": "class=,", "servers": "x"}]"#,
            "rules[0].kinds:",
        ),
        (
            r#"[{"name": "a", "kinds": "class"}]"#,
            "rules[0]: says neither",
        ),
        (
            r#"[{"name": "a", "kinds": "class", "fresh": {"own_changes": true}}]"#,
            "rules[0].fresh.within_ms:",
        ),
        (
            r#"[{"name": "a", "kinds": "", "servers": "x"}, {"name": "a", "kinds": "", "servers": "x"}]"#,
            "rules[1].name:",
        ),
    ];
    for (rules, says) in bad {
        let e = ruled(rules, "{}").err().unwrap_or_default();
        assert!(e.iter().any(|x| x.starts_with(says)), "{says}: {e:?}");
    }
}

#[test]
fn a_server_is_claimed_once_and_what_matches_nothing_is_told() {
    let mut st = State::default();
    let labels = [("db".to_string(), "members".to_string())].into();
    let op = Op::Announce {
        server: "s".into(),
        addr: Addr::NONE,
        domain: "geneva-1".into(),
        labels,
        life: 1,
        leads: true,
        terms: false,
        seq: 0,
        leaving: false,
    };
    st.apply(&Entry::unstamped(1, Ask::unanswered(1, op)));
    let c = ruled(
        "[]",
        r#"{"s": {"labels": {"db": "events"}}, "ghost": {"labels": {}}}"#,
    )
    .unwrap_or_else(|e| panic!("{e:?}"));
    let c = std::sync::Arc::new(c);
    assert_eq!(
        (
            db_servers(&c, &st, "events").len(),
            db_servers(&c, &st, "members").len()
        ),
        (1, 0),
        "the configuration's labels win"
    );
    let w = c.warnings(Some(&st));
    for says in [
        "databases.members.servers: matches no server",
        "servers.ghost: no such server",
    ] {
        assert!(w.iter().any(|x| x.starts_with(says)), "{says}: {w:?}");
    }
    let mut v: serde_json::Value =
        serde_json::from_str(include_str!("../../examples/alumni.json")).unwrap();
    v["databases"]["events"]["servers"] = "db in (events, members)".into();
    let text = v.to_string();
    let wide = Config::parse(&text).unwrap_or_else(|e| panic!("{e:?}"));
    assert!(
        wide.warnings(None)
            .iter()
            .any(|x| x.contains("may match databases.events too")),
        "{:?}",
        wide.warnings(None)
    );
    let r = st
        .check(&Op::Config { base: 0, text })
        .err()
        .map(|r| r.to_string())
        .unwrap_or_default();
    assert!(
        r.contains("server s is claimed by databases.events too"),
        "{r}"
    );
}
