value_type! {
    /// Protections of the group keeper. Production code uses the default, all
    /// on; tests switch one off to show the failure that it prevents.
    #[derive(Copy, Eq)]
    #[allow(clippy::struct_excessive_bools)] // independent switches
    pub struct GroupOptions {
        /// Membership writes are conditional on the version of each row.
        pub conditional_rows: bool,
        /// A holder whose lease has run out on its own clock gives no order.
        pub monotonic_lease: bool,
        /// Orders carry a deadline.
        pub order_deadline: bool,
        /// A new holder fences every instance before it reads their groups.
        pub fencing_sweep: bool,
        /// A new holder waits before it orders servers that ignore fencing numbers.
        pub settling_time: bool,
        /// A member with a new incarnation counts as lost.
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
