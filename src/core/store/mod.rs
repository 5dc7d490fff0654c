//! Calls to the store, which keeps everything that must outlast the processes, and their answers.
//! The store offers versioned rows, conditional transactions and a change feed.

mod decode_fault;
mod ignored_rows;
mod store_answer;
mod store_call;
mod store_version;

pub use {
    decode_fault::{DecodeFault, cut_text},
    ignored_rows::IgnoredRows,
    store_answer::{StoreAnswer, StoreFailure, StoreRow},
    store_call::{RowExpectation, RowName, RowValue, StoreCall},
    store_version::StoreVersion,
};
