//! Availability zones whose upstreams are to get nothing, by an operator's word.

use std::collections::BTreeSet;
use std::time::Instant;

use smol_str::SmolStr;

use crate::roster::KEEP_AFTER_OUTAGE;

/// Name of an availability zone.
pub type Zone = SmolStr;

/// The evacuated zones.
///
/// A store that comes back from an older copy may list an evacuation that was taken back since, or lack
/// one that was begun: until its writer has had the time to write again, what this node knew stands.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: BTreeSet<Zone>,
    /// Zones that were evacuated once, and are not any more.
    taken_back: BTreeSet<Zone>,
    /// What the store listed when it was back from an older copy, and from when on that counts.
    doubted: Option<(BTreeSet<Zone>, Instant)>,
}

impl Evacuations {
    /// Returns the evacuated zones.
    pub fn zones(&self) -> &BTreeSet<Zone> {
        &self.zones
    }

    /// Returns true while the upstreams of a zone are to get nothing.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Takes one change: the zone is evacuated from now on, or no longer.
    pub fn set(&mut self, zone: Zone, is_evacuated: bool) {
        match is_evacuated {
            true => self.taken_back.remove(&zone),
            false => self.taken_back.insert(zone.clone()),
        };
        let doubted = self.doubted.iter_mut().map(|(zones, _)| zones);
        for zones in doubted.chain([&mut self.zones]) {
            match is_evacuated {
                true => zones.insert(zone.clone()),
                false => zones.remove(&zone),
            };
        }
    }

    /// Takes all zones that the store lists.
    pub fn whole(&mut self, listed: BTreeSet<Zone>) {
        match &mut self.doubted {
            Some((doubted, _)) => {
                // One that this node has not seen taken back cannot be an older one.
                self.zones.extend(listed.difference(&self.taken_back).cloned());
                *doubted = listed;
            }
            None => self.list(listed),
        }
    }

    fn list(&mut self, zones: BTreeSet<Zone>) {
        self.taken_back.extend(self.zones.difference(&zones).cloned());
        self.taken_back.retain(|zone| !zones.contains(zone));
        self.zones = zones;
    }

    /// Takes the zones as another node holds them: that node has decided what counts.
    pub fn adopt(&mut self, zones: BTreeSet<Zone>) {
        self.doubted = None;
        self.list(zones);
    }

    /// Records that the store is back from an older copy; what it lists is taken by
    /// [`Evacuations::whole`] and [`Evacuations::set`].
    pub fn store_went_back(&mut self, now: Instant) {
        self.doubted = Some((self.zones.clone(), now + KEEP_AFTER_OUTAGE));
    }

    /// Returns true once [`Evacuations::expire`] has something to do.
    pub fn is_due(&self, now: Instant) -> bool {
        self.doubted.as_ref().is_some_and(|(_, counts_at)| *counts_at <= now)
    }

    /// Has what the store lists count once its writers have had the time to write again.
    pub fn expire(&mut self, now: Instant) {
        if let Some((zones, _)) = self.doubted.take_if(|(_, counts_at)| *counts_at <= now) {
            self.list(zones);
        }
    }
}

#[cfg(test)]
mod tests;
