//! Compression of table changes, optionally against a row that the receiver holds.

use std::io::{self, Read, Write};

use zstd::stream::{read::Decoder, write::Encoder};

use super::TableDelta;

/// Compression level.
const LEVEL: i32 = 3;
/// Largest window in which repetitions are found, as a power of two; decoders accept up to 27.
const MAX_WINDOW_LOG: u32 = 27;
/// Size of delta and base above which the compressor's default window does not span both, in bytes.
const DEFAULT_WINDOW_BYTES: usize = 1 << 20;
/// Maximum size of a decompressed delta in bytes.
const MAX_DELTA_BYTES: u64 = 64 << 20;

/// Compresses `delta` as a patch of `base`, which may be empty.
///
/// # Errors
///
/// Returns an error if the delta cannot be serialized or compressed.
pub fn encode_delta(delta: &TableDelta, base: &[u8]) -> io::Result<Vec<u8>> {
    let plain = rmp_serde::to_vec(delta).map_err(io::Error::other)?;
    let mut encoder = Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    encoder.set_pledged_src_size(Some(plain.len() as u64))?;
    let span = plain.len() + base.len();
    if span > DEFAULT_WINDOW_BYTES {
        encoder.window_log((usize::BITS - span.leading_zeros()).min(MAX_WINDOW_LOG))?;
        encoder.long_distance_matching(true)?;
    }
    encoder.write_all(&plain)?;
    encoder.finish()
}

/// Reverses [`encode_delta`] with the same `base`.
///
/// # Errors
///
/// Returns an error if the bytes are malformed, too large or of another base.
pub fn decode_delta(compressed: &[u8], base: &[u8]) -> io::Result<TableDelta> {
    let mut plain = Vec::new();
    let decoder = Decoder::with_ref_prefix(compressed, base)?;
    decoder.take(MAX_DELTA_BYTES + 1).read_to_end(&mut plain)?;
    if plain.len() as u64 > MAX_DELTA_BYTES {
        return Err(io::Error::other("delta too large"));
    }
    rmp_serde::from_slice(&plain).map_err(io::Error::other)
}
