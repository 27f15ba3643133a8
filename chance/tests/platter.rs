use chance::platter::{micros, Platter};
use tenet::base::{mix, Addr};
use tenet::disk::*;
use tenet::state::{Ask, Entry, Op};

fn entry(mark: u64, big: usize) -> Rec {
    let op = Op::Config {
        base: mark,
        text: "x".repeat(big),
    };
    Rec::Entry(Entry {
        clock: 0,
        mark,
        ask: Ask {
            question: 0,
            id: mark,
            from: Addr::NONE,
            at: 0,
            op,
        },
    })
}

fn read(p: &Platter) -> Result<(Shelf, Durable), String> {
    let f = |n: &str| p.files.get(n).cloned().unwrap_or_default();
    let (s, l) = ([f(SLOTS[0]), f(SLOTS[1])], [f(LOGS[0]), f(LOGS[1])]);
    Shelf::recover([&s[0], &s[1]], [&l[0], &l[1]]).map(|(s, d)| (s, d.unwrap_or_default()))
}

struct Life {
    p: Platter,
    acked: u64,
    roll: u64,
    forgets: bool,
}

impl Life {
    fn coin(&mut self, m: u64) -> u64 {
        self.roll = mix(self.roll);
        self.roll % m
    }

    fn write(&mut self, shelf: &mut Shelf, d: &mut Durable, v: Vec<Rec>, left: &mut u64) -> bool {
        v.iter().for_each(|r| {
            d.play(r);
        });
        let ops = if v.is_empty() {
            shelf.fresh(d)
        } else {
            shelf.keep(&v, d)
        };
        for o in ops {
            for m in micros(&self.p, &o) {
                if *left == 0 {
                    return false;
                }
                *left -= 1;
                let skip = self.forgets && matches!(m, chance::platter::Micro::Sync(_));
                if !skip && !self.p.act(m) {
                    return false;
                }
            }
        }
        self.acked = d.state.mark;
        true
    }

    fn live(&mut self, seed: u64) -> Result<(), String> {
        let (mut shelf, mut d) = read(&self.p)?;
        let got = d.state.mark;
        if got < self.acked {
            return Err(format!(
                "seed {seed}: {} was synced, {got} came back",
                self.acked
            ));
        }
        let mut left = self.coin(60);
        let mut on = self.write(&mut shelf, &mut d, vec![], &mut left);
        while on {
            let n = 1 + self.coin(3);
            let big = if self.coin(20) == 0 { 400_000 } else { 40 };
            let from = d.state.mark;
            let v = (1..=n).map(|k| entry(from + k, big)).collect();
            on = self.write(&mut shelf, &mut d, v, &mut left);
        }
        let power = self.coin(3) > 0;
        let mut k = self.roll;
        self.p.crash(power, &mut || {
            k = mix(k);
            k.is_multiple_of(2)
        });
        Ok(())
    }
}

fn lives(seed: u64, full: bool, forgets: bool) -> Result<u64, String> {
    let mut l = Life {
        p: Platter::default(),
        acked: 0,
        roll: mix(seed),
        forgets,
    };
    for _ in 0..25 {
        l.p.full = full && l.coin(3) == 0;
        l.live(seed)?;
    }
    Ok(l.acked)
}

#[test]
fn a_crash_at_any_step_of_any_file_operation_keeps_all_that_was_synced() {
    let n: u64 = (1..100)
        .map(|s| lives(s, false, false).unwrap_or_else(|e| panic!("{e}")))
        .sum();
    assert!(n > 2_000, "only {n} entries were ever synced");
}

#[test]
fn a_full_disk_keeps_all_that_was_synced_and_goes_on_when_there_is_room() {
    let n: u64 = (1..100)
        .map(|s| lives(s, true, false).unwrap_or_else(|e| panic!("{e}")))
        .sum();
    assert!(n > 1_000, "only {n} entries were ever synced");
}

#[test]
fn a_disk_that_skips_its_syncs_is_found() {
    assert!((1..60).any(|s| lives(s, false, true).is_err()));
}

#[cfg(plant)]
#[test]
fn a_folder_opened_at_its_older_slot_is_found() {
    tenet::plant::plant(tenet::plant::Bug::OlderSlot);
    assert!((1..60).any(|s| lives(s, false, false).is_err()));
}
