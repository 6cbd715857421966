//! Library of `baobabvanectl`, the command-line tool for operators.
//!
//! [`Manifest`] parses resource files, [`OperatorClient`] calls the operators' API of an
//! instance, and [`Table`] formats human-readable output.

mod client;
mod manifest;
mod table;

pub use client::{ClientError, OperatorClient};
pub use manifest::{Manifest, ManifestError};
pub use table::Table;
