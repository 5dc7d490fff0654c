//! Measurements; each prints lines of the form `name value unit`.

mod figure;

pub use figure::Figure;
