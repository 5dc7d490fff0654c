//! Port to the store that keeps what must outlast every process: rows with
//! versions, conditional transactions and a change feed.

mod store_answer;
mod store_call;

pub use {
    store_answer::{StoreAnswer, StoreFailure, StoreRow},
    store_call::{RowExpectation, RowName, RowValue, StoreCall},
};
