//! Checks what clients saw of the servers of `termed` against what these ran and hold.
//!
//! Each rule writes its findings as text that begins with the name of the rule.

mod reads;
mod statements;

use crate::check::Out;
use crate::mix::Class;
use crate::termed::{Cut, Fleet, Line};
use std::collections::{BTreeMap, BTreeSet};

/// One statement or commit that a client sent.
pub struct Asked {
    /// When its transaction, or itself, was sent, ms.
    pub start: u64,
    /// Number of the client's session.
    pub session: u64,
    /// Database.
    pub service: String,
    /// Number of the client's transaction; 0 outside one.
    pub txn: u64,
    /// Text.
    pub text: String,
    /// What freshness it asked for.
    pub class: Class,
    /// Whether something may take effect by it.
    pub commits: bool,
    /// Text that the client prepared under the name that it executes.
    pub shape: Option<String>,
    /// Options that the client set.
    pub options: BTreeMap<String, String>,
}

/// An answer that a client got.
pub struct Told {
    /// Id of the statement.
    pub id: String,
    /// When, ms.
    pub end: u64,
    /// What it tells.
    pub out: Out,
    /// Its text.
    pub body: String,
}

/// Everything that clients sent and got.
#[derive(Default)]
pub struct Book {
    /// By id, what was sent.
    pub asked: BTreeMap<String, Asked>,
    /// What was answered, oldest first.
    pub told: Vec<Told>,
}

/// What the check found.
#[derive(Default)]
pub struct Found {
    /// A line for each broken rule.
    pub faults: Vec<String>,
    /// Id and time of acknowledged commits that a promotion cut.
    pub lost: Vec<(String, u64)>,
}

/// Checks a run; with `planned`, no promotion may cut an acknowledged commit.
pub fn judge(book: &Book, fleet: &Fleet, planned: bool) -> Found {
    let mut found = Found {
        faults: fleet.faults.clone(),
        lost: Vec::new(),
    };
    statements::check(book, fleet, &mut found.faults);
    commits(book, fleet, &mut found.faults);
    answers(book, fleet, &mut found.faults);
    reads::check(book, fleet, &mut found.faults);
    losses(book, fleet, planned, &mut found);
    found
}

fn leader_logs(fleet: &Fleet) -> impl Iterator<Item = &Vec<Line>> {
    let leaders = fleet.leader.values();
    leaders.map(|index| &fleet.servers[*index].log)
}

fn losses(book: &Book, fleet: &Fleet, planned: bool, found: &mut Found) {
    let cut: BTreeMap<&str, &Cut> = fleet.cut.iter().map(|c| (c.id.as_str(), c)).collect();
    let kept: BTreeSet<&str> = fleet.kept.iter().map(|(_, id)| id.as_str()).collect();
    let logged: BTreeSet<&str> = leader_logs(fleet)
        .flatten()
        .map(|line| line.id.as_str())
        .collect();
    let mut vanished = Vec::new();
    for Told { id, end, .. } in book.told.iter().filter(|told| told.out == Out::Kept) {
        let commits = book.asked.get(id).is_some_and(|asked| asked.commits);
        match cut.get(id.as_str()) {
            Some(Cut { at, .. }) if commits => {
                found.lost.push((id.clone(), *at));
                if planned {
                    found.faults.push(format!(
                        "lost: {id} was acknowledged at {end} and cut back by a planned change at {at}"
                    ));
                }
            }
            None if kept.contains(id.as_str()) && !logged.contains(id.as_str()) => vanished.push(
                format!("lost: {id} is in no log and no promotion cut it back"),
            ),
            _ => (),
        }
    }
    found.faults.extend(vanished);
}

fn commits(book: &Book, fleet: &Fleet, faults: &mut Vec<String>) {
    let mut count: BTreeMap<&str, u32> = BTreeMap::new();
    for (_, id) in &fleet.kept {
        *count.entry(id).or_default() += 1;
        if book.asked.get(id).is_none_or(|asked| !asked.commits) {
            faults.push(format!("unasked: {id} was committed"));
        }
    }
    for (id, times) in count.into_iter().filter(|(_, times)| *times > 1) {
        faults.push(format!("twice: {id} took effect {times} times"));
    }
}

fn answers(book: &Book, fleet: &Fleet, faults: &mut Vec<String>) {
    let pairs = || fleet.runs.iter().map(|r| (r.id.as_str(), r.body.as_str()));
    let given: BTreeSet<(&str, &str)> = pairs().collect();
    let first_given_for: BTreeMap<&str, &str> =
        pairs().rev().map(|(id, body)| (body, id)).collect();
    let kept: BTreeSet<&str> = fleet.kept.iter().map(|(_, id)| id.as_str()).collect();
    for told in &book.told {
        let (id, body) = (told.id.as_str(), told.body.as_str());
        let own = given.contains(&(id, body)) && first_given_for.get(body) == Some(&id);
        match told.out {
            Out::Kept if !own => faults.push(format!("mixed: {id} was answered '{body}'")),
            Out::Nothing if kept.contains(id) => faults.push(format!(
                "refused: {id} was told nothing kept at {} and was committed",
                told.end
            )),
            _ => (),
        }
    }
}
