//! Shared test fixtures; each test file uses a part of them.
#![allow(dead_code, unused_imports)]

mod burn_export;
mod burn_store;

pub use {
    burn_export::{BurnExport, UNTIL, counted, full_export, record, refusal},
    burn_store::{BurnStore, finished, refused},
};
