//! Exclusion of the targets in evacuated data centres.

use crate::clock::BootTime;

use super::{super::Evacuations, Balancer};

impl Balancer {
    /// Excludes the targets in evacuated data centres from all requests and probes, and lets those
    /// in data centres whose evacuation ended ramp up. Requests in flight are not affected.
    pub fn set_evacuations(&mut self, evacuations: &Evacuations, now: BootTime) {
        self.evacuated.clone_from(&evacuations.in_force);
        for target in self.targets.values_mut() {
            target
                .evacuated
                .set(self.evacuated.contains(&target.data_centre));
        }
        for reversal in &evacuations.reverted {
            let in_force = self.evacuated.contains(&reversal.data_centre);
            let targets = self.targets.values_mut();
            let returned = targets.filter(|t| !in_force && t.data_centre == reversal.data_centre);
            returned.for_each(|target| target.ramp_from = Some(now));
        }
        for service in self.services.values_mut() {
            service.built_at = None;
        }
    }

    /// Returns the number of targets in evacuated data centres.
    pub fn evacuated_targets(&self) -> usize {
        let targets = self.targets.values();
        targets.filter(|t| t.evacuated.get()).count()
    }
}
