//! The row that records the owner of a slice.

use serde::{Deserialize, Serialize};

use super::{portion::merge, retained_portions, transferable_portions, Portion, SessionId};

/// The portions that a former owner may still use.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RetainedShare {
    /// The former owner.
    pub session: SessionId,
    /// The portions that it retained.
    pub portions: Vec<Portion>,
}

/// The row that records the owner of a slice.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SliceRow {
    /// Session that owns the slice.
    pub owner: SessionId,
    /// Number of changes of the owner; 1 for the first owner.
    pub epoch: u64,
    /// Portions that the owner may use within its short term.
    pub portions: Vec<Portion>,
    /// Portions that former owners may still use.
    pub residues: Vec<RetainedShare>,
}

impl SliceRow {
    /// Returns the row for the first owner of a slice.
    pub fn initial(owner: SessionId) -> Self {
        Self {
            owner,
            epoch: 1,
            portions: vec![Portion::WHOLE],
            residues: Vec::new(),
        }
    }

    /// Returns the row after `successor` takes over from an owner whose short term is over.
    ///
    /// The former owner retains its fraction until its long term is over or its session is
    /// released.
    pub fn take_over(&self, successor: SessionId) -> Self {
        let mut residues = self.residues.clone();
        let retained = retained_portions(&self.portions);
        if !retained.is_empty() {
            residues.push(RetainedShare {
                session: self.owner.clone(),
                portions: retained,
            });
        }
        Self {
            owner: successor,
            epoch: self.epoch + 1,
            portions: transferable_portions(&self.portions),
            residues,
        }
    }

    /// Returns the row after the owner released all of its portions to `successor`.
    pub fn hand_over(&self, successor: SessionId) -> Self {
        Self {
            owner: successor,
            epoch: self.epoch + 1,
            ..self.clone()
        }
    }

    /// Returns the row after the owner reclaimed the portions that `former` had retained.
    pub fn reclaim(&self, former: &SessionId) -> Self {
        let mut row = self.clone();
        row.residues.retain(|r| r.session != *former);
        for residue in self.residues.iter().filter(|r| r.session == *former) {
            row.portions = merge(&row.portions, &residue.portions);
        }
        row
    }
}
