//! The row that says who owns a slice.

use serde::{Deserialize, Serialize};

use super::{portion::join, retained_portions, transferable_portions, Portion, SessionId};

/// What a former owner may still use.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RetainedShare {
    /// The former owner.
    pub session: SessionId,
    /// What it kept.
    pub portions: Vec<Portion>,
}

/// The row that says who owns a slice.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SliceRow {
    /// The owner.
    pub owner: SessionId,
    /// Count of changes of the owner; 1 at the first.
    pub epoch: u64,
    /// What the owner may use in the short term.
    pub portions: Vec<Portion>,
    /// What former owners may still use.
    pub residues: Vec<RetainedShare>,
}

impl SliceRow {
    /// Returns the row of a slice that never had an owner.
    pub fn initial(owner: SessionId) -> Self {
        Self {
            owner,
            epoch: 1,
            portions: vec![Portion::WHOLE],
            residues: Vec::new(),
        }
    }

    /// Returns the row after `taker` takes over from an owner whose short term is over.
    ///
    /// The owner keeps its fraction until its long term is over or it releases the session.
    pub fn take_over(&self, taker: SessionId) -> Self {
        let mut residues = self.residues.clone();
        let kept = retained_portions(&self.portions);
        if !kept.is_empty() {
            residues.push(RetainedShare {
                session: self.owner.clone(),
                portions: kept,
            });
        }
        Self {
            owner: taker,
            epoch: self.epoch + 1,
            portions: transferable_portions(&self.portions),
            residues,
        }
    }

    /// Returns the row after the owner released all that it had to `successor`.
    pub fn hand_over(&self, successor: SessionId) -> Self {
        Self {
            owner: successor,
            epoch: self.epoch + 1,
            ..self.clone()
        }
    }

    /// Returns the row after the owner took back what `former` had kept.
    pub fn reclaim(&self, former: &SessionId) -> Self {
        let mut row = self.clone();
        row.residues.retain(|r| r.session != *former);
        for residue in self.residues.iter().filter(|r| r.session == *former) {
            row.portions = join(&row.portions, &residue.portions);
        }
        row
    }
}
