//! Parts of a slice.

use serde::{Deserialize, Serialize};

/// Parts in a whole slice.
pub const PARTS_PER_SLICE: u32 = 1 << 20;
/// Numerator of the fraction that an owner keeps past the short term.
const KEEP_NUMERATOR: u64 = 3;
/// Denominator of the fraction that an owner keeps past the short term.
const KEEP_DENOMINATOR: u64 = 4;

/// A range of a slice, from `from` up to but without `to`, in [`PARTS_PER_SLICE`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Portion {
    /// First part.
    pub from: u32,
    /// The part behind the last one.
    pub to: u32,
}

impl Portion {
    /// The whole slice.
    pub const WHOLE: Self = Self {
        from: 0,
        to: PARTS_PER_SLICE,
    };

    /// Returns the part that splits this portion into the kept and the free range.
    fn split(self) -> u32 {
        let kept = u64::from(self.to - self.from) * KEEP_NUMERATOR / KEEP_DENOMINATOR;
        self.from + kept as u32
    }

    fn is_empty(&self) -> bool {
        self.from >= self.to
    }
}

/// Returns what an owner of `portions` may use past the short term.
pub fn retained_portions(portions: &[Portion]) -> Vec<Portion> {
    let kept = portions.iter().map(|p| Portion {
        from: p.from,
        to: p.split(),
    });
    kept.filter(|p| !p.is_empty()).collect()
}

/// Returns what another host may use of `portions` while their owner uses what it keeps.
pub fn transferable_portions(portions: &[Portion]) -> Vec<Portion> {
    let rest = portions.iter().map(|p| Portion {
        from: p.split(),
        to: p.to,
    });
    rest.filter(|p| !p.is_empty()).collect()
}

/// Joins two lists of portions; adjacent ones become one.
pub(super) fn join(a: &[Portion], b: &[Portion]) -> Vec<Portion> {
    let mut all = [a, b].concat();
    all.sort();
    let mut joined: Vec<Portion> = Vec::new();
    for p in all {
        match joined.last_mut() {
            Some(last) if last.to == p.from => last.to = p.to,
            _ => joined.push(p),
        }
    }
    joined
}
