//! Derives for the type families of this crate.

/// Derives the traits of an in-memory value.
#[macro_export]
macro_rules! value_type {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq)]
            $item
        )*
    };
}

/// Derives the traits of a value that is sent, stored or read from a file.
#[macro_export]
macro_rules! wire_type {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}
