//! Availability zones that an operator has evacuated.

use std::collections::BTreeSet;
use std::time::Instant;

use smol_str::SmolStr;

use crate::roster::UNLISTED_TTL_AFTER_OUTAGE;

/// Name of an availability zone.
pub type Zone = SmolStr;

/// The evacuated zones, whose upstreams get no requests.
///
/// A store that was restored from an older copy may list an evacuation that has been lifted since,
/// or lack one that was started. What this node knew stays in force until the writers have had time
/// to write again.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: BTreeSet<Zone>,
    /// Zones that were evacuated earlier and no longer are.
    restored: BTreeSet<Zone>,
    /// Zones listed by a store that was rolled back, and when that list comes into force.
    pending: Option<(BTreeSet<Zone>, Instant)>,
}

impl Evacuations {
    /// Returns the evacuated zones.
    pub fn zones(&self) -> &BTreeSet<Zone> {
        &self.zones
    }

    /// Returns true if the upstreams of `zone` must get no requests.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Applies one change read from the store: `zone` is evacuated, or no longer.
    pub fn set(&mut self, zone: Zone, is_evacuated: bool) {
        match is_evacuated {
            true => self.restored.remove(&zone),
            false => self.restored.insert(zone.clone()),
        };
        let pending = self.pending.iter_mut().map(|(zones, _)| zones);
        for zones in pending.chain([&mut self.zones]) {
            match is_evacuated {
                true => zones.insert(zone.clone()),
                false => zones.remove(&zone),
            };
        }
    }

    /// Applies the complete list of evacuated zones read from the store.
    pub fn apply_snapshot(&mut self, listed: BTreeSet<Zone>) {
        match &mut self.pending {
            Some((pending, _)) => {
                // A listed zone whose evacuation this node has not seen lifted cannot be out of
                // date.
                self.zones.extend(listed.difference(&self.restored).cloned());
                *pending = listed;
            }
            None => self.replace(listed),
        }
    }

    fn replace(&mut self, zones: BTreeSet<Zone>) {
        self.restored.extend(self.zones.difference(&zones).cloned());
        self.restored.retain(|zone| !zones.contains(zone));
        self.zones = zones;
    }

    /// Adopts the evacuated zones of another node, which has already decided what is in force.
    pub fn adopt_snapshot(&mut self, zones: BTreeSet<Zone>) {
        self.pending = None;
        self.replace(zones);
    }

    /// Records that the store was restored from an older copy. What it lists then is passed to
    /// [`Evacuations::apply_snapshot`] and [`Evacuations::set`].
    pub fn store_rolled_back(&mut self, now: Instant) {
        self.pending = Some((self.zones.clone(), now + UNLISTED_TTL_AFTER_OUTAGE));
    }

    /// Returns true if [`Evacuations::expire`] has something to do.
    pub fn is_due(&self, now: Instant) -> bool {
        self.pending.as_ref().is_some_and(|(_, effective_at)| *effective_at <= now)
    }

    /// Puts the list of a rolled-back store in force once its writers have had time to write again.
    pub fn expire(&mut self, now: Instant) {
        if let Some((zones, _)) = self.pending.take_if(|(_, effective_at)| *effective_at <= now) {
            self.replace(zones);
        }
    }
}

#[cfg(test)]
mod tests;
