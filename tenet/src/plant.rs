//! Faults built in on purpose (`--cfg plant`), one at a time, to prove that the checkers find them. In any other
//! build none is active.

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Bug {
    None,
    SendUnchecked,
    OfflineSkipped,
    AgeIgnored,
    OwnIgnored,
    EvacuatedServes,
    LeavingServes,
    OlderSlot,
    BadTaken,
    HomesIgnored,
    StopAtOnce,
    TxnCut,
    NoAcks,
    NothingTold,
    NoReset,
    RuleIgnored,
    BoundIgnored,
    LostSentAgain,
    AcceptsDuringLease,
    ForgetsVotes,
    JoinerInSync,
    IncarnationIgnored,
    ResetSentAgain,
    StepSentAgain,
    VersionReused,
    RepeatByTimeOfDay,
    /// A voter that stops keeps its vote.
    VoteKept,
    /// A node counts the time of a server that leaves from when it learns of it.
    LeavingCountedAnew,
    /// A head with too few copies refuses orders for good.
    ShortChainRefuses,
    /// A head takes no orders for a while after a change of view.
    NewViewDropsOrders,
    /// A view counts its members in sync as the holders of every change, however few they are.
    FewHolders,
}

#[cfg(plant)]
mod on {
    use super::Bug;
    use std::cell::Cell;
    thread_local! {
        static ON: Cell<Bug> = const { Cell::new(Bug::None) };
    }
    pub fn plant(b: Bug) {
        ON.with(|c| c.set(b));
    }
    pub fn planted(b: Bug) -> bool {
        ON.with(|c| c.get() == b)
    }
}

#[cfg(plant)]
pub use on::{plant, planted};

#[cfg(not(plant))]
#[inline(always)]
pub(crate) fn planted(_: Bug) -> bool {
    false
}
