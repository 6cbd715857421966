//! Which instances are alive, and which one schedules a pool.
//!
//! [`Membership`] counts heartbeats that instances pass on to each other in
//! datagrams; it has no socket and no clock. [`Roster`] is what it knows at a
//! moment, and places schedulers by rendezvous weight. Both are hints: nothing
//! that must hold rests on them. See [membership](../../../docs/membership.md).

mod membership;
mod packet;
mod roster;

pub use membership::{Datagram, DatagramCounts, Member, Membership, Peer};
pub use packet::{MessageError, SharedKey, decode_authenticated, encode_authenticated};
pub use roster::Roster;
