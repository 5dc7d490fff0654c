use {super::FleetRow, crate::core::view::MAX_DATAGRAM_BYTES};

/// Upper bound for what a datagram holds beside the rows: format, kind, boot number, address,
/// sequence number, version, number of rows and authentication tag.
const OVERHEAD_BYTES: usize = 92;

value_type! {
    /// A part of the changed rows, for one delta.
    pub enum DeltaPart {
        /// Rows that fit a datagram together; without any, the delta only shows that the sender
        /// still follows the store.
        Rows(Vec<FleetRow>),
        /// A row that exceeds a datagram by itself. Receivers have to pull the list.
        TooLarge {
            /// Identifier of the server.
            id: String,
            /// Size of the row in bytes.
            bytes: usize,
        },
    }
}

/// Cuts rows, in their order, into parts that fit a datagram; without rows there is one empty part.
///
/// ```
/// use toucanring::core::{
///     peers::{DeltaPart, FleetRow, delta_parts},
///     store::StoreVersion,
/// };
///
/// let version = StoreVersion::new(1, 7);
/// let row = |id: &str| FleetRow { version, id: id.to_owned(), entry: None };
/// let rows = vec![row("i-1"), row(&"x".repeat(2_000)), row("i-2")];
/// let parts = delta_parts(rows);
/// assert_eq!(parts[0], DeltaPart::Rows(vec![row("i-1")]));
/// assert!(matches!(parts[1], DeltaPart::TooLarge { bytes: 2_000.., .. }));
/// assert_eq!(parts[2], DeltaPart::Rows(vec![row("i-2")]));
/// ```
#[must_use]
pub fn delta_parts(rows: Vec<FleetRow>) -> Vec<DeltaPart> {
    let limit = MAX_DATAGRAM_BYTES - OVERHEAD_BYTES;
    let mut parts = Vec::new();
    let mut open = Vec::new();
    let mut open_bytes = 0;
    for row in rows {
        let bytes = postcard::experimental::serialized_size(&row).unwrap_or(usize::MAX);
        if open_bytes + bytes > limit && !open.is_empty() {
            parts.push(DeltaPart::Rows(std::mem::take(&mut open)));
            open_bytes = 0;
        }
        if bytes > limit {
            parts.push(DeltaPart::TooLarge { id: row.id, bytes });
            continue;
        }
        open_bytes += bytes;
        open.push(row);
    }
    if !open.is_empty() || parts.is_empty() {
        parts.push(DeltaPart::Rows(open));
    }
    parts
}
