//! The decision whether to apply offered edits.

/// What to do with offered edits or with an offered snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// Ignore them, as they lead to no higher revision.
    Ignore,
    /// Apply the edits from this revision on.
    ApplyFrom(u64),
    /// Fetch the edits after this revision first, as there is a gap before the offered ones.
    FetchAfter(u64),
}

/// Decides what to do with offered edits that lead to the revisions `first..=last`.
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
