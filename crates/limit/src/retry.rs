//! Retry budget: limits how many calls are sent a second time.

/// Default burst: retries allowed beyond the ratio of first sends, so that a service with few
/// calls can retry.
const DEFAULT_BURST: f64 = 10.0;

/// A token bucket for retries: each first send adds a fraction of a token, each retry takes one.
///
/// Without a budget, upstreams that are slow or full make every call fail, every
/// entry node sends every call again, and the retries keep the upstreams full
/// after the cause is gone. The symptom is upstream load at a multiple of the
/// callers' rate.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    max_tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::with_burst(DEFAULT_BURST)
    }
}

impl RetryBudget {
    /// Creates a full budget that holds at most `burst` retries.
    pub fn with_burst(burst: f64) -> RetryBudget {
        RetryBudget { tokens: burst, max_tokens: burst }
    }

    /// Sets how many retries the budget holds at most; an excess is dropped.
    pub fn set_burst(&mut self, burst: f64) {
        self.max_tokens = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Records the first send of a call, which adds `percent` / 100 of a retry to the budget.
    pub fn deposit(&mut self, percent: u64) {
        self.tokens = (self.tokens + percent as f64 / 100.0).min(self.max_tokens);
    }

    /// Takes one retry from the budget; returns false if less than one is left.
    pub fn try_withdraw(&mut self) -> bool {
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
