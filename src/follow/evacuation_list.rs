//! The data centres that the operator evacuates.

use std::{collections::BTreeSet, rc::Rc};

use crate::store::StoreVersion;

/// A change of the evacuation of one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The data centre is evacuated.
    Started(Rc<str>),
    /// The evacuation of a data centre was reverted.
    Reverted {
        /// Name of the data centre.
        data_centre: Rc<str>,
        /// Version of the row's removal; `None` if only its absence was observed.
        version: Option<StoreVersion>,
    },
}

/// The data centres that the operator evacuates, updated from the rows of the store.
#[derive(Default)]
pub struct EvacuationList {
    in_force: BTreeSet<Rc<str>>,
}

impl EvacuationList {
    /// Returns the evacuated data centres.
    pub fn in_force(&self) -> &BTreeSet<Rc<str>> {
        &self.in_force
    }

    /// Replaces the list by the result of a full read; returns what changed.
    pub fn replace(&mut self, data_centres: BTreeSet<Rc<str>>) -> Vec<EvacuationChange> {
        let started = data_centres.difference(&self.in_force).cloned();
        let started = started.map(EvacuationChange::Started);
        let reverted = self.in_force.difference(&data_centres).cloned();
        let reverted = reverted.map(|data_centre| EvacuationChange::Reverted {
            data_centre,
            version: None,
        });
        let changes = started.chain(reverted).collect();
        self.in_force = data_centres;
        changes
    }

    /// Records the row that evacuates a data centre; returns the change, if it is one.
    pub fn start(&mut self, data_centre: &str) -> Option<EvacuationChange> {
        let name: Rc<str> = Rc::from(data_centre);
        let is_new = self.in_force.insert(name.clone());
        is_new.then_some(EvacuationChange::Started(name))
    }

    /// Records that the row of a data centre was removed at `version`. This is a change even if the
    /// row is not known here, as other daemons may have observed an evacuation that began and ended
    /// between two reads of this one.
    pub fn revert(&mut self, data_centre: &str, version: StoreVersion) -> EvacuationChange {
        self.in_force.remove(data_centre);
        EvacuationChange::Reverted {
            data_centre: Rc::from(data_centre),
            version: Some(version),
        }
    }
}
