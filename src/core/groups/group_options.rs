value_type! {
    /// Safety mechanisms of the group manager. Production code uses the default, all on; tests
    /// switch one off to show the failure that it prevents.
    #[derive(Copy, Eq)]
    #[allow(clippy::struct_excessive_bools)] // switched independently of each other
    pub struct GroupOptions {
        /// Membership writes are conditional on the version of each row. Without it, failure
        /// domains with different operator texts can put an instance into two groups.
        pub conditional_rows: bool,
        /// A holder whose lease has expired on its own monotonic clock sends no order.
        pub monotonic_lease: bool,
        /// Orders carry a deadline of [`GroupTiming::order_deadline`](super::GroupTiming); without
        /// it they stay valid for 24 hours.
        pub order_deadline: bool,
        /// A new holder fences every responsive instance whose server checks fencing numbers before
        /// it adopts the groups.
        pub fencing_sweep: bool,
        /// A new holder waits for the last orders of its predecessor to arrive or expire before it
        /// orders servers that ignore fencing numbers.
        pub settling_time: bool,
        /// A member that has restarted since it joined, shown by a new incarnation, does not count
        /// as in place.
        pub incarnation_check: bool,
    }
}

impl Default for GroupOptions {
    fn default() -> Self {
        Self {
            conditional_rows: true,
            monotonic_lease: true,
            order_deadline: true,
            fencing_sweep: true,
            settling_time: true,
            incarnation_check: true,
        }
    }
}
