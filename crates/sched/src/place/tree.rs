//! A tree over what is free, for the first worker with room.

use goldcrest_types::units::Resources;

use crate::estimate::larger;

/// The largest free amount in each dimension, for each range of places in a binary tree.
#[derive(Debug, Clone, Default)]
pub struct FitTree {
    /// The root is at 1, the children of `n` at `2n` and `2n + 1`, the leaves from `leaves` on.
    nodes: Vec<Resources>,
    leaves: usize,
}

impl FitTree {
    /// A tree over `len` places with nothing free.
    #[must_use]
    pub fn new(len: usize) -> Self {
        let leaves = len.next_power_of_two();
        Self {
            nodes: vec![Resources::ZERO; 2 * leaves],
            leaves,
        }
    }

    /// Sets what is free at one place.
    pub fn set(&mut self, place: usize, free: Resources) {
        debug_assert!(place < self.leaves);
        let mut node = self.leaves + place;
        if self.nodes[node] == free {
            return;
        }
        self.nodes[node] = free;
        while node > 1 {
            node /= 2;
            let largest = larger(&self.nodes[2 * node], &self.nodes[2 * node + 1]);
            if self.nodes[node] == largest {
                return;
            }
            self.nodes[node] = largest;
        }
    }

    /// The first place in `from..end` with room for `need`, which must not be nothing.
    #[must_use]
    pub fn find(&self, from: usize, end: usize, need: &Resources) -> Option<usize> {
        if self.leaves == 0 || from >= end {
            return None;
        }
        self.find_in(1, 0..self.leaves, &(from..end), need)
    }

    fn find_in(
        &self,
        node: usize,
        span: std::ops::Range<usize>,
        wanted: &std::ops::Range<usize>,
        need: &Resources,
    ) -> Option<usize> {
        let is_outside = span.end <= wanted.start || span.start >= wanted.end;
        if is_outside || !self.nodes[node].fits(need) {
            return None;
        }
        if span.len() == 1 {
            return Some(span.start);
        }
        let middle = usize::midpoint(span.start, span.end);
        self.find_in(2 * node, span.start..middle, wanted, need)
            .or_else(|| self.find_in(2 * node + 1, middle..span.end, wanted, need))
    }
}
