//! Shared test fixtures.

mod burn_store;

pub use burn_store::{BurnStore, finished, refused};
