//! Stand-ins for the platform and the backend servers, and the measurements that use them.

pub mod fakes;
pub mod measure;
pub mod naive;
