//! Whole sessions through one gateway: callers and endpoints on real sockets.

mod endpoint;
mod fixture;

mod callers;
mod repeats;
mod stopping;
mod streams;
