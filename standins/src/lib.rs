//! Stand-ins for the platform and the backend servers, and the measurements that use them.

pub mod backend;
pub mod deploy;
pub mod fakes;
pub mod measure;
pub mod naive;
pub mod platform;
pub mod web;
