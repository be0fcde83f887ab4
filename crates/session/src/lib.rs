//! The daemon's session with the platform's key-value service.
//!
//! Start with [`Session`]: a handle that is cheap to clone and through which every call of the service goes. It
//! enforces a configured call rate ([`calls`]), edits documents by read-modify-swap and resolves lost answers by
//! reading the document back ([`update`]). These parts use it and run as long as the daemon:
//!
//! - [`lease`]: this entry's lease, and the session record that other entries see.
//! - [`follow`]: the catalogue in force, and proof that no later revision was accepted.
//! - [`role`]: roles that one entry holds at a time.
//! - [`quota`]: this entry's part of the teams' upper limits, and the moves between data centres.

pub mod calls;
pub mod follow;
pub mod keys;
pub mod lease;
mod part;
pub mod quota;
pub mod retry;
pub mod role;
pub mod session;
pub mod update;

pub use follow::{FollowConfig, Follower, HeadCopy};
pub use session::{Session, SessionConfig};
pub use update::{UpdateError, Updated};
