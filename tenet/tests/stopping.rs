#![cfg(not(loom))]
//! When a stopping process may end, and what follows from how long it may go on after it was told to.
use tenet::drain::Drain;
use tenet::grace::Grace;

#[test]
fn a_stop_waits_for_answers_and_open_transactions_but_not_for_ever() {
    let drain = Drain::new(100, Grace::default());
    assert!(!drain.done(1000, true, true, 0));
    assert!(drain.done(1200, true, true, 0));
    assert!(!drain.done(1200, false, true, 0) && drain.done(2900, false, true, 0));
    assert!(!drain.done(3300, true, false, 0) && !drain.done(3300, true, true, 1));
    assert!(drain.done(4101, false, false, 1));
}

/// Guards against times that hold for a grace of 6 s only: with 10 s an open transaction was cut after 4 s.
#[test]
fn the_times_of_a_stop_follow_from_its_grace() {
    for ms in [1_500, 2_000, 6_000, 10_000, 30_000] {
        let grace = Grace::of_ms(ms);
        let half = ms / 2;
        assert!(grace.transactions() >= half, "{ms}");
        assert!(grace.answers() > grace.transactions(), "{ms}");
        assert!(grace.end() > grace.answers(), "{ms}");
        assert!(grace.end() < ms, "it ends by itself, {ms}");
        assert!(
            grace.sessions_told() <= half && grace.least() <= half,
            "{ms}"
        );
        let drain = Drain::new(0, grace);
        assert!(
            !drain.done(half, false, false, 0),
            "a transaction is open, {ms}"
        );
        assert!(drain.done(ms, false, false, 1), "{ms}");
    }
    let six = Grace::of_ms(6_000);
    assert_eq!(
        (six.transactions(), six.answers(), six.end()),
        (3_000, 3_200, 4_000)
    );
    assert_eq!(six, Grace::default());
}
