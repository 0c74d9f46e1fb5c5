//! Exclusion of the targets in evacuated data centres.

use crate::clock::BootTime;

use super::{
    super::{Evacuations, TargetId},
    Balancer,
};

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
            let name = reversal.data_centre.clone();
            let targets = self.targets.values();
            let returned = targets.filter(|t| !in_force && t.data_centre == name);
            let returned: Vec<TargetId> = returned.map(|t| t.id).collect();
            for id in returned {
                self.record_return(id, reversal.version, now);
            }
            self.returned.insert(name, (reversal.version, now));
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
