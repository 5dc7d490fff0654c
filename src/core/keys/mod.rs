//! Small `Copy` keys into the arenas of the decision modules.

slotmap::new_key_type! {
    /// Key of an instance in an arena.
    pub struct InstanceKey;

    /// Key of a replica group in an arena.
    pub struct GroupKey;

    /// Key of a service in an arena.
    pub struct ServiceKey;

    /// Key of a client account in an arena.
    pub struct AccountKey;

    /// Key of a request in an arena.
    pub struct RequestKey;
}
