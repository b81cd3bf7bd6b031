//! State of one upstream as one entry node sees it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

/// Weight of the newest sample in the moving averages of slowness and latency.
const EWMA_WEIGHT: f64 = 0.2;

/// Range to which a sample of slowness is clamped, so that a single outlier has no lasting effect.
const SLOWNESS_RANGE: (f64, f64) = (0.1, 50.0);

/// Slowness of an upstream that is as fast as the mean.
pub(crate) const NORMAL_SLOWNESS: f64 = 1.0;

/// Half-life with which slowness decays to normal when no new sample comes.
/// Without the decay, an upstream that was slow once is never picked again,
/// so no response can show that it has recovered.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(4);

/// Time after which a sample of slowness says nothing about an upstream any more.
const SLOWNESS_TTL: Duration = Duration::from_secs(30);

/// Number of consecutive failures that ejects an upstream.
const EJECTION_THRESHOLD: u32 = 3;

/// Duration of the first ejection; it doubles with each further one until a response arrives.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(2);

/// Longest duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);

/// Time after a refusal during which other upstreams are preferred.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(50);

/// Time during which a response to this node outweighs watchers' reports of failure.
const RESPONSE_TTL: Duration = Duration::from_secs(2);

/// Whether an upstream is listed to get new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// The upstream serves calls.
    Live,
    /// The upstream gets no new calls; outstanding ones finish.
    Leaving,
}

/// Health of an upstream as watchers report it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// No watcher reports a problem.
    #[default]
    Healthy,
    /// The upstream does not respond to probes, or responds with errors.
    Failing,
    /// The upstream itself says that it is leaving.
    Draining,
}

/// Preference class of an upstream, best first; a class is used only when all better ones are
/// empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// There is no known problem.
    Good,
    /// The upstream refused a call a moment ago.
    Refusing,
    /// Watchers report that the upstream fails, and no recent response to this node contradicts
    /// them.
    Failing,
    /// The upstream failed repeatedly; it gets one trial call at a time to show that it recovered.
    Ejected,
}

/// One upstream of a [`Pool`](crate::Pool).
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Address that calls are sent to.
    pub addr: SocketAddr,
    /// Availability zone of the upstream.
    pub zone: SmolStr,
    /// Whether the upstream is live or leaving.
    pub state: UpstreamState,
    /// Health as watchers report it.
    pub health: Health,
    /// Calls that this entry node has sent and that have not ended.
    pub outstanding: u32,
    /// Moving average of the latency of its responses, in microseconds; shown on the status page.
    pub latency_ewma_us: f64,
    /// Moving average of its latency over the mean latency of the same kind of call; 1 is normal.
    slowness: f64,
    /// When slowness was last sampled.
    sampled_at: Option<Instant>,
    /// When the upstream last responded.
    responded_at: Option<Instant>,
    /// Failures since the last response or ejection.
    pub consecutive_failures: u32,
    /// Ejections since the last response.
    consecutive_ejections: u32,
    /// End of the current or last ejection; reset by a response.
    ejected_until: Option<Instant>,
    /// Until when other upstreams are preferred because this one refused a call.
    refused_until: Option<Instant>,
}

impl Upstream {
    /// Creates a live upstream without history.
    pub fn new(addr: SocketAddr, zone: SmolStr) -> Upstream {
        Upstream {
            addr,
            zone,
            state: UpstreamState::Live,
            health: Health::Healthy,
            outstanding: 0,
            latency_ewma_us: 0.0,
            slowness: NORMAL_SLOWNESS,
            sampled_at: None,
            responded_at: None,
            consecutive_failures: 0,
            consecutive_ejections: 0,
            ejected_until: None,
            refused_until: None,
        }
    }

