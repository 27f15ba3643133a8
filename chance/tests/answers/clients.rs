//! Clients that write, read and run transactions, and the check of what they are answered.
use crate::server::result_of;
use std::collections::BTreeMap;
use tenet::kind::Reject;
use tenet::session::{Answer, Req, Want};

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Work {
    Idle,
    /// Steps that are left in the open transaction.
    Steps(u32),
}

pub struct Client {
    pub slot: usize,
    pub session: Option<u64>,
    pub work: Work,
    /// What the open transaction has written so far.
    pub written: Vec<String>,
    pub waiting: bool,
}

/// A question to the fleet, with all that its answer is checked against.
pub struct Question {
    pub client: usize,
    pub incarnation: u64,
    /// What the server answers to it; none where the node answers by itself.
    pub expects: Option<String>,
    /// Writes that stand or fall with this answer.
    pub decides: Vec<String>,
    pub answered: u32,
}

/// What is known of a write when all is quiet.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Fate {
    Kept,
    NotKept,
    Unknown,
}

#[derive(Default)]
pub struct Check {
    pub questions: BTreeMap<u64, Question>,
    pub fates: BTreeMap<String, Fate>,
    pub faults: Vec<String>,
    pub answers: u32,
    pub unknown: u32,
    pub refused: BTreeMap<String, u32>,
}

impl Check {
    /// Matches an answer to its question. Gives the client whose question it was.
    pub fn answer(&mut self, call: u64, answer: &Result<Answer, Reject>) -> Option<usize> {
        let Some(question) = self.questions.get_mut(&call) else {
            self.faults.push(format!("answer to no question: {call}"));
            return None;
        };
        self.answers += 1;
        question.answered += 1;
        if question.answered > 1 {
            self.faults.push(format!("question {call} answered twice"));
        }
        let got = match answer {
            Ok(Answer::Ran(ran)) => Some(ran.done.body.clone()),
            _ => None,
        };
        if let (Some(got), Some(expected)) = (got, &question.expects) {
            if got != *expected {
                let fault = format!("wrong answer to {call}: {got}, expected {expected}");
                self.faults.push(fault);
            }
        }
        if let Err(e) = answer {
            *self.refused.entry(e.kind.to_string()).or_default() += 1;
        }
        let fate = match answer {
            Ok(_) => Fate::Kept,
            Err(e) if e.kind.row().kept == "unknown" => Fate::Unknown,
            Err(_) => Fate::NotKept,
        };
        if fate == Fate::Unknown {
            self.unknown += 1;
        }
        for body in &question.decides {
            self.fates.insert(body.clone(), fate);
        }
        Some(question.client)
    }

    /// Compares what clients were told with what took effect.
    pub fn close(&mut self, kept: &BTreeMap<String, u32>) {
        for (body, times) in kept {
            if *times > 1 {
                self.faults
                    .push(format!("{body} took effect {times} times"));
            }
        }
        for (body, fate) in &self.fates {
            let times = kept.get(body).copied().unwrap_or(0);
            let wrong = match fate {
                Fate::Kept => times == 0,
                Fate::NotKept => times > 0,
                Fate::Unknown => false,
            };
            if wrong {
                self.faults
                    .push(format!("{body} was told {fate:?} and kept {times} times"));
            }
        }
    }
}

/// The next request of a client in its session, what its answer must be, and the writes that stand
/// or fall with it.
pub fn next_request(
    client: &mut Client,
    session: u64,
    dice: u64,
    body: String,
) -> (Req, Option<String>, Vec<String>) {
    let run = |kind: &str, body: &str| Req::Run {
        session,
        kind: Want::Kind(kind.into()),
        id: Some(format!("id-{body}")),
        body: body.into(),
        prepared: None,
        budget: None,
    };
    let expects = Some(result_of(&body));
    match client.work {
        Work::Idle if dice.is_multiple_of(3) => {
            client.work = Work::Steps((dice / 3 % 4) as u32);
            client.written.clear();
            let begin = Req::Begin {
                session,
                kind: Some(Want::Kind("ticket".into())),
                id: Some(format!("id-{body}")),
                lazy: (dice / 12).is_multiple_of(2),
                budget: None,
            };
            (begin, Some("begun".into()), Vec::new())
        }
        Work::Idle if dice % 3 == 1 => (run("directory-search", &body), expects, Vec::new()),
        Work::Idle => (run("ticket", &body), expects, vec![body]),
        Work::Steps(0) => {
            client.work = Work::Idle;
            let commit = Req::Commit {
                session,
                body: body.clone(),
                budget: None,
            };
            // A begin that was deferred until the commit has no body of its own to answer.
            (commit, expects, std::mem::take(&mut client.written))
        }
        Work::Steps(n) => {
            client.work = Work::Steps(n - 1);
            client.written.push(body.clone());
            (run("ticket", &body), expects, Vec::new())
        }
    }
}
