#![cfg(not(loom))]
use arbtest::arbtest;
use tenet::base::Addr;
use tenet::disk::*;
use tenet::state::*;

fn entry(mark: u64) -> Rec {
    let op = Op::Evacuate {
        domain: format!("d{mark}"),
        on: true,
    };
    Rec::Entry(Entry {
        clock: 0,
        mark,
        ask: Ask {
            question: 0,
            id: mark * 7,
            from: Addr::NONE,
            at: mark,
            op,
        },
    })
}

#[derive(Default, Clone)]
struct Files {
    slots: [Vec<u8>; 2],
    logs: [Vec<u8>; 2],
}

impl Files {
    fn at(&mut self, name: &str) -> &mut Vec<u8> {
        let i = name.ends_with('1') as usize;
        if name.starts_with("slot") {
            &mut self.slots[i]
        } else {
            &mut self.logs[i]
        }
    }
    fn act(&mut self, op: &FileOp, upto: usize) {
        match op {
            FileOp::Settle => (),
            FileOp::Append { name, bytes } => self.at(name).extend(&bytes[..upto.min(bytes.len())]),
            FileOp::Replace { name, bytes } => {
                *self.at(name) = bytes[..upto.min(bytes.len())].to_vec()
            }
        }
    }
    fn open(&self) -> Result<(Shelf, Option<Durable>), String> {
        Shelf::recover(
            [&self.slots[0], &self.slots[1]],
            [&self.logs[0], &self.logs[1]],
        )
    }
}

fn write(f: &mut Files, shelf: &mut Shelf, d: &mut Durable, recs: &[Rec]) {
    recs.iter().for_each(|r| {
        d.play(r);
    });
    shelf
        .keep(recs, d)
        .iter()
        .for_each(|o| f.act(o, usize::MAX));
}

fn start() -> (Files, Shelf, Durable) {
    let mut f = Files::default();
    let (mut shelf, none) = f.open().unwrap();
    assert!(none.is_none());
    let mut d = Durable::default();
    shelf.fresh(&d).iter().for_each(|o| f.act(o, usize::MAX));
    write(&mut f, &mut shelf, &mut d, &[Rec::Born(9)]);
    (f, shelf, d)
}

#[test]
fn a_torn_write_at_any_byte_loses_nothing_that_was_synced() {
    arbtest(|u| {
        let (mut f, mut shelf, mut d) = start();
        let n = u.int_in_range(0..=6)?;
        for _ in 0..n {
            if u.ratio(1, 4)? {
                shelf.fresh(&d).iter().for_each(|o| f.act(o, usize::MAX));
            }
            let m = d.state.mark + 1;
            write(&mut f, &mut shelf, &mut d, &[entry(m)]);
        }
        let kept = d.state.mark;
        let mut next = d.clone();
        let ops = if u.ratio(1, 2)? {
            shelf.fresh(&d)
        } else {
            let r = [entry(kept + 1), entry(kept + 2)];
            r.iter().for_each(|r| {
                next.play(r);
            });
            shelf.keep(&r, &next)
        };
        let whole = u.int_in_range(0..=ops.len())?;
        ops.iter().take(whole).for_each(|o| f.act(o, usize::MAX));
        if let Some(o) = ops.get(whole) {
            let at = u.int_in_range(0..=2000)?;
            f.act(o, at);
        }
        let (_, got) = f.open().expect("a torn write must not refuse the disk");
        let got = got.expect("a born disk stays born");
        assert!(
            got.id == 9 && (got.state.mark == kept || got.state.mark == kept + 2),
            "{} of {kept}",
            got.state.mark
        );
        Ok(())
    });
}

#[test]
fn damage_inside_what_was_synced_is_refused_or_harmless() {
    arbtest(|u| {
        let (mut f, mut shelf, mut d) = start();
        for m in 1..=5 {
            write(&mut f, &mut shelf, &mut d, &[entry(m)]);
        }
        let mut g = f.clone();
        let at = u.choose_index(g.logs[1].len())?;
        g.logs[1][at] ^= 1 << u.int_in_range(0..=7)?;
        match g.open() {
            Err(_) => (),
            Ok((_, Some(d))) => {
                let tail = tail_len(&f.logs[1]);
                assert!(
                    at >= f.logs[1].len() - tail,
                    "byte {at} of {} changed unseen, mark {}",
                    f.logs[1].len(),
                    d.state.mark
                );
            }
            Ok((_, None)) => panic!("the disk passed for empty"),
        }
        let mut g = f.clone();
        let at = u.choose_index(g.slots[1].len())?;
        g.slots[1][at] ^= 1;
        assert!(g.open().is_err(), "a damaged only slot must be refused");
        Ok(())
    });
}

fn tail_len(log: &[u8]) -> usize {
    let mut at = 0;
    let mut last = 0;
    while at < log.len() {
        last = 24 + u32::from_le_bytes(log[at + 4..at + 8].try_into().unwrap()) as usize;
        at += last;
    }
    last
}

#[test]
fn records_of_a_newer_form_are_refused_by_their_number() {
    let (f, ..) = start();
    for i in 0..2 {
        let mut g = f.clone();
        let log = &mut g.logs[1];
        let (whole, at) = (log.clone(), log.len());
        log.extend(whole);
        log[at] = b'w';
        if i == 1 {
            g = f.clone();
            g.slots[1][0] = b'w';
        }
        let e = g.open().err().unwrap_or_default();
        assert!(e.contains("form 119") && e.contains("newer"), "{e}");
    }
}
