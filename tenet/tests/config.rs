#![cfg(not(loom))]
use arbtest::arbtest;
use serde_json::{json, Value};
use tenet::base::Addr;
use tenet::config::Config;
use tenet::kind::Kind;
use tenet::state::*;

const ALUMNI: &str = include_str!("../../examples/alumni.json");

#[test]
fn the_examples_are_good_and_each_flaw_is_named_by_its_path() {
    for t in [ALUMNI, include_str!("../../examples/thessaly.json"), include_str!("../../examples/small.json")] {
        assert!(Config::parse(t).is_ok());
    }
    let flaw = |path: &[&str], v: Value, says: &str| {
        let mut c: Value = serde_json::from_str(ALUMNI).unwrap();
        let (last, front) = path.split_last().unwrap();
        let at = front.iter().fold(&mut c, |c, k| &mut c[*k]);
        at[*last] = v;
        let e = Config::parse(&c.to_string()).err().unwrap_or_default().join("; ");
        assert!(e.contains(says), "{path:?}: wanted '{says}', got '{e}'");
    };
    flaw(&["extra"], json!(1), "extra");
    flaw(&["databases", "members", "cap"], json!(0), "databases.members.cap");
    flaw(&["databases", "members", "homes"], json!([]), "databases.members.homes");
    flaw(&["databases", "members", "homes"], json!(["bern"]), "databases.members.homes[0]");
    flaw(&["databases", "members", "homes"], json!(["geneva", "geneva"]), "databases.members.homes[1]");
    flaw(&["databases", "members", "servers"], json!("db=a,db=b"), "databases.members.servers");
    flaw(&["databases", "members", "servers"], json!("db=events"), "the same servers as databases.events");
    flaw(&["databases", "members", "tenants"], json!({"x": []}), "databases.members.tenants.x");
    flaw(&["databases", "members", "tenants"], json!({"x": ["lugano"]}), "no home of the database");
    flaw(&["kinds", "ticket", "servers"], json!("a,!a"), "kinds.ticket.servers");
    flaw(&["kinds", "ticket", "fresh"], json!({"within_ms": 1000}), "kinds.ticket.fresh");
    flaw(&["kinds", "record-view", "fresh"], json!({"own_changes": true}), "kinds.record-view.fresh.within_ms");
    flaw(&["kinds", "directory-search", "fresh"], json!({"within_ms": 1}), "within_ms");
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
            let ask = Ask { id, from: Addr::NONE, at: 0, op: Op::Config { base, text: text.clone() } };
            let before = s.verdict(&ask);
            let v = s.apply(&Entry { mark, ask });
            assert!(s.cfg_mark >= was_mark);
            match (&before, &v.reject) {
                (Some(b), Some(r)) if r.kind == Kind::OtherBody => assert!(s.cfg == was && b.reject.as_ref() == Some(r)),
                (Some(b), _) => assert!(*b == v && s.cfg == was),
                (None, Some(r)) => assert!(r.kind == Kind::StaleBase && s.cfg == was && base != was_mark),
                (None, None) => assert!(s.cfg == text && (base == was_mark || text == was)),
            }
            last = v.mark;
        }
        Ok(())
    });
}
