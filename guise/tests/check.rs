//! Each fault planted into a history or a world is found by the rule that names it.

use guise::check::{check, Event, History, Off, Out};
use guise::mix::Class;
use guise::world::{Shape, World};
use serde_json::json;

fn event(class: Class, id: &str, value: i64, at: u64, out: Out) -> Event {
    Event {
        start: at,
        end: at + 1,
        session: 1,
        class,
        id: id.into(),
        key: "k".into(),
        value,
        out,
    }
}

fn world() -> World {
    World::new(&Shape {
        dbs: vec![("d".into(), vec!["a".into()], 2)],
        lag: 60,
    })
}

#[test]
fn each_planted_fault_is_found_by_its_rule() {
    let plant = |rule: &str, f: &dyn Fn(&mut History, &mut World)| {
        let (mut h, mut w) = (History::default(), world());
        let put = |w: &mut World, id: &str, v: i64| {
            let c = w.handle(1, 0, "/connect", &json!({})).unwrap()["conn"].clone();
            w.handle(1, 0, "/statement", &json!({"conn": c, "id": id, "write": true, "body": {"op": "put", "key": "k", "value": v}})).unwrap();
            w.handle(1, 0, "/close", &json!({ "conn": c })).unwrap();
        };
        put(&mut w, "a", 1);
        put(&mut w, "b", 2);
        h.events.push(event(Class::Write, "a", 1, 10, Out::Kept));
        h.events.push(event(Class::Write, "b", 2, 20, Out::Kept));
        h.events.push(event(Class::Current, "", 2, 30, Out::Kept));
        assert_eq!(check(&h, &w), Vec::<String>::new());
        f(&mut h, &mut w);
        let got = check(&h, &w);
        assert!(got.iter().any(|s| s.starts_with(rule)), "{rule}: {got:?}");
    };
    plant("lost", &|h, _| {
        h.events.push(event(Class::Write, "x", 3, 40, Out::Kept))
    });
    plant("kept", &|h, _| h.events[1].out = Out::Nothing);
    plant("twice", &|_, w| {
        let l = w.servers[0].data.log[1].clone();
        w.servers[0].data.put_line(l);
    });
    plant("late", &|_, w| {
        let l = w.servers[0].data.log[0].clone();
        w.servers[0].data.put_line(l);
    });
    plant("current", &|h, _| h.events[2].value = 1);
    plant("behind", &|h, _| {
        h.events
            .push(event(Class::Within(1500), "", 1, 2000, Out::Kept))
    });
    plant("own", &|h, _| {
        h.events.push(event(Class::Own(2500), "", 1, 40, Out::Kept))
    });
    plant("homes", &|h, _| {
        h.hops.push(("".into(), vec!["x".into()], vec!["y".into()]))
    });
    plant("settings", &|h, _| {
        h.settings.push(("a".into(), "b".into()))
    });
    plant("leaving", &|h, w| {
        w.worked.push((9000, 0));
        h.off.push(Off {
            server: "d-0".into(),
            since: 1000,
            until: u64::MAX,
            bound: 7000,
        });
    });
    plant("caps", &|_, w| w.over_cap = 1);
    plant("cold", &|_, w| {
        w.cold_limit = 5;
        w.cold.insert("d-0@1".into(), 6);
    });
    plant("two servers", &|_, w| {
        w.promote(50, "d-1").unwrap();
        let c = w.handle(60, 0, "/connect", &json!({})).unwrap()["conn"].clone();
        w.handle(60, 0, "/statement", &json!({"conn": c, "id": "z", "write": true, "body": {"op": "put", "key": "q", "value": 1}})).unwrap();
    });
}
