//! Portions of a slice.

use serde::{Deserialize, Serialize};

/// Number of parts in a whole slice, the unit of portions.
pub const PARTS_PER_SLICE: u32 = 1 << 20;
/// Numerator of the fraction that an owner retains past the short term.
const RETAINED_NUMERATOR: u64 = 3;
/// Denominator of the fraction that an owner retains past the short term.
const RETAINED_DENOMINATOR: u64 = 4;

/// A half-open range `from..to` of a slice, in parts; a whole slice has [`PARTS_PER_SLICE`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Portion {
    /// First part of the range.
    pub from: u32,
    /// End of the range, exclusive.
    pub to: u32,
}

impl Portion {
    /// The whole slice.
    pub const WHOLE: Self = Self {
        from: 0,
        to: PARTS_PER_SLICE,
    };

    /// Returns the boundary between the retained and the transferable range of this portion.
    fn boundary(self) -> u32 {
        let retained = u64::from(self.to - self.from) * RETAINED_NUMERATOR / RETAINED_DENOMINATOR;
        self.from + retained as u32
    }

    fn is_empty(&self) -> bool {
        self.from >= self.to
    }
}

/// Returns the portions that an owner of `portions` may still use past its short term.
pub fn retained_portions(portions: &[Portion]) -> Vec<Portion> {
    let retained = portions.iter().map(|p| Portion {
        from: p.from,
        to: p.boundary(),
    });
    retained.filter(|p| !p.is_empty()).collect()
}

/// Returns the portions that another host may use while the owner of `portions` uses the retained
/// ones.
pub fn transferable_portions(portions: &[Portion]) -> Vec<Portion> {
    let transferable = portions.iter().map(|p| Portion {
        from: p.boundary(),
        to: p.to,
    });
    transferable.filter(|p| !p.is_empty()).collect()
}

/// Merges two lists of portions, joining adjacent ones.
pub(super) fn merge(a: &[Portion], b: &[Portion]) -> Vec<Portion> {
    let mut all = [a, b].concat();
    all.sort();
    let mut merged: Vec<Portion> = Vec::new();
    for p in all {
        match merged.last_mut() {
            Some(last) if last.to == p.from => last.to = p.to,
            _ => merged.push(p),
        }
    }
    merged
}
