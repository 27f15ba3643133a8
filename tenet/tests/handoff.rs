#![cfg(loom)]
use loom::thread;
use tenet::handoff::Handoff;

#[test]
fn a_reader_never_sees_an_older_table_or_a_permit_of_another() {
    loom::model(|| {
        let (give, mut take) = Handoff::new((0u64, 0u64));
        let t = thread::spawn(move || {
            give.give((1, 10));
            give.give((2, 20));
        });
        let r = thread::spawn(move || {
            let mut last = 0;
            for _ in 0..3 {
                if let Some((mark, until)) = take.newer() {
                    assert!(mark > last, "{mark} after {last}");
                    assert_eq!(until, mark * 10);
                    last = mark;
                }
            }
            (take, last)
        });
        let _ = t.join();
        if let Ok((mut take, last)) = r.join() {
            let end = take.newer().map_or(last, |x| x.0);
            assert_eq!(end, 2, "the newest table was lost");
        }
    });
}
