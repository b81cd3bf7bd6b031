//! Watch notes: what each watcher last said of each upstream.
//!
//! Only bad news is repeated, and it lapses unless its watcher repeats it: a
//! watcher that dies with an upstream marked failing must not keep it out of
//! work for good. Healthy is what remains when nothing is said.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wire::{HealthReport, Verdict};

/// A note is repeated this many times within its time to live.
const REPEATS_PER_TTL: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Held {
    note: HealthReport,
    /// When it was heard, or for an own note last sent.
    at: Instant,
}

/// What came due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    /// An own note to be sent again.
    Repeat(HealthReport),
    /// Another's bad note was not repeated in time; given with verdict `Healthy`.
    Lapsed(HealthReport),
}

/// Notes by upstream and watcher.
#[derive(Default)]
pub(crate) struct Notes {
    held: BTreeMap<(SocketAddr, SocketAddr), Held>,
}

impl Notes {
    /// Records an own note and returns it numbered.
    ///
    /// Numbers start at the time of day, so that a restarted watcher's notes
    /// are newer than those of its former life; should the time of day have
    /// stepped back in between, peers ignore it until the old notes lapse.
    pub(crate) fn own(
        &mut self,
        upstream: SocketAddr,
        me: SocketAddr,
        verdict: Verdict,
        unix_ms: u64,
        now: Instant,
    ) -> HealthReport {
        let last = self.held.get(&(upstream, me)).map_or(0, |held| held.note.seq);
        let note = HealthReport { upstream, watcher: me, seq: unix_ms.max(last + 1), verdict };
        self.held.insert((upstream, me), Held { note, at: now });
        note
    }

    /// Takes another node's note; returns true when it is news.
    pub(crate) fn hear(&mut self, note: HealthReport, now: Instant) -> bool {
        let key = (note.upstream, note.watcher);
        match self.held.get(&key) {
            Some(held) if note.seq <= held.note.seq => false,
            _ => {
                self.held.insert(key, Held { note, at: now });
                true
            }
        }
    }

    /// Returns the notes that are bad news.
    pub(crate) fn bad(&self) -> Vec<HealthReport> {
        let notes = self.held.values().map(|held| held.note);
        notes.filter(|note| note.verdict != Verdict::Healthy).collect()
    }

    /// Renumbers own bad notes that are due for repetition and drops what lapsed.
    pub(crate) fn tick(&mut self, me: SocketAddr, now: Instant, ttl: Duration) -> Vec<Due> {
        let mut due = Vec::new();
        self.held.retain(|(_, watcher), held| {
            let age = now.duration_since(held.at);
            let bad = held.note.verdict != Verdict::Healthy;
            match *watcher == me {
                true if bad && age >= ttl / REPEATS_PER_TTL => {
                    held.note.seq += 1;
                    held.at = now;
                    due.push(Due::Repeat(held.note));
                    true
                }
                false if bad && age >= ttl => {
                    due.push(Due::Lapsed(HealthReport { verdict: Verdict::Healthy, ..held.note }));
                    false
                }
                // Good news is kept as long as an older bad note could still be on its way.
                _ => bad || age < ttl,
            }
        });
        due
    }
}
