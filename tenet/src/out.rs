//! What a step of the chain wants done.
use crate::base::Addr;
use crate::disk::Rec;
use crate::wire::Msg;

/// Messages, records and reasons of one step. What stands in `late` is sent only when the records
/// written with it are synced.
#[derive(Default)]
pub struct Out {
    pub send: Vec<(Addr, Msg)>,
    pub late: Vec<(Addr, Msg)>,
    pub write: Vec<Rec>,
    pub stories: Vec<(String, String)>,
}
