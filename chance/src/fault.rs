#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    Kill(usize),
    Start(usize),
    Wipe(usize),
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
    Stall(String, bool),
    LoseAnswers(u64),
    Platform(Mood),
    Evacuate(String, bool),
    Drain(String, bool),
    Configure,
    StaleConfigure,
    BadConfigure,
    CutNode(usize),
    CutServer(String, u8),
    FreezeFencer(String, usize),
    FreezeSending(String, usize),
    ThawAll,
    KillHead,
    KillTail,
    CallersStop,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mood {
    Good,
    Unreachable,
    Refuses,
    LosesAnswer,
    Slow,
    Quick,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Plant {
    None,
    OldSockets,
    PermitForever,
    LyingReplica,
    LyingDisk,
    NoReset,
    StaleMark,
    BlindRetry,
}
