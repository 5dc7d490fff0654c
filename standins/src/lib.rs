//! Stand-ins for the platform and the backend servers, and the measurements that use them:
//! as processes, and as in-memory fakes in virtual time.

pub mod backend;
pub mod deploy;
pub mod fakes;
pub mod measure;
pub mod naive;
pub mod platform;
pub mod web;
