#![cfg(not(loom))]
//! Connections of a node to one server: how many, and which one a session gets.
use tenet::pool::*;
use tenet::wire::SetUp;

const R: Rules = Rules {
    queue: 1,
    warm_ms: 100,
    keep: 1000,
};

fn idle(id: u64) -> Conn {
    Conn {
        id,
        life: 1,
        user: 0,
        setup: SetUp::default(),
        idle: 5000,
    }
}

#[test]
fn a_cold_server_is_ramped_and_the_share_is_never_passed() {
    let mut p = Pool::new(1, 0);
    p.share = 4;
    p.warm = 2;
    let grab = |p: &mut Pool, t| {
        (0..9)
            .filter(|_| {
                matches!(
                    p.take(t, 0, &SetUp::default(), &R),
                    Take::Open | Take::Conn(_)
                )
            })
            .count()
    };
    assert_eq!(grab(&mut p, 0), 2);
    assert_eq!(grab(&mut p, 50), 1);
    assert_eq!(grab(&mut p, 5000), 1);
    assert_eq!(p.total(), 4);
    p.queue.push_back(0);
    assert!(matches!(p.take(5000, 0, &SetUp::default(), &R), Take::Full));
}

#[test]
fn a_smaller_share_gives_connections_back() {
    let mut p = Pool::new(1, 0);
    p.share = 4;
    for i in 0..4 {
        assert!(matches!(p.take(5000, 0, &SetUp::default(), &R), Take::Open));
        p.opened(1);
        assert!(p.put(idle(i)).is_none());
        assert!(matches!(
            p.take(5000, 0, &SetUp::default(), &R),
            Take::Conn(_)
        ));
    }
    (0..4).for_each(|i| assert!(p.put(idle(i)).is_none()));
    p.share = 1;
    assert_eq!(p.surplus(5001, &R).len(), 3);
    assert_eq!(p.total(), 1);
    assert_eq!(p.surplus(7000, &R).len(), 1);
}

fn setup(settings: &[(&str, &str)], prepared: &[(&str, &str)]) -> SetUp {
    let owned = |pairs: &[(&str, &str)]| {
        let own = |(name, value): &(&str, &str)| (name.to_string(), value.to_string());
        pairs.iter().map(own).collect()
    };
    SetUp {
        user: String::new(),
        settings: owned(settings),
        prepared: owned(prepared),
    }
}

/// A session gets the connection of another one only if it has the same values, each as the same kind.
#[test]
fn of_idle_connections_the_one_with_the_same_values_is_taken() {
    let option = setup(&[("s0", "FETCH q2c")], &[]);
    let statement = setup(&[], &[("s0", "FETCH q2c")]);
    let mut pool = Pool::new(1, 0);
    pool.share = 2;
    for setup in [&statement, &option] {
        assert!(matches!(pool.take(5000, 0, setup, &R), Take::Open));
        pool.opened(1);
    }
    for (id, setup) in [(1, &statement), (2, &option)] {
        let connection = Conn {
            setup: setup.clone(),
            ..idle(id)
        };
        assert!(pool.put(connection).is_none());
    }
    let taken = pool.take(5000, 0, &statement, &R);
    assert!(matches!(taken, Take::Conn(connection) if connection.id == 1));
}
