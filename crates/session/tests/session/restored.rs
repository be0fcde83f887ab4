//! The service is restored from an older copy of its values: no revision in force is reverted.

use std::time::Duration;

use goldcrest_ledger::Document;
use goldcrest_ledger::catalogue::{EditRefusal, Head};
use goldcrest_serve::outcome::NotRunCode;
use goldcrest_session::{Updated, keys};

use crate::common::{FakeStore, Faults, StoreCopy};
use crate::linked::{Linked, first_edit, grant, withdraw};
use crate::network::Network;

const DCS: usize = 2;

struct World {
    store: FakeStore,
    entries: Vec<Linked>,
    last_edit: u128,
}

impl World {
    /// Starts two entries in each of two data centres, and waits until all have the first catalogue.
    async fn settled() -> Self {
        let (store, network) = (FakeStore::default(), Network::new());
        let entries = Linked::start_all(&store, &network, &[0, 0, 1, 1]);
        entries[0].accept(&first_edit(DCS)).await;
        pass(20_000).await;
        Self {
            store,
            entries,
            last_edit: 1,
        }
    }

    async fn accept(&mut self, edits: usize) {
        for _ in 0..edits {
            self.last_edit += 1;
            self.entries[0].accept(&grant(self.last_edit)).await;
        }
        pass(6_000).await;
    }

    fn set_down(&self, down: bool) {
        for entry in &self.entries {
            entry.store.set_faults(Faults {
                down,
                ..Faults::default()
            });
        }
    }

    /// Takes the service down for 5 s and restores it from `copy`.
    async fn restore(&self, copy: &StoreCopy) {
        self.set_down(true);
        pass(5_000).await;
        self.store.restore(copy);
        self.set_down(false);
    }

    fn stored(&self) -> u64 {
        let found = self.store.peek(&keys::catalogue_head());
        let head = found.map(|found| Head::decode(&found.value).expect("a head"));
        head.map_or(0, |head| head.revision().get())
    }

    /// Asserts that this revision is in force at every entry, and that the withdrawn key is refused.
    fn check(&self, revision: u64) {
        for entry in &self.entries {
            assert_eq!(entry.revision(), revision);
            assert!(entry.send_keyed("withdrawn").is_err());
            assert_eq!(entry.send_open(), Ok(()));
        }
    }
}

async fn pass(duration_ms: u64) {
    tokio::time::sleep(Duration::from_millis(duration_ms)).await;
}

#[tokio::test(start_paused = true)]
async fn restore_older_copy_is_mended() {
    let mut world = World::settled().await;
    world.accept(3).await;
    let copy = world.store.copy();
    world.entries[1].accept(&withdraw(100, "withdrawn")).await;
    world.accept(40).await;
    world.check(45);
    world.restore(&copy).await;
    assert_eq!(world.stored(), 4);
    for _ in 0..60 {
        pass(100).await;
        world.check(45);
    }
    assert_eq!(world.stored(), 45);
    // Keyed work goes on, and edits come into force at all entries, though the versions of the service decreased.
    for entry in &world.entries {
        assert_eq!(entry.send_keyed("kept"), Ok(()));
    }
    world.accept(1).await;
    world.check(46);
}

#[tokio::test(start_paused = true)]
async fn restore_empty_is_mended() {
    let mut world = World::settled().await;
    let copy = FakeStore::default().copy();
    world.entries[1].accept(&withdraw(100, "withdrawn")).await;
    world.accept(2).await;
    world.restore(&copy).await;
    pass(6_000).await;
    world.check(4);
    assert_eq!(world.stored(), 4);
}

#[tokio::test(start_paused = true)]
async fn restore_edited_meanwhile_is_left_to_operators() {
    let mut world = World::settled().await;
    let copy = world.store.copy();
    world.entries[1].accept(&withdraw(100, "withdrawn")).await;
    world.accept(2).await;
    world.set_down(true);
    pass(5_000).await;
    world.store.restore(&copy);
    // An entry without connections to the others accepts an edit on the older head.
    let isolated = Linked::start_all(&world.store, &Network::new(), &[0]);
    pass(1_000).await;
    isolated[0].accept(&grant(200)).await;
    world.set_down(false);
    pass(10_000).await;
    world.check(4);
    assert_eq!(
        world.stored(),
        2,
        "the edit of the older head is not undone"
    );
    for entry in &world.entries {
        let refused = Err(NotRunCode::KeysNotFresh);
        assert_eq!(entry.send_keyed("kept"), refused);
    }
    let edited = world.entries[0].follower.edit(&grant(300)).await;
    let is_refused = matches!(&edited, Ok(Updated::Refused(EditRefusal::Restored(..))));
    assert!(is_refused, "{edited:?}");
    // The same holds when the older head has got as many edits, and more.
    for id in 201..206 {
        isolated[0].accept(&grant(id)).await;
        pass(15_000).await;
        world.check(4);
    }
    let calls = world.entries[0].session.counts().reads;
    pass(60_000).await;
    let reads = world.entries[0].session.counts().reads - calls;
    assert!(reads <= 40, "{reads} reads in a minute");
}

#[tokio::test(start_paused = true)]
async fn restore_copy_older_than_what_is_remembered_is_left_to_operators() {
    let mut world = World::settled().await;
    let copy = world.store.copy();
    world.entries[1].accept(&withdraw(100, "withdrawn")).await;
    world.accept(70).await;
    world.restore(&copy).await;
    pass(10_000).await;
    world.check(72);
    assert_eq!(world.stored(), 1);
    for entry in &world.entries {
        let refused = Err(NotRunCode::KeysNotFresh);
        assert_eq!(entry.send_keyed("kept"), refused);
    }
}
