//! One upstream as one entry node sees it, and the predicted latency of a request to it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::crowding::{Crowding, NEARLY_FULL_SLOWNESS, NEARLY_FULL_UTILIZATION};
use crate::health::{Health, HealthState};
use crate::warm_up::Window;
use crate::Incarnation;

/// Time constant with which the weight of a reported slowness decays. Machines may change speed
/// every 300 ms, so a report of that age says little.
const SLOWNESS_DECAY_TIME: Duration = Duration::from_millis(300);

/// Time constant with which the weight of the reported numbers of running and waiting requests
/// decays. Queues change as requests end, which is slower than the changes of machine speed.
const OCCUPANCY_DECAY_TIME: Duration = Duration::from_secs(1);

/// Factor by which work takes longer at an upstream that has just started.
const COLD_SLOWNESS: f64 = 2.0;

/// Maximum sample of the unreported slowdown of an upstream, as a factor.
const MAX_UNREPORTED_SLOWDOWN: f64 = 10.0;

/// Weight of the newest response in the unreported slowdown.
const UNREPORTED_SLOWDOWN_WEIGHT: f64 = 0.4;

/// Half-life of the unreported slowdown, so that an upstream that was slow gets requests again.
const UNREPORTED_SLOWDOWN_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Minimum ratio of a request's latency to its prediction that counts as an unreported slowdown;
/// lower ratios are the usual variation of the work.
const MIN_UNREPORTED_SLOWDOWN: f64 = 1.8;

/// Load that an upstream reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests being processed.
    pub running: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// Maximum number of requests processed concurrently.
    pub slots: u32,
    /// Time that work takes on its machine now, as a factor of the usual time.
    pub slowness: f64,
}

impl Load {
    /// Returns true if the machine works at its usual speed.
    pub fn is_at_usual_speed(&self) -> bool {
        self.slowness <= MAX_USUAL_SLOWNESS
    }

    /// Returns true if another request would not wait for a slot.
    pub fn has_free_slot(&self) -> bool {
        self.waiting == 0 && self.running < self.slots
    }

    /// Returns the number of requests running and waiting, per slot.
    pub fn utilization(&self) -> f64 {
        f64::from(self.running + self.waiting) / f64::from(self.slots.max(1))
    }
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Id and start time.
    pub incarnation: Incarnation,
    /// Address that requests are sent to.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Maximum number of requests processed concurrently.
    pub slots: u32,
    /// Requests of this node that have not ended.
    pub outstanding: u32,
    /// Recent failures and ejections.
    pub(crate) health: Health,
    /// Until when it is cold, as it has reported.
    pub(crate) cold_until: Option<Instant>,
    /// Until when it is treated as cold although it has not reported to be.
    pub(crate) assumed_cold_until: Option<Instant>,
    /// The last warm-up window that this node used.
    pub(crate) last_window: Option<Window>,
    report: Option<(Load, Instant)>,
    /// Requests sent minus requests ended since the report.
    since_report: i64,
    unreported_slowdown: f64,
    unreported_slowdown_at: Option<Instant>,
}

/// Mean load of the upstreams of a service, used for an upstream without a recent report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TypicalLoad {
    /// Time that work takes, as a factor of the time on an unshared machine.
    pub slowness: f64,
    /// Requests running and waiting, per slot.
    pub utilization: f64,
}

/// Slowness up to which a machine counts as working at its usual speed.
const MAX_USUAL_SLOWNESS: f64 = 1.1;

/// Predicted latency of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Time until its response, including `queue_time`.
    pub latency: Duration,
    /// Time until a slot is free for it that the upstream does more work with than without.
    pub queue_time: Duration,
    /// Requests per slot including this one; above 1 if it has to wait.
    pub utilization: f64,
    /// Whether work takes longer because the upstream is nearly full.
    pub nearly_full: bool,
}

impl Upstream {
    /// Creates an upstream of which only its entry in the list is known.
    pub fn new(incarnation: Incarnation, addr: SocketAddr, zone: SmolStr, slots: u32) -> Upstream {
        Upstream {
            incarnation,
            addr,
            zone,
            slots: slots.max(1),
            outstanding: 0,
            health: Health::default(),
            cold_until: None,
            assumed_cold_until: None,
            last_window: None,
            report: None,
            since_report: 0,
            unreported_slowdown: 1.0,
            unreported_slowdown_at: None,
        }
    }

    /// Records a load report of the upstream.
    pub fn record_report(&mut self, load: Load, now: Instant) {
        self.slots = load.slots.max(1);
        self.report = Some((load, now));
        self.since_report = 0;
    }

