//! What a control machine tells the others of its contacts and of its disk.

use crate::base::*;
use crate::chain::{Chain, Out};
use crate::colleagues::Colleagues;
use crate::disk::Rec;
use crate::wire::Msg;
use std::collections::BTreeSet;

impl Chain {
    /// Tells the voters, the chain and those that may join whom this machine hears.
    pub(crate) fn report_contacts(&mut self, now: Time, c: &Colleagues, out: &mut Out) {
        let ready = self.disk_health.ready(now);
        let Some(report) = self.contacts.report(now, ready) else {
            return;
        };
        let view = &self.d.view;
        let seats = view.voters.iter().chain(&view.chain);
        let mut targets: BTreeSet<Addr> = seats.map(|s| self.now_at(s, c)).collect();
        let seated = view.voters.iter().any(|s| s.id == self.me.id) || self.place().is_some();
        if seated {
            targets.extend(self.joiners(c).iter().map(|s| s.addr));
        }
        targets.remove(&self.me.addr);
        let m = Msg::Contact {
            hears: report.hears,
            disk_ready: report.disk_ready,
        };
        out.send.extend(targets.into_iter().map(|a| (a, m.clone())));
    }

    /// A machine outside the chain writes a small record from time to time, so that the others know
    /// whether its disk answers before they let it join.
    pub(crate) fn probe_own_disk(&mut self, now: Time, out: &mut Out) {
        if self.place().is_none() && now >= self.disk_probe_at && self.disk_health.idle() {
            self.disk_probe_at = now + DISK_PROBE;
            self.keep(Rec::Born(self.me.id), out);
        }
    }
}
