//! Values that change while tasks work by them, such as the catalogue.
//!
//! Invariant: whoever follows a [`Latest`] gets its present value together with the subscription to newer ones, so no
//! value is missed between a read and the first wait for a change. A follower may skip values that were replaced
//! meanwhile.

use tokio::sync::watch;

/// A value of which tasks need the newest version.
#[derive(Debug, Default)]
pub struct Latest<T>(watch::Sender<T>);

impl<T: Clone> Latest<T> {
    /// Creates the value.
    pub fn new(value: T) -> Self {
        Self(watch::Sender::new(value))
    }

    /// The present value. A copy, as a guard that is held while the value is set would block the thread.
    #[must_use]
    pub fn get(&self) -> T {
        self.0.borrow().clone()
    }

    /// Replaces the value.
    pub fn set(&self, value: T) {
        self.0.send_replace(value);
    }

    /// Returns the present value, and the follower that returns newer ones.
    #[must_use]
    pub fn follow(&self) -> (T, Follower<T>) {
        let mut receiver = self.0.subscribe();
        let value = receiver.borrow_and_update().clone();
        (value, Follower(receiver))
    }

    /// Waits until the value meets a condition. Returns at once if it does already.
    pub async fn wait_for(&self, condition: impl FnMut(&T) -> bool) {
        // The sender lives as long as `self`, so the channel can't be closed.
        let _ = self.0.subscribe().wait_for(condition).await;
    }
}

/// Returns the newer versions of a value.
#[derive(Debug)]
pub struct Follower<T>(watch::Receiver<T>);

impl<T: Clone> Follower<T> {
    /// Waits for a value that is newer than the last one. Returns `None` once the value can't change any more.
    pub async fn next(&mut self) -> Option<T> {
        self.0.changed().await.ok()?;
        Some(self.0.borrow_and_update().clone())
    }
}
