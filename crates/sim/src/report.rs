//! Result of a run.

/// Counts of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests of callers, each counted once however often it was retried.
    pub requests: u32,
    /// Requests answered within their objective, counted from the first attempt.
    pub in_time: u32,
    /// Requests answered later, but before their deadline.
    pub late: u32,
    /// Requests that got no response before their deadline.
    pub unanswered: u32,
    /// Requests first sent during the burst.
    pub burst_requests: u32,
    /// Requests of the burst answered within their objective.
    pub burst_in_time: u32,
    /// Refusals by nodes and upstreams.
    pub refusals: u32,
    /// Requests that an upstream did not respond to because it was full.
    pub ignored: u32,
    /// Load probes sent to upstreams.
    pub probes: u32,
    /// KiB of requests and responses sent between zones.
    pub cross_zone_kib: f64,
}

impl Report {
    /// Returns the ratio of requests answered within their objective to all requests.
    pub fn in_time_ratio(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests.max(1))
    }

    /// Returns the same ratio for the requests of the burst.
    pub fn burst_in_time_ratio(&self) -> f64 {
        f64::from(self.burst_in_time) / f64::from(self.burst_requests.max(1))
    }

    /// Returns the ratio of requests answered before their deadline to all requests.
    pub fn served_ratio(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.requests.max(1))
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Report) {
        self.requests += other.requests;
        self.in_time += other.in_time;
        self.late += other.late;
        self.unanswered += other.unanswered;
        self.burst_requests += other.burst_requests;
        self.burst_in_time += other.burst_in_time;
        self.refusals += other.refusals;
        self.ignored += other.ignored;
        self.probes += other.probes;
        self.cross_zone_kib += other.cross_zone_kib;
    }
}
