//! Two operators race, answers are lost, repeats go to other nodes, clocks jump, heads die.
use chance::days::{day, run_day};
use guise::termed::Flaw;

#[test]
fn racing_operators_are_told_the_truth_and_every_confirmed_order_stays_confirmed() {
    let (mut confirmations, mut refusals, mut unclear) = (0, 0, 0);
    let seeds = 1..=6;
    for seed in seeds.clone() {
        let run = run_day(day("race").unwrap(), seed, Flaw::None);
        assert_eq!(run.faults(), Vec::<String>::new(), "seed {seed}");
        let book = &run.watch.races.book;
        confirmations += book.confirmations;
        refusals += book.refusals;
        unclear += book.unclear;
    }
    let days = seeds.count();
    assert!(confirmations > 30 * days, "{confirmations} confirmations");
    assert!(
        refusals > 5 * days,
        "{refusals} refusals of a second document"
    );
    assert!(
        unclear < days,
        "{unclear} looks at a zone left out, of {}",
        3 * days
    );
}
