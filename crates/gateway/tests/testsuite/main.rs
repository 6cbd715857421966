//! Integration tests of one gateway, with callers and scripted endpoints on real sockets.

mod endpoint;
mod fixture;

mod answers;
mod callers;
mod discovery;
mod floods;
mod limits;
mod quarantine;
mod retries;
mod stopping;
mod streams;
