//! What one entry node knows of one upstream.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

/// Weight of the newest sample in the slowness and latency averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Bounds on one sample of slowness, so that one freak answer does not decide for long.
const SLOWNESS_RANGE: (f64, f64) = (0.1, 50.0);

/// Time in which a slowness no longer confirmed fades by half towards normal.
/// Without it, an upstream that was slow once is never picked again, so no
/// answer ever shows that it recovered.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(4);

/// Failures in a row after which an upstream is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;

/// How long the first ejection lasts; doubled with each that follows without an answer between.
const EJECT_FOR: Duration = Duration::from_secs(2);

/// Longest ejection.
const EJECT_FOR_MOST: Duration = Duration::from_secs(30);

/// How long a refusal makes other upstreams come first.
const REFUSED_FOR: Duration = Duration::from_millis(50);

/// An own answer this recent outweighs what watchers report.
const ANSWER_COUNTS_FOR: Duration = Duration::from_secs(2);

/// Whether an upstream may get new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Serving.
    Live,
    /// Leaving: no new calls, outstanding ones finish.
    Leaving,
}

/// What watchers say of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Report {
    /// Nothing bad.
    #[default]
    Good,
    /// It does not answer their probes, or answers with errors.
    Failing,
    /// It says itself that it is leaving.
    Draining,
}

/// How willingly an upstream is picked; a lower tier only when the better ones are empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// Nothing speaks against it.
    Good,
    /// It refused a call a moment ago.
    Refusing,
    /// Watchers say it fails, and no own answer says otherwise.
    Failing,
    /// It failed repeatedly; it gets one call at a time to show that it is back.
    Ejected,
}

/// What the pool knows of one upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Where calls go.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Live or leaving.
    pub standing: Standing,
    /// What watchers say of it.
    pub report: Report,
    /// Calls this entry node has sent and not yet seen answered.
    pub outstanding: u32,
    /// Average latency of its answers, in microseconds; for the status page.
    pub latency_ewma_us: f64,
    /// Average of its answers' latency over the mean of their kind; 1 is normal.
    slowness: f64,
    /// When the slowness was last sampled.
    sampled_at: Option<Instant>,
    /// When it last answered.
    answered_at: Option<Instant>,
    /// Failures in a row, reset by an answer.
    pub failures: u32,
    /// Ejections in a row, reset by an answer.
    ejections: u32,
    /// End of the current or last ejection; kept until an answer comes.
    ejected_until: Option<Instant>,
    refused_until: Option<Instant>,
}

impl Upstream {
    /// Creates a live upstream with no history.
    pub fn new(addr: SocketAddr, zone: SmolStr) -> Upstream {
        Upstream {
            addr,
            zone,
            standing: Standing::Live,
            report: Report::Good,
            outstanding: 0,
            latency_ewma_us: 0.0,
            slowness: 1.0,
            sampled_at: None,
            answered_at: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            refused_until: None,
        }
    }

    /// Returns how willingly it is picked, or `None` when it must not be.
    pub fn tier(&self, now: Instant) -> Option<Tier> {
        let on_trial = self.ejected_until.is_some_and(|until| until <= now);
        let answered_lately =
            self.answered_at.is_some_and(|at| now.duration_since(at) < ANSWER_COUNTS_FOR);
        match (self.standing, self.report) {
            (Standing::Leaving, _) | (_, Report::Draining) => None,
            // One trial call at a time: a dead upstream must not cost a call each.
            _ if self.ejected_until.is_some() && self.outstanding > 0 => None,
            _ if self.ejected_until.is_some() && !on_trial => Some(Tier::Ejected),
            (_, Report::Failing) if !answered_lately => Some(Tier::Failing),
            _ if self.refused_until.is_some_and(|until| until > now) => Some(Tier::Refusing),
            _ => Some(Tier::Good),
        }
    }

    /// Returns the expected time of one more call, in units of a normal call's service time:
    /// each call outstanding is one to wait for, as slow as its upstream is.
    pub fn cost(&self, now: Instant) -> f64 {
        self.slowness_at(now) * (1.0 + f64::from(self.outstanding))
    }

    fn slowness_at(&self, now: Instant) -> f64 {
        let Some(at) = self.sampled_at else { return 1.0 };
        let age = now.duration_since(at).as_secs_f64();
        1.0 + (self.slowness - 1.0) * 0.5f64.powf(age / SLOWNESS_HALF_LIFE.as_secs_f64())
    }

    fn sample_slowness(&mut self, sample: f64, now: Instant) {
        let sample = sample.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness += SAMPLE_WEIGHT * (sample - self.slowness);
        self.sampled_at = Some(now);
    }

    pub(crate) fn answered(&mut self, took_us: f64, slowness: f64, now: Instant) {
        self.latency_ewma_us = match self.answered_at {
            Some(_) => self.latency_ewma_us + SAMPLE_WEIGHT * (took_us - self.latency_ewma_us),
            None => took_us,
        };
        self.sample_slowness(slowness, now);
        self.answered_at = Some(now);
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
    }

    /// Records that a call had not been answered after `slowness` times the usual time.
    ///
    /// Without it a straggler whose calls are all overtaken by hedges never
    /// shows how slow it is: none of its answers is waited for.
    pub(crate) fn took_at_least(&mut self, slowness: f64, now: Instant) {
        if slowness > self.slowness_at(now).max(1.0) {
            self.sample_slowness(slowness, now);
        }
    }

    /// A refusal neither adds to the failures in a row nor ends them: counted
    /// as failures, the refusals of a busy moment would eject every upstream
    /// at once and turn a full service into one that is down.
    pub(crate) fn refused(&mut self, now: Instant) {
        self.refused_until = Some(now + REFUSED_FOR);
    }

    pub(crate) fn failed(&mut self, may_eject: bool, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        let failed_trial = self.ejected_until.is_some_and(|until| until <= now);
        if may_eject && (failed_trial || self.failures >= EJECT_AFTER_FAILURES) {
            let doubled = EJECT_FOR * 2u32.saturating_pow(self.ejections.min(8));
            self.ejected_until = Some(now + doubled.min(EJECT_FOR_MOST));
            self.ejections += 1;
            self.failures = 0;
        }
    }
}
