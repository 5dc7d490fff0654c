//! In-memory fakes of what surrounds the decision logic (`toucanring::core`), run in virtual time.

pub mod groups;
pub mod requests;
