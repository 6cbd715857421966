//! Stand-ins for what surrounds the product: model engines, plain services and
//! the platform's log. They are for tests, examples and benches only.
//!
//! Each runs on a thread of its own and listens on a free port of the loopback
//! address; dropping its handle ends it. Faults are set from any thread.

mod client;
mod endpoint;
mod engine;
mod fleet;
mod log;
mod process;
mod program;
mod proxy;
mod server;
mod service;
mod store;

pub use client::{Caller, Received};
pub use endpoint::{Endpoint, EndpointFault, STREAM_EVENTS};
pub use engine::{Engine, EngineFaults, EngineSpeed};
pub use fleet::{Fleet, GatewayProcess, route_document};
pub use log::{LogFaults, LogService};
pub use process::{Process, free_addresses};
pub use program::Program;
pub use proxy::{Proxy, ProxyFault};
pub use service::{Service, ServiceFaults};
pub use store::{Store, StoreFault};
