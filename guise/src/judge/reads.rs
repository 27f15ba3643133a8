//! Reads must be as fresh as their class demands.

use super::{leader_logs, Asked, Book};
use crate::check::Out;
use crate::mix::Class;
use crate::termed::{Fleet, Run};
use std::collections::BTreeMap;

/// An acknowledged commit: when it was acknowledged, how many entries its log then held, to whom.
struct Acknowledged {
    at: u64,
    entries: usize,
    session: u64,
}

/// Acknowledged commits by database.
fn acknowledged<'a>(book: &'a Book, fleet: &Fleet) -> BTreeMap<&'a str, Vec<Acknowledged>> {
    let mut entries: BTreeMap<&str, usize> = BTreeMap::new();
    for log in leader_logs(fleet) {
        let numbered = log.iter().enumerate();
        entries.extend(numbered.map(|(index, line)| (line.id.as_str(), index + 1)));
    }
    let mut acknowledged: BTreeMap<&str, Vec<Acknowledged>> = BTreeMap::new();
    for told in book.told.iter().filter(|told| told.out == Out::Kept) {
        let asked = book.asked.get(&told.id);
        if let (Some(asked), Some(entries)) = (asked, entries.get(told.id.as_str())) {
            let of_service = acknowledged.entry(&asked.service).or_default();
            of_service.push(Acknowledged {
                at: told.end,
                entries: *entries,
                session: asked.session,
            });
        }
    }
    acknowledged
}

fn is_read(run: &Run) -> bool {
    let reads = |text: &str| text.starts_with("FETCH");
    reads(&run.text) || run.shape.as_deref().is_some_and(reads)
}

pub(super) fn check(book: &Book, fleet: &Fleet, faults: &mut Vec<String>) {
    let acknowledged = acknowledged(book, fleet);
    for run in fleet.runs.iter().filter(|run| is_read(run)) {
        let Some(asked) = book.asked.get(&run.id) else {
            continue;
        };
        let of_service = acknowledged.get(asked.service.as_str());
        let (want, rule) = needed(asked, of_service.map_or(&[][..], |all| all));
        if run.holds < want {
            faults.push(format!(
                "stale: {rule} read {} of {} at {} ran on {} with {} of {want} commits",
                run.id, asked.start, run.at, fleet.servers[run.server].name, run.holds
            ));
        }
    }
}

/// How many entries the log that is read must hold, and the rule that demands it.
fn needed(asked: &Asked, acknowledged: &[Acknowledged]) -> (usize, &'static str) {
    let entries = |before: u64, own_only: bool| {
        acknowledged
            .iter()
            .filter(|a| a.at < before && (!own_only || a.session == asked.session))
            .map(|a| a.entries)
            .max()
            .unwrap_or(0)
    };
    let within = |bound: u64| entries(asked.start.saturating_sub(bound), false);
    match asked.class {
        Class::Within(bound) => (within(bound), "bounded"),
        Class::Own(bound) => (entries(asked.start, true).max(within(bound)), "owned"),
        _ => (entries(asked.start, false), "current"),
    }
}
