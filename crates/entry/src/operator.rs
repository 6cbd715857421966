//! Serves the operators' HTTP API: resources, audit trail, status, explanations of decisions, drain
//! and metrics.
//!
//! Every path except `/metrics`, `/livez` and `/readyz` requires an operator's token.

mod connection;
mod resources;
mod watch;

use std::{cell::Cell, rc::Rc};

use baobabvane_tasks::Mailbox;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::{
    caller,
    tasks::{configurator::ToConfigurator, members::ToMembers},
};

pub(crate) use connection::accept;

/// State shared by all connections of operators.
pub(crate) struct OperatorContext {
    /// State shared by all connections of callers.
    pub(crate) caller: Rc<caller::Context>,
    pub(crate) configurator: Mailbox<ToConfigurator>,
    /// The members task; `None` if the instance runs without peers.
    pub(crate) members: Option<Mailbox<ToMembers>>,
    pub(crate) metrics: PrometheusHandle,
    /// Set by `/v1/drain` to start a graceful stop.
    pub(crate) stop_requested: Rc<Cell<bool>>,
}
