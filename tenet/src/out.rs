//! What a step of the chain wants done.
use crate::base::Addr;
use crate::disk::Rec;
use crate::wire::Msg;

/// Messages, records and reasons of one step. What stands in `late` is sent only when the records
/// written with it are synced.
#[derive(Default)]
pub struct Out {
    /// Messages that go out at once.
    pub send: Vec<(Addr, Msg)>,
    /// Messages that go out once the records are synced.
    pub late: Vec<(Addr, Msg)>,
    /// Records for the disk, in order.
    pub write: Vec<Rec>,
    /// Audit events, by topic.
    pub stories: Vec<(String, String)>,
}
