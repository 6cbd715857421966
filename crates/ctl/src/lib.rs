//! What the operators' command line is made of.
//!
//! [`Manifest`] reads files with resources, [`OperatorClient`] talks to an
//! instance's operators' API, [`Table`] prints for people.

mod client;
mod manifest;
mod table;

pub use client::{ClientError, OperatorClient};
pub use manifest::{Manifest, ManifestError};
pub use table::Table;
