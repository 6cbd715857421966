//! Connections between instances, through which one instance uses another's scheduler.
//!
//! `frames` authenticates and encodes messages, `outgoing` sends requests to another instance's
//! scheduler, and `incoming` passes other instances' requests to the local scheduler.
//! See [scheduling](../../../docs/scheduling.md).

mod frames;
mod incoming;
mod message;
mod outgoing;

pub(crate) use incoming::{ConnId, accept};
pub(crate) use message::{PeerOffer, PeerReply, PeerRequest};
pub(crate) use outgoing::connect;
