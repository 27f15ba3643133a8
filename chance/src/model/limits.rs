//! The bounds of a search, and what a schedule has spent of them.

use super::setup::MACHINES;

/// How many faults of each kind a search may use, and how far it goes.
#[derive(Clone, Copy)]
pub struct Limits {
    /// Deviations of any kind.
    pub deviations: u8,
    /// Messages and syncs that are lost, late, overtaken or repeated.
    pub messages: u8,
    pub crashes: u8,
    pub cuts: u8,
    pub suspicions: u8,
    /// By how many steps something may be late.
    pub late: &'static [u32],
    /// For how many steps a crashed process may be down.
    pub down: &'static [u32],
    /// For how many steps a cut may last.
    pub cut: &'static [u32],
    /// Whether messages that are sent again soon anyway may be lost, late or repeated one by one, and
    /// whether a process may crash before each of them.
    pub heartbeats: bool,
    /// The step from which on nothing deviates any more.
    pub calm_from: u32,
    /// The step at which schedules end.
    pub last_step: u32,
    /// The highest view number; states past it are not followed.
    pub last_view: u64,
}

impl Limits {
    /// No faults, over two changes of view; searches allow their own.
    pub const NONE: Limits = Limits {
        deviations: 0,
        messages: 0,
        crashes: 0,
        cuts: 0,
        suspicions: 0,
        late: &[3],
        down: &[2],
        cut: &[8],
        heartbeats: false,
        calm_from: 14,
        last_step: 24,
        last_view: 3,
    };
}

/// Links that carry nothing for a while, by sender and receiver.
#[derive(Clone, Default)]
pub struct Cut {
    pub links: [[bool; MACHINES]; MACHINES],
    pub until: u32,
}

/// How many faults of each kind have been spent.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct Spent {
    pub deviations: u8,
    pub messages: u8,
    pub crashes: u8,
    pub cuts: u8,
    pub suspicions: u8,
}
