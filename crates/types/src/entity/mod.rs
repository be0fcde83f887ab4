//! Dense entity ids, and the maps that are indexed by them.
//!
//! A [`PrimaryMap`] owns the records of one kind and assigns their ids in order, so an id is an index and a lookup is
//! one array access. A [`SecondaryMap`] attaches further data to the ids of a primary map; it grows on write and
//! returns a default for ids never written. An id of one primary map must not be used with another.

use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

/// A dense id: a newtype over a small index.
pub trait EntityRef: Copy + Eq {
    /// Returns the id with this index.
    fn new(index: usize) -> Self;
    /// Returns the index of this id.
    fn index(self) -> usize;
}

/// Declares a dense id type that prints as a prefix and its index, such as `team3`.
#[macro_export]
macro_rules! entity_id {
    ($(#[$attr:meta])* $name:ident, $prefix:literal) => {
        $(#[$attr])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl $crate::entity::EntityRef for $name {
            fn new(index: usize) -> Self {
                debug_assert!(u32::try_from(index).is_ok());
                Self(u32::try_from(index).unwrap_or(u32::MAX))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }
    };
}

entity_id!(
    /// The id of a team in the resolved catalogue.
    TeamId,
    "team"
);
entity_id!(
    /// The id of a queue in the resolved catalogue.
    QueueId,
    "queue"
);
entity_id!(
    /// The id of a pool of VMs in the resolved catalogue.
    PoolId,
    "pool"
);
entity_id!(
    /// The id of a data centre, which is a failure domain.
    DcId,
    "dc"
);
entity_id!(
    /// The id of a region, which is a group of data centres.
    RegionId,
    "region"
);
entity_id!(
    /// The id of a rack in a data centre.
    RackId,
    "rack"
);
entity_id!(
    /// The id of a VM of the fleet.
    VmId,
    "vm"
);
entity_id!(
    /// The id of a task that was accepted.
    TaskId,
    "task"
);
entity_id!(
    /// The id of a caller's key in the resolved catalogue.
    KeyId,
    "key"
);

/// Owns the records of one kind and assigns their ids.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrimaryMap<K, V> {
    items: Vec<V>,
    ids: PhantomData<K>,
}

impl<K: EntityRef, V> PrimaryMap<K, V> {
    /// Returns an empty map.
    #[must_use]
    pub fn new() -> Self {
        Self {
            items: Vec::new(),
            ids: PhantomData,
        }
    }

    /// Adds a record and returns its id.
    pub fn push(&mut self, value: V) -> K {
        let id = K::new(self.items.len());
        self.items.push(value);
        id
    }

    /// Returns the record of `id`, or `None` if the map has no such id.
    pub fn get(&self, id: K) -> Option<&V> {
        self.items.get(id.index())
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns all ids in order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = K> + use<K, V> {
        (0..self.items.len()).map(K::new)
    }

    /// Returns all records in the order of their ids.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.items.iter()
    }

    /// Returns all ids with their records, in order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.items.iter().enumerate().map(|(i, v)| (K::new(i), v))
    }

    /// Returns all ids with mutable references to their records, in order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.items
            .iter_mut()
            .enumerate()
            .map(|(i, v)| (K::new(i), v))
    }
}

impl<K: EntityRef, V> Default for PrimaryMap<K, V> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: EntityRef, V> Index<K> for PrimaryMap<K, V> {
    type Output = V;

    fn index(&self, id: K) -> &V {
        &self.items[id.index()]
    }
}

impl<K: EntityRef, V> IndexMut<K> for PrimaryMap<K, V> {
    fn index_mut(&mut self, id: K) -> &mut V {
        &mut self.items[id.index()]
    }
}

/// Attaches data to the ids of some [`PrimaryMap`]; unwritten ids read as the default.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SecondaryMap<K, V> {
    items: Vec<V>,
    default: V,
    ids: PhantomData<K>,
}

impl<K: EntityRef, V: Clone> SecondaryMap<K, V> {
    /// Returns an empty map whose unwritten ids read as the type's default.
    #[must_use]
    pub fn new() -> Self
    where
        V: Default,
    {
        Self::with_default(V::default())
    }

    /// Returns an empty map whose unwritten ids read as `default`.
    pub fn with_default(default: V) -> Self {
        Self {
            items: Vec::new(),
            default,
            ids: PhantomData,
        }
    }

    /// Returns all ids up to the highest written one, with their data.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.items.iter().enumerate().map(|(i, v)| (K::new(i), v))
    }

    /// Returns the data of all ids up to the highest written one.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.items.iter()
    }

    /// Resets every id to the default and keeps the allocation for reuse.
    pub fn clear(&mut self) {
        self.items.clear();
    }
}

impl<K: EntityRef, V: Clone + Default> Default for SecondaryMap<K, V> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: EntityRef, V> Index<K> for SecondaryMap<K, V> {
    type Output = V;

    fn index(&self, id: K) -> &V {
        self.items.get(id.index()).unwrap_or(&self.default)
    }
}

impl<K: EntityRef, V: Clone> IndexMut<K> for SecondaryMap<K, V> {
    fn index_mut(&mut self, id: K) -> &mut V {
        let index = id.index();
        if index >= self.items.len() {
            self.items.resize(index + 1, self.default.clone());
        }
        &mut self.items[index]
    }
}
