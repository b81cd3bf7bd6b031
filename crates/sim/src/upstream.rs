//! A simulated upstream: slots, a short queue, and a machine shared with other VMs.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::scenario::Scenario;

/// Work takes longer at an upstream whose share of slots in use is above this.
const NEARLY_FULL_UTILIZATION: f64 = 0.8;

/// Index of a request in the run's list of requests.
pub(crate) type RequestIndex = usize;

/// What an upstream does with a request that it receives.
pub(crate) enum SubmitResult {
    /// It processes the request for this long.
    Running(Duration),
    /// The request waits for a slot.
    Queued,
    /// The queue is full.
    Refused,
    /// The queue is full, and no response follows.
    Ignored,
}

pub(crate) struct Upstream {
    pub(crate) zone: usize,
    seed: u64,
    running: u32,
    waiting: VecDeque<(RequestIndex, Duration)>,
}

impl Upstream {
    pub(crate) fn new(zone: usize, seed: u64) -> Upstream {
        Upstream { zone, seed, running: 0, waiting: VecDeque::new() }
    }

    /// Returns the factor by which work takes longer on its machine at `now`.
    fn slowness(&self, scenario: &Scenario, now: Duration) -> f64 {
        let noise = scenario.noise;
        // Machines do not change their speed at the same time.
        let phase = noise.change_interval.mul_f64((self.seed % 1_000) as f64 / 1_000.0);
        let window = ((now + phase).as_secs_f64() / noise.change_interval.as_secs_f64()) as u64;
        let mut rng = SmallRng::seed_from_u64(self.seed.wrapping_add(window));
        match rng.random_bool(noise.slow_ratio) {
            true => noise.slowdown,
            false => 1.0,
        }
    }

    /// Returns its load report.
    pub(crate) fn load(&self, scenario: &Scenario, now: Duration) -> place::Load {
        place::Load {
            running: self.running,
            waiting: self.waiting.len() as u32,
            slots: scenario.slots_per_upstream,
            slowness: self.slowness(scenario, now),
        }
    }

    /// Receives a request that takes `work` on an unslowed machine.
    pub(crate) fn submit(
        &mut self,
        request: RequestIndex,
        work: Duration,
        scenario: &Scenario,
        now: Duration,
    ) -> SubmitResult {
        match () {
            () if self.running < scenario.slots_per_upstream => {
                SubmitResult::Running(self.start_work(work, scenario, now))
            }
            () if self.waiting.len() < scenario.max_queued => {
                self.waiting.push_back((request, work));
                SubmitResult::Queued
            }
            () if scenario.silent_when_full => SubmitResult::Ignored,
            () => SubmitResult::Refused,
        }
    }

    fn start_work(&mut self, work: Duration, scenario: &Scenario, now: Duration) -> Duration {
        self.running += 1;
        let utilization = f64::from(self.running) / f64::from(scenario.slots_per_upstream);
        let slowdown =
            if utilization > NEARLY_FULL_UTILIZATION { scenario.nearly_full_slowdown } else { 1.0 };
        work.mul_f64(self.slowness(scenario, now) * slowdown)
    }

    /// Finishes a request; returns the next one to run and how long it takes.
    pub(crate) fn finish(
        &mut self,
        scenario: &Scenario,
        now: Duration,
    ) -> Option<(RequestIndex, Duration)> {
        self.running -= 1;
        let (request, work) = self.waiting.pop_front()?;
        Some((request, self.start_work(work, scenario, now)))
    }
}
