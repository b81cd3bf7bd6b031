//! Dealing the requests of a split route out to its services.

use rand::Rng;

use crate::Target;

/// Whose turn it is at one split route of one entry node.
///
/// Smooth weighted round robin: after any number of requests each target has
/// had its share to within one request. A random draw per request would be
/// off by several percent over a few hundred requests, which shows as a
/// canary release that gets twice the traffic it was given.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    weights: Vec<f64>,
    credit: Vec<f64>,
}

impl Turns {
    /// Returns the index of the target that the next request goes to; 0 when there is only one.
    ///
    /// Changed weights start over at a random point: entry nodes that
    /// all began with the heaviest target would together starve the others
    /// of their first requests.
    pub fn next<R: Rng>(&mut self, targets: &[Target], rng: &mut R) -> usize {
        if targets.len() < 2 {
            return 0;
        }
        let unchanged = self.weights.iter().copied().eq(targets.iter().map(|t| t.weight));
        let total: f64 = targets.iter().map(|t| t.weight).sum();
        if !unchanged {
            self.weights = targets.iter().map(|t| t.weight).collect();
            self.credit = targets.iter().map(|_| rng.random_range(0.0..=total.max(0.0))).collect();
        }
        for (credit, target) in self.credit.iter_mut().zip(targets) {
            *credit += target.weight;
        }
        let weighted = targets.iter().enumerate().filter(|(_, t)| t.weight > 0.0);
        let next = weighted.max_by(|(a, _), (b, _)| self.credit[*a].total_cmp(&self.credit[*b]));
        let index = next.map_or(0, |(index, _)| index);
        self.credit[index] -= total;
        index
    }
}
