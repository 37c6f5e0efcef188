//! Parts of a slot's record that are written once and never changed.
//!
//! A value of the key-value service holds a megabyte. The head of a slot's
//! record is the only part that is compared and swapped; it holds the rows
//! that may still change, and names the segments. A segment is written under a
//! name that is never used again, and counts only once a head names it, so a
//! segment write of a dead owner that comes late has no effect.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::claims::{ClaimRow, ClaimState};

/// Bytes that a row takes besides its texts, as its record is written.
const ROW_OVERHEAD: usize = 256;
/// Bytes of the texts of a row that escapes may multiply.
const ESCAPE_FACTOR: usize = 2;

/// Holds settled rows of a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotSegment {
    /// Name within the slot, unique over all owners.
    pub name: SmolStr,
    pub rows: BTreeMap<SmolStr, ClaimRow>,
}

/// Bounds the values of a slot's record, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotLimits {
    /// Largest sum of the rows of the head or of one segment.
    pub value_bytes: usize,
    /// Sum of the settled rows of the head from which they move to a segment.
    pub seal_bytes: usize,
}

impl Default for SlotLimits {
    /// Leaves room for the names of segments below the service's megabyte.
    fn default() -> Self {
        Self { value_bytes: 640 << 10, seal_bytes: 128 << 10 }
    }
}

/// Returns the largest size that a row takes in a record, in bytes.
pub fn row_bytes(path: &str, row: &ClaimRow) -> usize {
    let texts = path.len() + row.claim.len() + row.holder.len();
    let answer = match &row.state {
        // Base64 makes four bytes of three.
        ClaimState::Done(kept) => {
            kept.content_type.len() * ESCAPE_FACTOR + kept.body.len().div_ceil(3) * 4
        }
        ClaimState::Running | ClaimState::Executed | ClaimState::Lost | ClaimState::Released => 0,
    };
    ROW_OVERHEAD + texts * ESCAPE_FACTOR + answer
}
