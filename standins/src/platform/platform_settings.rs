use {
    serde::{Deserialize, Serialize},
    toucanring::wire::InstanceRow,
};

/// Settings of the platform stand-in; every field has a default.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// Instance list at the start, visible at once.
    pub instances: Vec<InstanceRow>,
    /// Time until a change of the instance list becomes visible, in milliseconds.
    pub instance_lag_ms: u64,
    /// Rate of the weight store in bytes per second, shared by all readers.
    pub weight_bytes_per_s: f64,
    /// Reads per second of the table and the object store together: a row, an object or a listing.
    pub reads_per_s: f64,
    /// Writes per second of the table and the object store together: a commit or an object.
    pub writes_per_s: f64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            instances: Vec::new(),
            instance_lag_ms: 1_000,
            weight_bytes_per_s: 1e9,
            reads_per_s: 2_000.0,
            writes_per_s: 400.0,
        }
    }
}
