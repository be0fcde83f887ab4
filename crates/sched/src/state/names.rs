//! Dense ids for names, drawn at first sight and kept.

use std::collections::HashMap;
use std::hash::Hash;

use goldcrest_types::entity::EntityRef;

/// Gives each name a dense id that it keeps.
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
    /// The id of `name`, drawn if it is new.
    pub fn draw(&mut self, name: &N) -> K {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = K::new(self.names.len());
        self.names.push(name.clone());
        self.ids.insert(name.clone(), id);
        id
    }

    /// The id of `name`, if it was ever seen.
    pub fn get(&self, name: &N) -> Option<K> {
        self.ids.get(name).copied()
    }

    /// The name of `id`.
    pub fn name(&self, id: K) -> Option<&N> {
        self.names.get(id.index())
    }

    /// How many names there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there is no name.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
