//! Fencing numbers of orders. An order without an answer may be carried out seconds later, after newer
//! ones: a late join would bring a server back into a group that it has left.

use crate::core::lease::MAX_TERM;

/// Fencing numbers reserved for one term; those of a later term are higher.
const FENCES_PER_TERM: u64 = 10_000_000;

const _: () = assert!(
    MAX_TERM + 1 < u64::MAX / FENCES_PER_TERM,
    "fencing numbers of the highest term exceed 64 bits"
);

/// Fencing number of an order: the term of the lease, then the number of the order in the term. An
/// engine that has seen a newer order refuses this one if it comes late. Orders beyond the numbers
/// of a term all have the highest one.
///
/// ```
/// use toucanring::core::formation::{fence_of, term_of_fence};
///
/// assert!(fence_of(3, 8) > fence_of(3, 7));
/// assert!(fence_of(4, 1) > fence_of(3, u64::MAX));
/// assert_eq!(term_of_fence(fence_of(3, u64::MAX)), 3);
/// ```
#[must_use]
pub const fn fence_of(term: u64, order_number: u64) -> u64 {
    let highest = FENCES_PER_TERM - 1;
    let offset = if order_number < highest {
        order_number
    } else {
        highest
    };
    term * FENCES_PER_TERM + offset
}

/// Term of the lease under which an order with this fencing number was sent.
#[must_use]
pub const fn term_of_fence(fence: u64) -> u64 {
    fence / FENCES_PER_TERM
}
