//! Dense ids for names.
//!
//! Invariant: `ids[names[i]]` is the id with index `i`; an id is never removed or reused.

use std::collections::HashMap;
use std::hash::Hash;

use goldcrest_types::entity::EntityRef;

/// Assigns a dense id to each name, for the lifetime of the map.
#[derive(Debug, Clone)]
pub struct NameMap<N, K> {
    ids: HashMap<N, K>,
    names: Vec<N>,
}

impl<N, K> Default for NameMap<N, K> {
    fn default() -> Self {
        Self {
            ids: HashMap::new(),
            names: Vec::new(),
        }
    }
}

impl<N: Clone + Eq + Hash, K: EntityRef> NameMap<N, K> {
    /// Returns the id of `name` and assigns the next one if the name is new.
    pub fn get_or_insert(&mut self, name: &N) -> K {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = K::new(self.names.len());
        self.names.push(name.clone());
        self.ids.insert(name.clone(), id);
        id
    }

    /// Returns the id of `name`, if one was assigned.
    pub fn get(&self, name: &N) -> Option<K> {
        self.ids.get(name).copied()
    }

    /// Returns the name of `id`, if the map assigned it.
    pub fn name(&self, id: K) -> Option<&N> {
        self.names.get(id.index())
    }

    /// Returns the number of names.
    #[must_use]
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether the map has no name.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
