//! Generational keys of the slot maps in which the state machines keep their records.

slotmap::new_key_type! {
    /// Key of an instance in the slot map of the groups module.
    pub struct InstanceKey;

    /// Key of a replica group in a slot map of the groups or the routing module. A key of one map
    /// is not valid in another.
    pub struct GroupKey;

    /// Key of a service in a slot map.
    pub struct ServiceKey;

    /// Key of a client account in a slot map.
    pub struct AccountKey;

    /// Key of a request in a slot map.
    pub struct RequestKey;
}
