//! A Fenwick tree of weights that draws a random index, with a probability proportional to its weight, in O(log n).

/// Weights by index, and their total.
#[derive(Debug, Default)]
pub(crate) struct WeightTree {
    weights: Vec<u64>,
    /// Partial sums of the Fenwick tree, indexed from 1.
    sums: Vec<u64>,
    total: u64,
}

impl WeightTree {
    /// Creates a tree of `len` zero weights.
    pub(crate) fn new(len: usize) -> Self {
        Self {
            weights: vec![0; len],
            sums: vec![0; len + 1],
            total: 0,
        }
    }

    /// The sum of all weights.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    /// Sets the weight at `index`.
    pub(crate) fn set(&mut self, index: usize, weight: u64) {
        let old = std::mem::replace(&mut self.weights[index], weight);
        self.total = self.total - old + weight;
        let mut node = index + 1;
        while node < self.sums.len() {
            self.sums[node] = self.sums[node] - old + weight;
            node += node & node.wrapping_neg();
        }
    }

    /// Draws an index with a probability proportional to its weight; `None` if all weights are zero.
    pub(crate) fn draw(&self, rng: &mut fastrand::Rng) -> Option<usize> {
        if self.total == 0 {
            return None;
        }
        let mut rest = rng.u64(..self.total);
        let mut node = 0;
        let mut step = self.sums.len().next_power_of_two() / 2;
        while step > 0 {
            let next = node + step;
            if next < self.sums.len() && self.sums[next] <= rest {
                node = next;
                rest -= self.sums[next];
            }
            step /= 2;
        }
        Some(node)
    }
}
