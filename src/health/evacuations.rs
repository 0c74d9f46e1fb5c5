//! Evacuated data centres, as the balancer is told of them.

use std::{collections::BTreeSet, rc::Rc};

use crate::store::StoreVersion;

/// The end of the evacuation of a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reversal {
    /// Name of the data centre.
    pub data_centre: Rc<str>,
    /// Version of the store at which the evacuation ended; `None` if it is not known.
    pub version: Option<StoreVersion>,
}

/// The evacuated data centres after a change.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Data centres whose targets receive nothing.
    pub in_force: BTreeSet<Rc<str>>,
    /// Data centres whose evacuation ended since the last change.
    pub reverted: Vec<Reversal>,
}
