//! Gossip membership: detects which instances are alive and selects the instance that
//! schedules each pool in each availability zone.
//!
//! [`Membership`] exchanges heartbeats in datagrams. It opens no socket and reads no
//! clock; the caller passes in datagrams and the time. [`Roster`] is a snapshot of the
//! live instances and selects schedulers by rendezvous hashing. Views of different
//! instances may disagree, so no correctness guarantee depends on them. See
//! [membership](../../../docs/membership.md).

mod membership;
mod packet;
mod roster;

pub use membership::{Datagram, DatagramCounts, Member, Membership, Peer};
pub use packet::{MessageError, SharedKey, decode_authenticated, encode_authenticated};
pub use roster::Roster;
