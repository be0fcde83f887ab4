//! A segment tree over free capacity that finds the first worker that fits.

use goldcrest_types::units::Resources;

use crate::estimate::larger;

/// The largest free amount in each dimension, for each range of positions.
///
/// Invariant: an inner node is the maximum of its two children in each dimension.
#[derive(Debug, Clone, Default)]
pub struct FitTree {
    /// The root is at 1, the children of `n` at `2n` and `2n + 1`, the leaves from `leaves` on.
    nodes: Vec<Resources>,
    leaves: usize,
}

impl FitTree {
    /// Returns a tree over `len` positions with nothing free.
    #[must_use]
    pub fn new(len: usize) -> Self {
        let leaves = len.next_power_of_two();
        Self {
            nodes: vec![Resources::ZERO; 2 * leaves],
            leaves,
        }
    }

    /// Sets what is free at one position, in logarithmic time.
    pub fn set(&mut self, position: usize, free: Resources) {
        debug_assert!(position < self.leaves);
        let mut node = self.leaves + position;
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

    /// Returns the first position in `from..end` whose free capacity fits `need`, which must not be zero: zero would
    /// also fit closed workers and the leaves beyond the length.
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
