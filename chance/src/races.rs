//! Operators that race: two documents under one number, answers that are lost, repeats to other
//! nodes, evacuations that overlap, all while the time of day jumps and heads die.
use crate::fault::Fault;
use crate::race_check::RaceBook;
use crate::scripts::Script;
use crate::sim::{Ev, Sim};
use std::collections::BTreeMap;
use tenet::base::*;
use tenet::bounds::repeat_window;
use tenet::control::Reply;
use tenet::state::{Op, Verdict};

/// How long an operator waits for an answer, and then pauses.
const SILENCE: Time = 1000;
/// For how long an order that is no configuration is repeated.
const ACK_TIMEOUT: Time = 6000;
/// How far clocks are set ahead, in ms.
const CLOCK_STEP: u64 = 60_000;
/// Percent of the answers that are lost on their way to the operator.
const LOST_ANSWERS: u64 = 50;
/// How often an order that was confirmed is sent again.
const LATER_REPEATS: u64 = 2;

/// What operators do at a moment.
#[derive(Clone, Debug, PartialEq)]
pub enum RaceStep {
    /// Two documents under one number, this many ms apart.
    Pair(Time),
    /// An evacuation of the zone begins or ends.
    Evacuate(&'static str, bool),
    /// An order is sent, or sent again if it has no clear answer.
    Send(usize),
    /// An order that was confirmed is sent again.
    Repeat(usize),
    /// The time of day jumps on every machine, as each sees when it starts next.
    StepClocks,
    /// Whether the zone is evacuated is looked up on each node.
    Expect(&'static str, bool),
    /// What holds at the end is compared with what was confirmed.
    Conclude,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Open,
    Confirmed,
    Refused,
}

/// One order of an operator.
pub struct Order {
    pub op: Op,
    pub since: Time,
    pub outcome: Outcome,
}

/// The operators, and what they were told.
#[derive(Default)]
pub struct Races {
    pub orders: Vec<Order>,
    calls: BTreeMap<u64, usize>,
    versions: u64,
    pub book: RaceBook,
}

impl Sim {
    pub(crate) fn race(&mut self, step: RaceStep) {
        match step {
            RaceStep::Pair(gap) => self.race_pair(gap),
            RaceStep::Evacuate(zone, on) => {
                let op = Op::Hold {
                    domain: zone.into(),
                    on,
                    repeat_window: repeat_window(ACK_TIMEOUT),
                };
                self.new_order(op, self.now);
            }
            RaceStep::Send(k) => self.send_order(k),
            RaceStep::Repeat(k) => self.call_order(k),
            RaceStep::StepClocks => {
                for i in 0..self.nodes.len() {
                    self.nodes[i].wall_ahead = self.roll(CLOCK_STEP);
                }
            }
            RaceStep::Expect(zone, evacuated) => self.expect_evacuated(zone, evacuated),
            RaceStep::Conclude => self.conclude_races(),
        }
    }

    fn race_pair(&mut self, gap: Time) {
        self.watch.races.versions += 10 + self.seed % 3;
        let version = self.watch.races.versions;
        for which in 0..2 {
            let text = crate::days::text(600 + 2 * version + which);
            let document = digest(text.as_bytes());
            let op = Op::Publish {
                version,
                document,
                text,
            };
            self.new_order(op, self.now + gap * which);
        }
    }

    fn new_order(&mut self, op: Op, at: Time) {
        let orders = &mut self.watch.races.orders;
        orders.push(Order {
            op,
            since: at,
            outcome: Outcome::Open,
        });
        let k = orders.len() - 1;
        self.at(at, Ev::Fault(Fault::Race(RaceStep::Send(k))));
    }

    fn send_order(&mut self, k: usize) {
        let order = &self.watch.races.orders[k];
        let over = matches!(order.op, Op::Hold { .. }) && self.now > order.since + ACK_TIMEOUT;
        if order.outcome != Outcome::Open || over {
            return;
        }
        self.call_order(k);
        let again = self.now + SILENCE + self.roll(300);
        self.at(again, Ev::Fault(Fault::Race(RaceStep::Send(k))));
    }

    fn call_order(&mut self, k: usize) {
        let op = self.watch.races.orders[k].op.clone();
        let call = self.operator(op);
        self.watch.races.calls.insert(call, k);
    }

    /// Takes the answer to an order of the races; false if the call is none of theirs.
    pub(crate) fn race_told(&mut self, call: u64, reply: &Reply) -> bool {
        let Some(k) = self.watch.races.calls.remove(&call) else {
            return false;
        };
        let reject = match reply {
            Reply::Verdict(Verdict { reject, .. }) => reject.clone(),
            Reply::Reject(reject) => Some(reject.clone()),
            Reply::Text(_) => return true,
        };
        let lost = self.roll(100) < LOST_ANSWERS;
        let races = &mut self.watch.races;
        let order = &mut races.orders[k];
        let found = races.book.answered(k, &order.op, reject.as_ref());
        self.watch.faults.extend(found);
        let retry = reject.as_ref().is_some_and(|r| r.kind.row().code >= 500);
        if lost || retry || order.outcome != Outcome::Open {
            return true;
        }
        if reject.is_some() {
            order.outcome = Outcome::Refused;
            return true;
        }
        order.outcome = Outcome::Confirmed;
        if matches!(order.op, Op::Publish { .. }) {
            for _ in 0..LATER_REPEATS {
                let at = self.now + 300 + self.roll(12_000);
                self.at(at, Ev::Fault(Fault::Race(RaceStep::Repeat(k))));
            }
        }
        true
    }
}

/// The days of racing operators.
pub const DAYS: &[Script] = &[Script {
    name: "race",
    end: 64_000,
    faults: race_day,
}];

fn race_day(s: &mut Sim) -> Vec<(Time, Fault)> {
    let mut steps = vec![(0, RaceStep::StepClocks)];
    for i in 0..5 {
        steps.push((11_000 + i * 2500 + s.roll(700), RaceStep::Pair(s.roll(300))));
    }
    let together = 26_000 + s.roll(1000);
    (0..3).for_each(|i| steps.push((together + i, RaceStep::Pair(i))));
    steps.extend([
        (13_000, RaceStep::Evacuate("a", true)),
        (together, RaceStep::Evacuate("b", true)),
        (together + 1, RaceStep::Evacuate("a", true)),
        (20_000, RaceStep::StepClocks),
        (34_000, RaceStep::Evacuate("a", false)),
        (44_000, RaceStep::Expect("a", true)),
        (44_500, RaceStep::Evacuate("a", false)),
        (44_600, RaceStep::Evacuate("b", false)),
        (56_000, RaceStep::Expect("a", false)),
        (56_000, RaceStep::Expect("b", false)),
        (63_000, RaceStep::Conclude),
    ]);
    let killed = 14_000 + s.roll(4000);
    let cut = 27_000 + s.roll(3000);
    let mut faults = vec![
        (killed, Fault::KillHead),
        (cut, Fault::CutNode(s.roll(3) as usize)),
        (cut + 2500, Fault::Heal),
    ];
    faults.extend((0..3).map(|i| (killed + 2500, Fault::Start(i))));
    faults.extend(steps.into_iter().map(|(t, step)| (t, Fault::Race(step))));
    faults
}
