//! Views: who votes on the next one, who is in the chain, and which disks hold every acknowledged change.
//!
//! A change is acknowledged once as many disks hold it as may be lost at once and one more. A view in which fewer members
//! are in sync still moves the chain on, but confirms nothing: no change is taken or acknowledged in it. So the holders
//! of the last view that confirms changes stay the ones that hold all of them, whoever is in the chain meanwhile, and
//! the chain can start again from any one of them.

use crate::base::*;
use speedy::{Context, Readable, Reader, Writable, Writer};

/// A control machine and where it is reached.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Readable, Writable)]
pub struct Seat {
    /// Stays with the disk over restarts.
    pub id: NodeId,
    /// Its address when the view was made.
    pub addr: Addr,
}

/// Who votes and who is in the chain. View n+1 is agreed by the voters of view n.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct View {
    /// Its number; 0: there is none yet.
    pub n: Mark,
    /// Names the founding.
    pub cluster: u64,
    /// Three to five, an odd number.
    pub voters: Vec<Seat>,
    /// From head to tail. Members in sync stand first, then those that join.
    pub chain: Vec<Seat>,
    /// The last view, up to this one, that confirms changes.
    pub confirming: Mark,
    /// The members that were in sync when that view was made: each of their disks holds every acknowledged change.
    /// Empty when an earlier build made it, which did not tell them.
    pub holders: Vec<NodeId>,
}

impl View {
    /// A view that confirms changes, with all members of the chain in sync.
    pub fn in_sync(n: Mark, cluster: u64, voters: Vec<Seat>, chain: Vec<Seat>) -> Self {
        View {
            n,
            cluster,
            voters,
            confirming: n,
            holders: chain.iter().map(|seat| seat.id).collect(),
            chain,
        }
    }

    /// Whether changes are taken and acknowledged in this view.
    pub fn confirms(&self) -> bool {
        self.confirming == self.n
    }

    /// Whether the disk of a machine holds every acknowledged change for certain.
    pub fn is_holder(&self, id: NodeId) -> bool {
        self.holders.contains(&id)
    }
}

/// Set in the number of an encoded view whose `confirming` and `holders` follow; earlier builds wrote neither.
const HOLDERS_FOLLOW: u64 = 1 << 63;

impl<C: Context> Writable<C> for View {
    fn write_to<T: ?Sized + Writer<C>>(&self, writer: &mut T) -> Result<(), C::Error> {
        writer.write_value(&(self.n | HOLDERS_FOLLOW))?;
        writer.write_value(&self.cluster)?;
        writer.write_value(&self.voters)?;
        writer.write_value(&self.chain)?;
        writer.write_value(&self.confirming)?;
        writer.write_value(&self.holders)
    }
}

impl<'a, C: Context> Readable<'a, C> for View {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        let number: u64 = reader.read_value()?;
        let n = number & !HOLDERS_FOLLOW;
        let view = View {
            n,
            cluster: reader.read_value()?,
            voters: reader.read_value()?,
            chain: reader.read_value()?,
            confirming: n,
            holders: Vec::new(),
        };
        if number & HOLDERS_FOLLOW == 0 {
            return Ok(view);
        }
        Ok(View {
            confirming: reader.read_value()?,
            holders: reader.read_value()?,
            ..view
        })
    }
}
