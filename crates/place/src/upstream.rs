//! One upstream as one entry node sees it, and how long a request would take there.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::health::{Health, Standing};
use crate::warm_up::Turn;
use crate::Incarnation;

/// Time in which a report loses most of its worth. Machines that change speed
/// every 300 ms were seen; a report of that age says little.
const REPORT_FADES_IN: Duration = Duration::from_millis(300);

/// Time in which what a report says of running and waiting requests loses most
/// of its worth. Queues change with the work that ends, slower than machines.
const OCCUPANCY_FADES_IN: Duration = Duration::from_secs(1);

/// Share of its slots from which on an upstream counts as nearly full.
const NEARLY_FULL: f64 = 0.8;

/// How much longer work takes at an upstream that is nearly full.
const NEARLY_FULL_SLOWNESS: f64 = 1.5;

/// How much longer work takes at an upstream that started a moment ago.
const COLD_SLOWNESS: f64 = 2.0;

/// Longest delay beyond its own report that an upstream is held to have, as a factor.
const MAX_DRAG: f64 = 10.0;

/// Weight of the newest answer in an upstream's drag.
const DRAG_WEIGHT: f64 = 0.4;

/// Drag halves in this time: an upstream that was slow gets requests again.
const DRAG_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Ratio of a request's time to its work from which on it speaks for drag;
/// below, it is the ordinary spread of the work.
const DRAG_FROM: f64 = 1.8;

/// What an upstream says of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests it works on.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests it can work on at once.
    pub slots: u32,
    /// How long work takes on its machine now, as a factor of the usual.
    pub slowness: f64,
}

impl Load {
    /// Returns true when the machine works at its usual speed.
    pub fn is_not_slowed(&self) -> bool {
        self.slowness <= NOT_SLOWED
    }

    /// Returns true when a further request would not wait.
    pub fn has_room(&self) -> bool {
        self.waiting == 0 && self.running < self.slots
    }

    /// Returns the requests running and waiting, per slot.
    pub fn fullness(&self) -> f64 {
        f64::from(self.running + self.waiting) / f64::from(self.slots.max(1))
    }
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Which start of which upstream it is.
    pub incarnation: Incarnation,
    /// Address.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Requests it can work on at once.
    pub slots: u32,
    /// Requests of this node that are not answered yet.
    pub outstanding: u32,
    /// Its record of answers.
    pub(crate) health: Health,
    pub(crate) cold_until: Option<Instant>,
    /// Until when it may be cold although it has not said so.
    pub(crate) doubted_until: Option<Instant>,
    /// The last turn that this node used while it was cold.
    pub(crate) turn_used: Option<Turn>,
    report: Option<(Load, Instant)>,
    /// Requests sent less those ended since the report.
    since_report: i64,
    drag: f64,
    drag_at: Option<Instant>,
}

/// What upstreams of a service are like, as far as one is not known better.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usual {
    /// How long work takes, as a factor of what it takes on a machine of its own.
    pub slowness: f64,
    /// Requests running and waiting, per slot.
    pub fullness: f64,
}

/// Slowness up to which a machine counts as not slowed.
const NOT_SLOWED: f64 = 1.1;

/// How long a request would take at an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Time until its answer.
    pub took: Duration,
    /// Part of it before a slot is free.
    pub wait: Duration,
    /// Share of the slots in use, with this request; over 1 when it waits.
    pub fullness: f64,
    /// Whether work takes longer there because of what else the upstream works on.
    pub crowded: bool,
}

impl Upstream {
    /// Creates an upstream of which nothing is known but its entry in the list.
    pub fn new(incarnation: Incarnation, addr: SocketAddr, zone: SmolStr, slots: u32) -> Upstream {
        Upstream {
            incarnation,
            addr,
            zone,
            slots: slots.max(1),
            outstanding: 0,
            health: Health::default(),
            cold_until: None,
            doubted_until: None,
            turn_used: None,
            report: None,
            since_report: 0,
            drag: 1.0,
            drag_at: None,
        }
    }

