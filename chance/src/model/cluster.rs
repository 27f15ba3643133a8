//! One state of the model: three machines, their disks, and what is on its way.

use super::event::{Event, Queued};
use super::limits::{Cut, Spent};
use super::machine::{run, Effects, Input, Machine};
use super::safety::History;
use super::setup::{client, colleagues, founded, index_of, proposal, MACHINES, STEP};
use std::collections::VecDeque;
use std::sync::Arc;
use tenet::base::{Addr, Time};
use tenet::chain::Chain;
use tenet::colleagues::Colleagues;
use tenet::fingerprint::Fingerprint;
use tenet::wire::Msg;

/// How many rounds without contact make a machine suspect another.
const SILENT_STEPS: u32 = 2;
/// One state of the model.
#[derive(Clone)]
pub struct Cluster {
    pub step: u32,
    pub machines: [Arc<Machine>; MACHINES],
    pub queue: VecDeque<Arc<Queued>>,
    /// Events that happen at a later step.
    pub delayed: Vec<(u32, Arc<Queued>)>,
    pub cut: Cut,
    /// Suspicions without cause last until these steps, by observer and suspect.
    pub wrongly: [[u32; MACHINES]; MACHINES],
    pub spent: Spent,
    pub history: Arc<History>,
    apart_since: [[Option<u32>; MACHINES]; MACHINES],
    opinions: Arc<Vec<Colleagues>>,
    proposals: &'static [u32],
}

impl Cluster {
    /// A founded cluster at step 0 whose client proposes at the steps named.
    pub fn new(proposals: &'static [u32]) -> Self {
        let start = |index| Arc::new(Machine::start(founded(index), index, 0));
        let mut cluster = Cluster {
            step: 0,
            machines: std::array::from_fn(start),
            queue: VecDeque::new(),
            delayed: Vec::new(),
            cut: Cut::default(),
            wrongly: Default::default(),
            spent: Spent::default(),
            history: Arc::default(),
            apart_since: Default::default(),
            opinions: Arc::default(),
            proposals,
        };
        cluster.observe();
        cluster
    }

    pub fn now(&self) -> Time {
        STEP * Time::from(self.step)
    }

    pub fn running(&self) -> impl Iterator<Item = (usize, &Chain)> {
        let chains = self.machines.iter().map(|machine| machine.chain.as_ref());
        let running = |(index, chain): (usize, Option<_>)| chain.map(|chain| (index, chain));
        chains.enumerate().filter_map(running)
    }

    /// Equal for states that behave alike; what was spent on faults is left out but for the kinds.
    pub fn print(&self) -> u64 {
        let mut print = Fingerprint::default();
        print.add(&self.step);
        print.add(&self.machines.iter().map(|m| m.print).collect::<Vec<u64>>());
        print.add(&self.queue.iter().map(|q| q.print).collect::<Vec<u64>>());
        let late: Vec<(u32, u64)> = self.delayed.iter().map(|(s, q)| (*s, q.print)).collect();
        print.add(&late);
        print.add(&self.cut.until);
        for index in 0..MACHINES {
            print.add(&self.cut.links[index].to_vec());
            print.add(&self.wrongly[index].to_vec());
            print.add(&self.apart_since[index].to_vec());
        }
        let Spent {
            messages,
            crashes,
            cuts,
            suspicions,
            ..
        } = self.spent;
        print.add(&[messages, crashes, cuts, suspicions]);
        print.add(&self.history.print());
        print.value()
    }

    /// Lets what is first in the queue happen, or the clock advance when nothing waits.
    pub fn next(&mut self) {
        match self.queue.pop_front() {
            Some(queued) => self.happen(&queued),
            None => self.advance(),
        }
    }

    fn happen(&mut self, queued: &Queued) {
        match &queued.event {
            Event::Deliver { from, to, message } => {
                let message = message.clone();
                self.poll(
                    *to,
                    Input::Message {
                        from: *from,
                        message,
                    },
                );
            }
            Event::Sync { machine, batch } => {
                Arc::make_mut(&mut self.machines[*machine]).sync(*batch);
                self.poll(*machine, Input::Synced(*batch));
            }
        }
    }

