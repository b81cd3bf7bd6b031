//! The budget of sending calls a second time.

/// Second sends allowed beyond the share, so that a quiet service may retry at all.
const BURST: f64 = 10.0;

/// A share of the calls, saved up to a burst.
///
/// What goes wrong without it: upstreams that are slow or full make every
/// call fail, every entry node sends every call again, and the second wave
/// keeps the upstreams full after the cause is gone. It shows as upstream
/// load at a multiple of the callers' rate.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
    most: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::with_burst(BURST)
    }
}

impl RetryBudget {
    /// Creates a budget that saves up `burst` second sends at most, and begins with them.
    pub fn with_burst(burst: f64) -> RetryBudget {
        RetryBudget { saved: burst, most: burst }
    }

    /// Changes how many second sends are saved up at most.
    pub fn set_burst(&mut self, burst: f64) {
        self.most = burst;
        self.saved = self.saved.min(burst);
    }

    /// Counts a call that was sent for the first time, of which `percent` percent may be sent again.
    pub fn first_send(&mut self, percent: u64) {
        self.saved = (self.saved + percent as f64 / 100.0).min(self.most);
    }

    /// Takes one second send out of the budget; returns false when none is left.
    pub fn second_send(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