    /// Takes its own report.
    pub fn take_report(&mut self, load: Load, now: Instant) {
        self.slots = load.slots.max(1);
        self.report = Some((load, now));
        self.since_report = 0;
    }

    /// Returns true while failures keep requests from it, but for trials.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.health.standing(now) != Standing::Good
    }

    /// Returns true while it is cold, or may be.
    pub(crate) fn may_be_cold(&self, now: Instant) -> bool {
        let until = self.cold_until.max(self.doubted_until);
        until.is_some_and(|until| until > now)
    }

    /// Takes its word that it is cold for so long, or not at all.
    pub(crate) fn take_cold(&mut self, cold_for: Option<Duration>, now: Instant) {
        self.cold_until = cold_for.map(|cold_for| now + cold_for);
        self.doubted_until = None;
    }

    /// Returns its newest report and the report's age.
    pub fn report(&self, now: Instant) -> Option<(Load, Duration)> {
        self.report.map(|(load, at)| (load, now.saturating_duration_since(at)))
    }

    pub(crate) fn sent(&mut self) {
        self.outstanding += 1;
        self.since_report += 1;
    }

    pub(crate) fn ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.since_report -= 1;
    }

    fn drag(&self, now: Instant) -> f64 {
        match self.drag_at {
            Some(at) => {
                let age = now.saturating_duration_since(at).as_secs_f64();
                1.0 + (self.drag - 1.0) * 0.5f64.powf(age / DRAG_HALF_LIFE.as_secs_f64())
            }
            None => 1.0,
        }
    }

    /// Records that a request took `ratio` times as long as predicted.
    ///
    /// An upstream can be slow for reasons that its report does not show; it
    /// shows as requests that end late although the report was good.
    pub(crate) fn took_ratio(&mut self, ratio: f64, now: Instant) {
        let drag = self.drag(now);
        let seen = if ratio >= DRAG_FROM { ratio.min(MAX_DRAG) } else { 1.0 };
        self.drag = drag + DRAG_WEIGHT * (seen - drag);
        self.drag_at = Some(now);
    }

    /// Predicts a request of `work`, where upstreams of the service are `usual` ones.
    ///
    /// An upstream that has said nothing lately is taken to be as full as the others. Taken for
    /// empty, it would look best whenever all others are full: each request of a burst would
    /// open a connection to yet another upstream, which is full too.
    pub fn predict(&self, work: Duration, usual: Usual, now: Instant) -> Prediction {
        let slots = f64::from(self.slots);
        let usually_occupied = usual.fullness * slots;
        let (slowness, occupied) = match self.report(now) {
            Some((load, age)) => {
                let fading =
                    |fades_in: Duration| (-age.as_secs_f64() / fades_in.as_secs_f64()).exp();
                let trust = fading(REPORT_FADES_IN);
                let slowness = trust * load.slowness + (1.0 - trust) * usual.slowness;
                let kept = fading(OCCUPANCY_FADES_IN);
                let reported = (i64::from(load.running + load.waiting) + self.since_report) as f64;
                (slowness, kept * reported + (1.0 - kept) * usually_occupied)
            }
            None => (usual.slowness, usually_occupied + f64::from(self.outstanding)),
        };
        let occupied = occupied.max(f64::from(self.outstanding));
        let fullness = (occupied + 1.0) / slots;
        let mut factor = slowness * self.drag(now);
        // One slot is always used alone.
        let crowded = fullness > NEARLY_FULL && self.slots > 1;
        if crowded {
            factor *= NEARLY_FULL_SLOWNESS;
        }
        if self.cold_until.is_some_and(|until| until > now) {
            factor *= COLD_SLOWNESS;
        }
        let own = work.mul_f64(factor);
        let ahead = (occupied + 1.0 - slots).max(0.0) / slots;
        let wait = own.mul_f64(ahead);
        Prediction { took: own + wait, wait, fullness, crowded }
    }
}
