//! The daemon's session with the platform's key-value service.
//!
//! Start with [`Session`]: a handle that is cheap to clone and through which every call of the service goes. It
//! keeps to a settable rate ([`calls`]), changes documents by read-modify-swap and resolves lost answers by reading
//! back ([`update`]).

pub mod calls;
pub mod follow;
pub mod keys;
pub mod lease;
pub mod retry;
pub mod session;
pub mod update;

pub use follow::{FollowConfig, Follower, HeadCopy};
pub use session::{Session, SessionConfig};
pub use update::{UpdateError, Updated};
