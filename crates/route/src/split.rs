//! Distribution of the requests of a route among its services.

use rand::Rng;

use crate::Target;

/// Smooth weighted round robin for one route on one entry node.
///
/// After any number of requests each target has had its share to within one
/// request. A random choice per request would be off by several percent over a
/// few hundred requests, enough to send a canary release twice its share of
/// the traffic.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    weights: Vec<f64>,
    credit: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the target that the next request goes to; 0 when there is only one.
    ///
    /// After a change of the weights the sequence starts at a random position:
    /// if all entry nodes began with the heaviest target, the other targets
    /// would not get any of the first requests.
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
