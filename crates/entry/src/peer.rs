//! Connections between instances, for schedulers that are not here.
//!
//! `frames` authenticates and codes, `outgoing` asks another instance's
//! scheduler, `incoming` lets others ask ours. See
//! [scheduling](../../../docs/scheduling.md).

mod frames;
mod incoming;
mod message;
mod outgoing;

pub(crate) use incoming::{ConnId, accept};
pub(crate) use message::{PeerOffer, PeerReply, PeerRequest};
pub(crate) use outgoing::connect;
