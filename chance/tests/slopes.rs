use chance::slopes::change::{change, loss};
use chance::slopes::fit::{line, power, spread, Spread};
use chance::slopes::fleet::Fleet;
use chance::slopes::report::Series;
use chance::slopes::scene::{Scene, VOTERS};
use chance::slopes::tally::Tally;
use std::time::Duration;

#[test]
fn a_line_is_found_and_a_point_gives_none() {
    let l = line(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((l.base - 3.0).abs() < 1e-9 && (l.slope - 2.0).abs() < 1e-9);
    assert!((l.at(10.0) - 23.0).abs() < 1e-9);
    assert_eq!(line(&[(1.0, 5.0)]), None);
    assert_eq!(line(&[(1.0, 5.0), (1.0, 6.0)]), None);
    assert_eq!(line(&[]), None);
}

#[test]
fn the_power_tells_a_square_from_a_line() {
    let sq: Vec<(f64, f64)> = [10.0, 30.0, 100.0].map(|x| (x, 4.0 * x * x)).to_vec();
    assert!((power(&sq).unwrap() - 2.0).abs() < 1e-9);
    assert!((power(&[(1.0, 3.0), (10.0, 30.0)]).unwrap() - 1.0).abs() < 1e-9);
    assert_eq!(power(&[(1.0, 0.0), (10.0, 30.0)]), None);
}

#[test]
fn a_spread_is_median_least_and_most() {
    assert_eq!(
        spread(&[3.0, 1.0, 2.0]),
        Spread {
            mid: 2.0,
            low: 1.0,
            high: 3.0
        }
    );
    assert_eq!(spread(&[4.0, 1.0, 2.0, 3.0]).mid, 2.5);
    assert_eq!(spread(&[]), Spread::default());
}

#[test]
fn a_series_is_told_by_its_medians() {
    let mut s = Series::new("ms");
    [(10, 1.0), (10, 9.0), (10, 2.0), (20, 4.0)]
        .into_iter()
        .for_each(|(x, y)| s.add(x, y));
    let t = s.text("tick");
    assert!(
        t.contains("2.00 (1.00 .. 9.00; 3 runs)") && t.contains("x^1.00"),
        "{t}"
    );
}

#[test]
fn tallies_add_up() {
    let (mut a, mut b) = (Tally::default(), Tally::default());
    a.send("probe", 10);
    b.send("probe", 5);
    b.take("fresh", 7);
    b.ran(Duration::from_millis(3));
    a.join(&b);
    assert_eq!(a.totals(), ((2, 15), (1, 7)));
    assert_eq!((a.polls, a.worst), (1, Duration::from_millis(3)));
}

fn settled(real: usize) -> (Fleet, tenet::state::State) {
    let sc = Scene {
        nodes: 12,
        dbs: 3,
        routes: 5,
    };
    let st = sc.state();
    let mut f = Fleet::new(sc, &st, real, true);
    f.run(6000);
    (f, st)
}

#[test]
fn a_settled_fleet_decides_nothing_and_loses_nobody() {
    for real in [12, 4] {
        let (mut f, st) = settled(real);
        f.reset();
        f.run(10_000);
        assert_eq!(
            f.known(),
            (15, st.mark as usize),
            "{real} real: {:?}",
            f.told
        );
        let r = f.roles(&st);
        let asks = r["tail"].1.got["refresh"].0;
        assert!(
            (12 * 14..=15 * 18).contains(&asks),
            "{real} real: {asks} asks in 4 s"
        );
    }
}

#[test]
fn a_change_reaches_every_real_node_once() {
    for real in [12, 4] {
        let (mut f, st) = settled(real);
        let c = change(&mut f, 1, 3000);
        assert_eq!(c.missing, 0);
        assert!(c.took.high > 0.0 && c.took.high < 1000.0, "{:?}", c.took);
        assert!(
            c.node_in as usize > c.text && (c.node_in as usize) < 2 * c.text + 12 * 400,
            "{} of {}",
            c.node_in,
            c.text
        );
        assert_eq!(f.known(), (VOTERS + 12, st.mark as usize + 1));
    }
}

#[test]
fn the_head_knows_the_lost_and_only_those() {
    let (mut f, _) = settled(12);
    let (took, never) = loss(&mut f, 20_000);
    assert_eq!((took.len(), never), (4, 0));
    assert!(took.iter().all(|t| *t > 250.0), "{took:?}");
    let (mut f, _) = settled(12);
    f.victims.push(chance::slopes::scene::seat(VOTERS).id);
    f.run(20_000);
    assert!(f.seen_off.is_empty());
}
