//! The operators' side: resources, audit, status, explanations and metrics.

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

/// What every connection of an operator needs.
pub(crate) struct OperatorContext {
    pub(crate) caller: Rc<caller::Context>,
    pub(crate) configurator: Mailbox<ToConfigurator>,
    /// The membership, unless the instance is alone.
    pub(crate) members: Option<Mailbox<ToMembers>>,
    pub(crate) metrics: PrometheusHandle,
    /// Set to stop the instance.
    pub(crate) stop_requested: Rc<Cell<bool>>,
}
