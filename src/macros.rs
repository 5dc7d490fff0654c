//! Macros that derive the usual traits for the types of this crate.

/// Derives `Debug`, `Clone` and `PartialEq` for types that stay in the process.
#[macro_export]
macro_rules! value_type {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq)]
            $item
        )*
    };
}

/// Derives the same traits and `Serialize` and `Deserialize`, for types that are sent, stored or
/// read from a file. In JSON they appear with their field and variant names, unless an attribute
/// changes these.
#[macro_export]
macro_rules! wire_type {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}