    /// The next step of the clock: what was delayed happens, processes restart, all poll their timers.
    pub fn advance(&mut self) {
        self.step += 1;
        if self.cut.until <= self.step {
            self.cut = Cut::default();
        }
        for index in 0..MACHINES {
            if self.machines[index].chain.is_none() && self.machines[index].restart_at <= self.step
            {
                let disk = self.machines[index].disk.clone();
                self.machines[index] = Arc::new(Machine::start(disk, index, self.now()));
            }
        }
        self.observe();
        let step = self.step;
        let due = self.delayed.iter().filter(|(at, _)| *at <= step);
        self.queue.extend(due.map(|(_, queued)| queued.clone()));
        self.delayed.retain(|(at, _)| *at > step);
        (0..MACHINES).for_each(|index| self.poll(index, Input::Tick));
        if self.proposals.contains(&self.step) {
            self.propose();
        }
    }

    /// Each process that takes itself for the head is given a proposal of its own.
    pub fn propose(&mut self) {
        let heads: Vec<usize> = self
            .running()
            .filter(|(_, chain)| chain.is_head())
            .map(|(index, _)| index)
            .collect();
        for index in heads {
            let id = u64::from(self.step) * 10 + index as u64;
            let ask = proposal(id);
            let message = Box::new(Msg::Propose { ask });
            self.poll(
                index,
                Input::Message {
                    from: index,
                    message,
                },
            );
        }
    }

    /// Ends a process. Of the writes that were not synced all are on the disk, or none.
    pub fn crash(&mut self, index: usize, keep_unsynced: bool, steps_down: u32) {
        let restart_at = self.step + steps_down;
        let machine = Arc::make_mut(&mut self.machines[index]);
        if keep_unsynced {
            machine.sync(u64::MAX);
        }
        machine.unsynced.clear();
        machine.chain = None;
        machine.restart_at = restart_at;
        machine.refresh_print();
        let others = |queued: &Arc<Queued>| match queued.event {
            Event::Sync { machine, .. } => machine != index,
            Event::Deliver { .. } => true,
        };
        self.queue.retain(others);
        self.delayed.retain(|(_, queued)| others(queued));
    }

    /// Brings the failure detectors up to date: they suspect who was out of reach for some steps.
    fn observe(&mut self) {
        let step = self.step;
        let up: Vec<bool> = self.machines.iter().map(|m| m.chain.is_some()).collect();
        let views = std::array::from_fn(|i| self.machines[i].disk.view.n);
        let mut opinions = Vec::new();
        for index in 0..MACHINES {
            let mut silent = [None; MACHINES];
            for peer in (0..MACHINES).filter(|peer| *peer != index) {
                let cut = self.cut.links[index][peer] || self.cut.links[peer][index];
                let apart = cut || !up[index] || !up[peer];
                let since = &mut self.apart_since[index][peer];
                *since = apart.then(|| since.unwrap_or(step));
                let lost = since.filter(|since| step >= since + SILENT_STEPS);
                let wrongly = (self.wrongly[index][peer] > step).then_some(step);
                silent[peer] = lost.or(wrongly).map(|since| STEP * Time::from(since));
            }
            opinions.push(colleagues(index, &silent, &views, self.now()));
        }
        self.opinions = Arc::new(opinions);
    }

    fn poll(&mut self, index: usize, input: Input) {
        let now = self.now();
        let opinions = self.opinions.clone();
        let machine = Arc::make_mut(&mut self.machines[index]);
        let Some(chain) = machine.chain.as_mut() else {
            return;
        };
        let mut effects = Effects::default();
        run(chain, now, input, &opinions[index], &mut effects);
        let view = chain.d.view.n;
        if let Some((batch, records)) = effects.written {
            machine.unsynced.push((batch, records));
            let sync = Queued::new(Event::Sync {
                machine: index,
                batch,
            });
            self.queue.push_front(Arc::new(sync));
        }
        machine.refresh_print();
        for (addr, message) in effects.send {
            self.send(index, view, addr, message);
        }
    }

    fn send(&mut self, from: usize, view: u64, addr: Addr, message: Msg) {
        match (index_of(addr), message) {
            (Some(to), message) if !self.cut.links[from][to] => {
                let message = Box::new(message);
                let queued = Queued::new(Event::Deliver { from, to, message });
                self.queue.push_back(Arc::new(queued));
            }
            (
                None,
                Msg::Outcome {
                    question: id,
                    verdict,
                },
            ) if addr == client() && verdict.reject.is_none() && verdict.mark > 0 => {
                Arc::make_mut(&mut self.history).confirm(verdict.mark, id, view);
            }
            _ => (),
        }
    }
}
