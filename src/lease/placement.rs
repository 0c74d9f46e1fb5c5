//! Placement of slices on hosts.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::SliceId;

/// A host that may own slices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of the host.
    pub host: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
}

/// Ranks hosts for a slice by rendezvous hashing, the preferred one first.
///
/// The slices of one partition prefer the data centres in turn, so two of them prefer the same one
/// only if there are more slices than data centres.
pub fn rank_hosts<'a>(slice: SliceId, candidates: &[Candidate<'a>]) -> Vec<Candidate<'a>> {
    let centre = preferred_data_centre(slice, candidates);
    let mut ranked = candidates.to_vec();
    ranked.sort_by_key(|c| Reverse(score(slice, centre, c)));
    ranked
}

/// Returns the preferred host for a slice.
pub fn preferred_host<'a>(slice: SliceId, candidates: &[Candidate<'a>]) -> Option<Candidate<'a>> {
    let centre = preferred_data_centre(slice, candidates);
    candidates
        .iter()
        .max_by_key(|c| score(slice, centre, c))
        .copied()
}

fn score(slice: SliceId, centre: Option<&str>, c: &Candidate<'_>) -> (bool, u64) {
    let seed = u64::from(slice.partition) << 8 | u64::from(slice.index);
    let hash = xxh3_64_with_seed(c.host.as_bytes(), seed);
    (centre == Some(c.data_centre), hash)
}

fn preferred_data_centre<'a>(slice: SliceId, candidates: &[Candidate<'a>]) -> Option<&'a str> {
    let mut centres: Vec<&str> = candidates.iter().map(|c| c.data_centre).collect();
    centres.sort_unstable();
    centres.dedup();
    let seed = u64::from(slice.partition);
    centres.sort_by_key(|c| xxh3_64_with_seed(c.as_bytes(), seed));
    let i = usize::from(slice.index).checked_rem(centres.len())?;
    centres.get(i).copied()
}
