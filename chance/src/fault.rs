//! The faults that a script may cause, the moods of the platform's promote call, and the flaws that are planted in
//! the world so that a checker must see them.

#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    Kill(usize),
    Start(usize),
    Wipe(usize),
    Stop(usize),
    Move(usize, u64),
    FullDisk(usize, bool),
    Freeze(usize),
    Thaw(usize),
    KillAll,
    StartAll,
    KillDomain(String),
    StartDomain(String),
    Cut(String, String),
    Heal,
    Crash(String),
    CrashTarget(String),
    Restart(String),
    Replace(String),
    Retire(String),
    Depart(usize),
    Follow(usize),
    Stall(String, bool),
    LoseAnswers(u64),
    Platform(Mood),
    Evacuate(String, bool),
    Drain(String, bool),
    Configure,
    StaleConfigure,
    BadConfigure,
    CutNode(usize),
    /// Nothing passes from one node to another; the way back is not touched.
    CutLink(usize, usize),
    CutServer(String, u8),
    FreezeFencer(String, usize),
    FreezeSending(String, usize),
    ThawAll,
    KillHead,
    KillTail,
    Rebuild,
    Wire(usize, u8),
    Relabel(String),
    CallersStop,
    Race(crate::races::RaceStep),
    /// A step of a day on which machines are stopped and started in turn during a release.
    Roll(crate::rolls::RollStep),
    /// The machine is killed and never starts again; its disk is kept aside.
    Remove(usize),
    /// The machine is stopped as planned and never starts again; its disk is kept aside.
    Leave(usize),
    /// A machine that was removed or left starts again with its old disk.
    Return(usize),
    /// Strikes within 4 ms of the next acknowledged configuration.
    AfterAck(Box<Fault>),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mood {
    Good,
    Unreachable,
    Refuses,
    LosesAnswer,
    Slow,
    Quick,
    /// It does what it is asked, and answers, this many ms later; who asks waits `PROMOTION_ANSWER_WAIT_MS`.
    Late(u64),
}

/// How long a controller waits for the platform's answer, in ms, as the platform's adapter does.
pub const PROMOTION_ANSWER_WAIT_MS: u64 = 800;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Plant {
    None,
    OldSockets,
    PermitForever,
    LyingReplica,
    LyingDisk,
    NoReset,
    BlindRetry,
}
