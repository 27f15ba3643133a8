//! What must hold in every state.

use super::cluster::Cluster;
use super::setup::{proposal, MACHINES};
use std::collections::{BTreeMap, BTreeSet};
use tenet::disk::{Durable, View};
use tenet::fingerprint::Fingerprint;

/// What clients and views were told in the past of a state.
#[derive(Clone, Default)]
pub struct History {
    /// Confirmed changes: their mark, their id, and the lowest view under which they were confirmed.
    pub confirmed: BTreeMap<(u64, u64), u64>,
    /// Views that were chosen or adopted, by number.
    pub views: BTreeMap<u64, View>,
    /// The machines that have held the lease.
    pub lease_holders: BTreeSet<usize>,
}

impl History {
    /// A client was told that its change took effect.
    pub fn confirm(&mut self, mark: u64, id: u64, view: u64) {
        let lowest = self.confirmed.entry((mark, id)).or_insert(view);
        *lowest = view.min(*lowest);
    }

    pub fn print(&self) -> u64 {
        let mut print = Fingerprint::default();
        for ((mark, id), view) in &self.confirmed {
            print.add(&(*mark, *id, *view));
        }
        print.add(&self.views);
        print.value()
    }

    fn settle(&mut self, view: &View) -> Result<(), String> {
        match self.views.insert(view.n, view.clone()) {
            Some(other) if other != *view => Err(format!(
                "two values for view {}: {other:?} and {view:?}",
                view.n
            )),
            _ => Ok(()),
        }
    }
}

impl Cluster {
    /// Checks this state, and adds what it shows to the history.
    pub fn check(&mut self) -> Result<(), String> {
        self.one_value_for_each_view()?;
        self.one_change_at_each_mark()?;
        self.confirmed_changes_are_kept()?;
        self.holders_hold_what_was_confirmed()?;
        self.one_lease_that_is_up_to_date()
    }

    fn one_value_for_each_view(&mut self) -> Result<(), String> {
        let known = |view: &View| self.history.views.get(&view.n) == Some(view);
        let in_memory = self.running().map(|(_, chain)| &chain.d.view);
        let on_disk = self.machines.iter().map(|machine| &machine.disk.view);
        let all = in_memory.chain(on_disk).chain(self.accepted_by_majority());
        let settled: Vec<View> = all.filter(|view| !known(view)).cloned().collect();
        if settled.is_empty() {
            return Ok(());
        }
        let history = std::sync::Arc::make_mut(&mut self.history);
        settled.iter().try_for_each(|view| history.settle(view))
    }

    fn accepted_by_majority(&self) -> Option<&View> {
        let disks = || self.machines.iter().map(|machine| &machine.disk);
        let same = |one: &Durable, other: &Durable| {
            one.view.n == other.view.n && one.accepted == other.accepted
        };
        let chosen = disks().filter(|disk| disk.accepted > 0).find(|disk| {
            let votes = disks().filter(|other| same(disk, other)).count();
            votes > MACHINES / 2
        })?;
        chosen.value.as_ref()
    }

    fn one_change_at_each_mark(&self) -> Result<(), String> {
        let confirmed: Vec<&(u64, u64)> = self.history.confirmed.keys().collect();
        match confirmed.windows(2).find(|pair| pair[0].0 == pair[1].0) {
            Some(pair) => Err(format!("two changes were confirmed at one mark: {pair:?}")),
            None => Ok(()),
        }
    }

    /// Members in sync with the view of the confirmation or a later one hold what was confirmed.
    fn confirmed_changes_are_kept(&self) -> Result<(), String> {
        for ((mark, id), view) in &self.history.confirmed {
            for (index, machine) in self.machines.iter().enumerate() {
                let disk = &machine.disk;
                let memory = machine.chain.as_ref().map(|chain| &chain.d);
                for state in [Some(disk), memory].into_iter().flatten() {
                    let seated = state.view.chain.iter().any(|seat| seat.id == state.id);
                    let in_sync = seated && state.whole == state.view.n && state.view.n >= *view;
                    if in_sync && !holds(state, *mark, *id) {
                        return Err(format!(
                            "{index}, in sync with view {}, lacks change {id}, confirmed as {mark} in view {view}",
                            state.view.n
                        ));
                    }
                }
            }
        }
        Ok(())
    }

    /// Those that the newest view names as holders hold all that was confirmed.
    fn holders_hold_what_was_confirmed(&self) -> Result<(), String> {
        let disks = || self.machines.iter().map(|machine| &machine.disk);
        let Some(newest) = disks().map(|disk| &disk.view).max_by_key(|view| view.n) else {
            return Ok(());
        };
        for disk in disks().filter(|disk| newest.is_holder(disk.id)) {
            for (mark, id) in self.history.confirmed.keys() {
                if !holds(disk, *mark, *id) {
                    return Err(format!(
                        "{}, a holder of view {}, lacks change {id}, confirmed as {mark}",
                        disk.id, newest.n
                    ));
                }
            }
        }
        Ok(())
    }

    fn one_lease_that_is_up_to_date(&mut self) -> Result<(), String> {
        let now = self.now();
        let serving = self
            .running()
            .filter(|(_, chain)| chain.serves_readers(now));
        let holders: Vec<usize> = serving.map(|(index, _)| index).collect();
        if holders.len() > 1 {
            return Err(format!("{holders:?} hold the lease at the same time"));
        }
        for index in holders {
            let Some(chain) = &self.machines[index].chain else {
                continue;
            };
            for (mark, id) in self.history.confirmed.keys() {
                if chain.synced < *mark || !holds(&chain.d, *mark, *id) {
                    return Err(format!(
                        "{index} serves mark {} of view {} under the lease, without change {id}, confirmed as {mark}",
                        chain.synced, chain.d.view.n
                    ));
                }
            }
            if !self.history.lease_holders.contains(&index) {
                let history = std::sync::Arc::make_mut(&mut self.history);
                history.lease_holders.insert(index);
            }
        }
        Ok(())
    }
}

fn holds(state: &Durable, mark: u64, id: u64) -> bool {
    let verdict = state.state.verdict(&proposal(id));
    verdict.is_some_and(|verdict| verdict.reject.is_none() && verdict.mark == mark)
}