    /// Returns the tier of the upstream, or `None` if it must not get a call now.
    pub fn tier(&self, now: Instant) -> Option<Tier> {
        let has_recent_response =
            self.responded_at.is_some_and(|at| now.duration_since(at) < RESPONSE_TTL);
        match (self.state, self.health) {
            (UpstreamState::Leaving, _) | (_, Health::Draining) => None,
            // One trial call at a time, so that a dead upstream does not fail several calls.
            _ if self.ejected_until.is_some() && self.outstanding > 0 => None,
            _ if self.is_ejected(now) => Some(Tier::Ejected),
            (_, Health::Failing) if !has_recent_response => Some(Tier::Failing),
            _ if self.refused_until.is_some_and(|until| until > now) => Some(Tier::Refusing),
            _ => Some(Tier::Good),
        }
    }

    /// Returns true while the upstream is ejected or its trial call is outstanding.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now || self.outstanding > 0)
    }

    /// Returns the expected time of one more call, in units of a normal call's service time.
    ///
    /// The call is expected to wait for every outstanding call of this node;
    /// slowness scales the time of each.
    pub fn cost(&self, now: Instant) -> f64 {
        self.cost_against(NORMAL_SLOWNESS, now)
    }

    /// Same as [`Upstream::cost`], where `normal` is the slowness of an upstream of which nothing
    /// is known.
    pub(crate) fn cost_against(&self, normal: f64, now: Instant) -> f64 {
        self.slowness_against(normal, now) * (1.0 + f64::from(self.outstanding))
    }

    /// Returns the slowness of the upstream.
    pub(crate) fn slowness(&self, now: Instant) -> f64 {
        self.slowness_against(NORMAL_SLOWNESS, now)
    }

    /// Returns the slowness, which decays to `normal`; at least `normal` if that is below 1, since
    /// it is then the slowness of the fastest upstream.
    fn slowness_against(&self, normal: f64, now: Instant) -> f64 {
        let age = self.sampled_at.map(|at| now.duration_since(at));
        let Some(age) = age.filter(|age| *age < SLOWNESS_TTL) else { return normal };
        let remaining = 0.5f64.powf(age.as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64());
        let slowness = normal + (self.slowness - normal) * remaining;
        match normal < NORMAL_SLOWNESS {
            true => slowness.max(normal),
            false => slowness,
        }
    }

    fn sample_slowness(&mut self, sample: f64, now: Instant) {
        let sample = sample.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness += EWMA_WEIGHT * (sample - self.slowness);
        self.sampled_at = Some(now);
    }

    pub(crate) fn record_response(&mut self, elapsed_us: f64, slowness: f64, now: Instant) {
        self.latency_ewma_us = match self.responded_at {
            Some(_) => self.latency_ewma_us + EWMA_WEIGHT * (elapsed_us - self.latency_ewma_us),
            None => elapsed_us,
        };
        self.sample_slowness(slowness, now);
        self.responded_at = Some(now);
        self.consecutive_failures = 0;
        self.consecutive_ejections = 0;
        self.ejected_until = None;
    }

    /// Records that a call ended without a response after `slowness` times the usual time.
    ///
    /// Only a value above the current slowness counts. Without this record, a
    /// slow upstream whose calls are all overtaken by hedges never looks slow,
    /// since none of its responses is awaited.
    pub(crate) fn record_min_slowness(&mut self, slowness: f64, now: Instant) {
        if slowness > self.slowness(now).max(NORMAL_SLOWNESS) {
            self.sample_slowness(slowness, now);
        }
    }

    /// Records a refusal, which neither counts as a failure nor resets the count of failures.
    ///
    /// If refusals counted as failures, a short overload would eject every
    /// upstream at once and turn a full service into an unavailable one.
    pub(crate) fn record_refusal(&mut self, now: Instant) {
        self.refused_until = Some(now + REFUSAL_BACKOFF);
    }

    pub(crate) fn record_failure(&mut self, may_eject: bool, now: Instant) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let is_failed_trial = self.ejected_until.is_some_and(|until| until <= now);
        if may_eject && (is_failed_trial || self.consecutive_failures >= EJECTION_THRESHOLD) {
            let ejection_time =
                BASE_EJECTION_TIME * 2u32.saturating_pow(self.consecutive_ejections.min(8));
            self.ejected_until = Some(now + ejection_time.min(MAX_EJECTION_TIME));
            self.consecutive_ejections += 1;
            self.consecutive_failures = 0;
        }
    }
}
