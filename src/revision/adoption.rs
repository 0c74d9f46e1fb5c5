//! What becomes of offered edits.

/// What becomes of offered edits or of an offered snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// They lead nowhere higher.
    Ignore,
    /// They are applied from this revision on.
    ApplyFrom(u64),
    /// Edits behind this revision are missing before them.
    FetchAfter(u64),
}

/// Decides on offered edits that lead to the revisions `first..=last`.
///
/// A daemon that holds nothing applies no edit, since it would serve an incomplete state.
pub fn decide_adoption(held: Option<u64>, first: u64, last: u64) -> Adoption {
    let Some(held) = held else {
        return Adoption::FetchAfter(0);
    };
    if last <= held {
        return Adoption::Ignore;
    }
    if first > held + 1 {
        return Adoption::FetchAfter(held);
    }
    Adoption::ApplyFrom(held + 1)
}
