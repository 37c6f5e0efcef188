//! Segments of a slot's record, which are written once and never changed.
//!
//! A value of the key-value service holds at most one megabyte. Only the head of a slot's
//! record is changed by compare-and-swap. It holds the rows that may still change, and
//! lists the names of the segments. A segment is written under a name that is never used
//! again, and is ignored until a head lists it, so a late segment write of a dead owner
//! has no effect.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::claims::{ClaimRow, ClaimState};

/// Bytes of a recorded row besides its texts.
const ROW_OVERHEAD_BYTES: usize = 256;
/// Largest factor by which escaping lengthens a text.
const ESCAPE_FACTOR: usize = 2;

/// Holds settled rows of a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotSegment {
    /// Name within the slot, unique over all owners.
    pub name: SmolStr,
    pub rows: BTreeMap<SmolStr, ClaimRow>,
}

/// Limits the sizes of the values of a slot's record, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotLimits {
    /// Largest size of the rows of the head, or of one segment.
    pub value_bytes: usize,
    /// Size of the settled rows of the head from which they move to a segment.
    pub seal_bytes: usize,
}

impl Default for SlotLimits {
    /// Returns limits that leave space for the names of segments below one megabyte.
    fn default() -> Self {
        Self { value_bytes: 640 << 10, seal_bytes: 128 << 10 }
    }
}

/// Returns the largest size of a row in a record, in bytes.
pub fn row_bytes(path: &str, row: &ClaimRow) -> usize {
    let text_bytes = path.len() + row.claim.len() + row.holder.len();
    let response_bytes = match &row.state {
        // Base64 encodes three bytes as four.
        ClaimState::Done(response) => {
            response.content_type.len() * ESCAPE_FACTOR + response.body.len().div_ceil(3) * 4
        }
        ClaimState::Running | ClaimState::Executed | ClaimState::Lost | ClaimState::Released => 0,
    };
    ROW_OVERHEAD_BYTES + text_bytes * ESCAPE_FACTOR + response_bytes
}
