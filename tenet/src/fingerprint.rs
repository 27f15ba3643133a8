//! A digest of everything that decides what a chain member does next, for state-space searches.
use crate::base::{digest, mix, Addr};
use crate::chain::Chain;
use crate::wire::Msg;
use speedy::Writable;

/// Accumulates encoded parts into one digest that depends on their order.
#[derive(Default)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Adds a value by its encoding.
    pub fn add(&mut self, part: &impl Writable<speedy::LittleEndian>) {
        let bytes = part.write_to_vec().unwrap_or_default();
        self.0 = mix(self.0 ^ digest(&bytes));
    }

    /// The digest of what was added.
    pub fn value(&self) -> u64 {
        self.0
    }
}

impl Chain {
    /// Two members with the same fingerprint behave alike from then on.
    ///
    /// The struct is taken apart field by field, so that a new field cannot be forgotten here.
    pub fn fingerprint(&self) -> u64 {
        let Chain {
            me,
            d,
            log,
            synced,
            confirmed,
            next_seq,
            sync_q,
            late_q,
            succ_have,
            succ_sent,
            succ_at,
            resend_at,
            snapshots,
            incoming,
            agree,
            tail,
            contacts,
            disk_health,
            disk_probe_at,
            now,
            pledges,
            tick_at,
            born,
            adopted_at,
            followers,
            found,
            founders,
            copies,
            clock,
        } = self;
        let mut print = Fingerprint::default();
        print.add(me);
        print.add(d);
        print.add(&log.entries());
        print.add(&[*synced, *confirmed, *next_seq]);
        print.add(&[*succ_have, *succ_sent]);
        print.add(&sync_q.iter().copied().collect::<Vec<(u64, u64)>>());
        for (seq, messages) in late_q {
            print.add(seq);
            add_messages(&mut print, messages);
        }
        print.add(&[*succ_at, *resend_at, *tick_at, *born, *adopted_at]);
        print.add(snapshots);
        print.add(incoming);
        print.add(clock);
        print.add(agree);
        print.add(tail);
        print.add(contacts);
        print.add(&disk_health.waiting());
        print.add(&[*disk_probe_at, *now]);
        print.add(pledges);
        print.add(followers);
        print.add(&(*found, *copies as u64));
        print.add(founders);
        print.value()
    }
}

fn add_messages(print: &mut Fingerprint, messages: &Vec<(Addr, Msg)>) {
    print.add(messages);
}