    /// Returns true while it gets no requests, or only trial requests, because of failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.health.state(now) != HealthState::Healthy
    }

    /// Returns true while it is cold or treated as cold.
    pub(crate) fn may_be_cold(&self, now: Instant) -> bool {
        let until = self.cold_until.max(self.assumed_cold_until);
        until.is_some_and(|until| until > now)
    }

    /// Records for how much longer it reports to be cold; `None` if it is not cold.
    pub(crate) fn set_cold_for(&mut self, cold_for: Option<Duration>, now: Instant) {
        self.cold_until = cold_for.map(|cold_for| now + cold_for);
        self.assumed_cold_until = None;
    }

    /// Returns its newest load report and the age of that report.
    pub fn report(&self, now: Instant) -> Option<(Load, Duration)> {
        self.report.map(|(load, at)| (load, now.saturating_duration_since(at)))
    }

    pub(crate) fn record_sent(&mut self) {
        self.outstanding += 1;
        self.since_report += 1;
    }

    pub(crate) fn record_ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.since_report -= 1;
    }

    fn unreported_slowdown(&self, now: Instant) -> f64 {
        match self.unreported_slowdown_at {
            Some(at) => {
                let age = now.saturating_duration_since(at).as_secs_f64();
                1.0 + (self.unreported_slowdown - 1.0)
                    * 0.5f64.powf(age / UNREPORTED_SLOWDOWN_HALF_LIFE.as_secs_f64())
            }
            None => 1.0,
        }
    }

    /// Records that a request took `ratio` times its predicted latency.
    ///
    /// An upstream can be slow for reasons that its reports do not show. Its requests then end late
    /// although the report was good.
    pub(crate) fn record_latency_ratio(&mut self, ratio: f64, now: Instant) {
        let unreported_slowdown = self.unreported_slowdown(now);
        let sample =
            if ratio >= MIN_UNREPORTED_SLOWDOWN { ratio.min(MAX_UNREPORTED_SLOWDOWN) } else { 1.0 };
        self.unreported_slowdown =
            unreported_slowdown + UNREPORTED_SLOWDOWN_WEIGHT * (sample - unreported_slowdown);
        self.unreported_slowdown_at = Some(now);
    }

    /// Predicts the latency of a request that takes `work` on an upstream that is not slowed.
    ///
    /// An upstream without a recent report is assumed to be as full as the `typical` one. If it
    /// were assumed to be empty, it would look best whenever all others are full, and each request
    /// of a burst would open a connection to yet another upstream that is full too.
    pub fn predict(
        &self,
        work: Duration,
        typical: TypicalLoad,
        crowding: &Crowding,
        now: Instant,
    ) -> Prediction {
        let slots = f64::from(self.slots);
        let typically_occupied = typical.utilization * slots;
        let (slowness, occupied) = match self.report(now) {
            Some((load, age)) => {
                let decay =
                    |decay_time: Duration| (-age.as_secs_f64() / decay_time.as_secs_f64()).exp();
                let slowness_weight = decay(SLOWNESS_DECAY_TIME);
                let slowness =
                    slowness_weight * load.slowness + (1.0 - slowness_weight) * typical.slowness;
                let occupancy_weight = decay(OCCUPANCY_DECAY_TIME);
                let reported = (i64::from(load.running + load.waiting) + self.since_report) as f64;
                (
                    slowness,
                    occupancy_weight * reported + (1.0 - occupancy_weight) * typically_occupied,
                )
            }
            None => (typical.slowness, typically_occupied + f64::from(self.outstanding)),
        };
        let occupied = occupied.max(f64::from(self.outstanding));
        let utilization = (occupied + 1.0) / slots;
        let mut factor = slowness * self.unreported_slowdown(now);
        // With a single slot, requests never run concurrently.
        let nearly_full = utilization > NEARLY_FULL_UTILIZATION && self.slots > 1;
        if nearly_full {
            factor *= NEARLY_FULL_SLOWNESS;
        }
        if self.cold_until.is_some_and(|until| until > now) {
            factor *= COLD_SLOWNESS;
        }
        let service_time = work.mul_f64(factor);
        let concurrency = f64::from(crowding.best_concurrency(self.slots));
        let ahead = (occupied + 1.0 - concurrency).max(0.0) / concurrency;
        let queue_time = service_time.mul_f64(ahead);
        Prediction { latency: service_time + queue_time, queue_time, utilization, nearly_full }
    }
}
