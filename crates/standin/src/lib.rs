//! Stand-ins for the systems around the product: model engines, plain services, endpoints, the log
//! service and the store, with a faulty proxy and helpers that start the product's processes.
//! They are for tests, examples and benches only.
//!
//! Each server runs on its own thread and listens on a free loopback port unless an address is
//! given; dropping its handle stops it. The proxy runs on several threads, which end shortly after
//! its handle is dropped. Faults can be set from any thread.

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
pub use endpoint::{Endpoint, EndpointFault, LARGE_EVENT_BYTES, STREAM_EVENTS};
pub use engine::{Engine, EngineFaults, EngineSpeed};
pub use fleet::{Fleet, GatewayProcess, route_document};
pub use log::{LogFaults, LogService};
pub use process::{Process, free_addresses};
pub use program::Program;
pub use proxy::{Proxy, ProxyFault};
pub use service::{Service, ServiceFaults};
pub use store::{Store, StoreCopy, StoreFault};
