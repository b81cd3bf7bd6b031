//! Timeouts that tolerate a stalled event loop.

use std::future::Future;
use std::pin::pin;
use std::time::{Duration, Instant};

/// Longest delay of a timer in an event loop that did not stall; timers have a resolution of 1 ms.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(2);

/// Time for one more turn of the event loop.
const TURN_TIMEOUT: Duration = Duration::from_millis(1);

/// The timeout passed before the future was ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// Waits for `future`, at most for `time`.
///
/// While the event loop stalls, the timer runs out although the input may have arrived: sockets are
/// polled before timers run, but not between a stall in the midst of a turn and the timers of that
/// turn. A timer that is late therefore gives the loop one more turn.
///
/// # Errors
///
/// Returns [`Elapsed`] when the future was not ready in time.
pub async fn timeout<F: Future>(time: Duration, future: F) -> Result<F::Output, Elapsed> {
    let started_at = Instant::now();
    let mut future = pin!(future);
    match monoio::time::timeout(time, &mut future).await {
        Ok(output) => Ok(output),
        Err(_) if started_at.elapsed() < time.saturating_add(MAX_TIMER_DELAY) => Err(Elapsed),
        Err(_) => monoio::time::timeout(TURN_TIMEOUT, future).await.map_err(|_| Elapsed),
    }
}

#[cfg(test)]
mod tests;
