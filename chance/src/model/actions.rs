//! The ways in which a schedule may deviate from the default.

use super::cluster::Cluster;
use super::event::Event;
use super::limits::{Cut, Limits};
use super::setup::MACHINES;
use std::fmt;

const SUSPECT_STEPS: u32 = 2;

/// One deviation.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// The message that is first is lost.
    Lose,
    /// What is first happens this many steps later.
    Delay(u32),
    /// The message that is first is overtaken by all others.
    Overtake,
    /// The message that is first arrives, and once more this many steps later.
    Repeat(u32),
    Crash {
        machine: usize,
        keep_unsynced: bool,
        steps_down: u32,
    },
    /// One machine is cut off from both others, or only what it sends is lost.
    Isolate {
        machine: usize,
        both_ways: bool,
        steps: u32,
    },
    /// One link carries nothing, in one direction or in both.
    Unlink {
        from: usize,
        to: usize,
        both_ways: bool,
        steps: u32,
    },
    /// One machine takes another for silent, without cause.
    Suspect { observer: usize, suspect: usize },
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "** {self:?}")
    }
}

impl Cluster {
    /// All deviations that are possible here. A crash is tried only before something happens to that
    /// machine, since it commutes with what happens to others. Messages that write nothing and are sent again
    /// soon are let through, unless the limits say otherwise: a crash before one equals a crash later.
    pub fn deviations(&self, limits: &Limits) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.spent.deviations >= limits.deviations || self.step >= limits.calm_from {
            return actions;
        }
        let crashes = self.spent.crashes < limits.crashes;
        match self.queue.front().map(|queued| (queued, &queued.event)) {
            Some((_, event)) if event.heartbeat() && !limits.heartbeats => (),
            Some((queued, event)) => {
                if self.spent.messages < limits.messages {
                    self.event_deviations(event, limits, &mut actions);
                }
                if crashes {
                    self.crash_deviations(queued.target(), limits, &mut actions);
                }
            }
            None => {
                if crashes {
                    (0..MACHINES).for_each(|i| self.crash_deviations(i, limits, &mut actions));
                }
                if self.spent.cuts < limits.cuts {
                    cut_deviations(limits, &mut actions);
                }
                if self.spent.suspicions < limits.suspicions {
                    actions.extend(
                        pairs().map(|(observer, suspect)| Action::Suspect { observer, suspect }),
                    );
                }
            }
        }
        actions
    }

    fn event_deviations(&self, event: &Event, limits: &Limits, actions: &mut Vec<Action>) {
        actions.extend(limits.late.iter().map(|steps| Action::Delay(*steps)));
        if let Event::Sync { .. } = event {
            return;
        }
        actions.push(Action::Lose);
        actions.extend(limits.late.iter().map(|steps| Action::Repeat(*steps)));
        if self.queue.len() > 1 {
            actions.push(Action::Overtake);
        }
    }

    fn crash_deviations(&self, machine: usize, limits: &Limits, actions: &mut Vec<Action>) {
        if self.machines[machine].chain.is_none() {
            return;
        }
        let unsynced = !self.machines[machine].unsynced.is_empty();
        for steps_down in limits.down.iter().copied() {
            actions.push(Action::Crash {
                machine,
                keep_unsynced: false,
                steps_down,
            });
            if unsynced {
                actions.push(Action::Crash {
                    machine,
                    keep_unsynced: true,
                    steps_down,
                });
            }
        }
    }

    /// Carries out what a schedule chose: a deviation, or the default.
    pub fn take(&mut self, choice: Option<Action>) {
        match choice {
            Some(action) => self.deviate(action),
            None => self.next(),
        }
    }

    /// Carries a deviation out.
    pub fn deviate(&mut self, action: Action) {
        self.spent.deviations += 1;
        match action {
            Action::Lose => {
                self.spent.messages += 1;
                self.queue.pop_front();
            }
            Action::Delay(steps) => {
                self.spent.messages += 1;
                let first = self.queue.pop_front();
                let at = self.step + steps;
                self.delayed.extend(first.map(|queued| (at, queued)));
            }
            Action::Overtake => {
                self.spent.messages += 1;
                self.queue.rotate_left(1);
            }
            Action::Repeat(steps) => {
                self.spent.messages += 1;
                let at = self.step + steps;
                let first = self.queue.front().cloned();
                self.delayed.extend(first.map(|queued| (at, queued)));
                self.next();
            }
            Action::Crash {
                machine,
                keep_unsynced,
                steps_down,
            } => {
                self.spent.crashes += 1;
                self.crash(machine, keep_unsynced, steps_down);
            }
            Action::Isolate {
                machine,
                both_ways,
                steps,
            } => {
                self.spent.cuts += 1;
                let cut = |from: usize, to: usize| {
                    from != to && (from == machine || (both_ways && to == machine))
                };
                self.cut_links(cut, steps);
            }
            Action::Unlink {
                from,
                to,
                both_ways,
                steps,
            } => {
                self.spent.cuts += 1;
                let cut = |a: usize, b: usize| {
                    (a, b) == (from, to) || (both_ways && (a, b) == (to, from))
                };
                self.cut_links(cut, steps);
            }
            Action::Suspect { observer, suspect } => {
                self.spent.suspicions += 1;
                self.wrongly[observer][suspect] = self.step + 1 + SUSPECT_STEPS;
            }
        }
    }

    fn cut_links(&mut self, cut: impl Fn(usize, usize) -> bool, steps: u32) {
        self.cut = Cut {
            links: std::array::from_fn(|from| std::array::from_fn(|to| cut(from, to))),
            until: self.step + 1 + steps,
        };
    }
}

fn pairs() -> impl Iterator<Item = (usize, usize)> {
    let all = (0..MACHINES).flat_map(|from| (0..MACHINES).map(move |to| (from, to)));
    all.filter(|(from, to)| from != to)
}

fn cut_deviations(limits: &Limits, actions: &mut Vec<Action>) {
    for steps in limits.cut.iter().copied() {
        for both_ways in [false, true] {
            actions.extend((0..MACHINES).map(|machine| Action::Isolate {
                machine,
                both_ways,
                steps,
            }));
            let links = pairs().filter(|(from, to)| !both_ways || from < to);
            actions.extend(links.map(|(from, to)| Action::Unlink {
                from,
                to,
                both_ways,
                steps,
            }));
        }
    }
}
