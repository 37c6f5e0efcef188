//! Limits the bytes that spilled requests send over the links between regions.
//!
//! Each daemon has a share of a link's rate. A prompt is charged when it is sent and a
//! response token by token, so the level may become negative. The link is then closed to
//! new requests until the level is positive again. The long-run volume thus stays within
//! the rate, whatever the length of the responses is.

use std::time::Duration;

use smol_str::SmolStr;

use crate::{bucket::TokenBucket, time::Timestamp};

/// Burst that a link may save up, as time at its rate.
const SPILL_BURST: Duration = Duration::from_secs(2);
/// Maximum number of links; further links are closed.
pub const LINK_LIMIT: usize = 64;

/// States over which link a backend server is reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkUse {
    /// The server is reached without a link between regions.
    #[default]
    Local,
    /// A link, by its index in the [`SpillTable`].
    Metered(u8),
    /// There is no link, or one over which no requests may be spilled.
    Closed,
}

/// Holds which links accept requests now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenLinks(u64);

impl OpenLinks {
    /// Tells whether a link may be used.
    pub fn allows(self, link: LinkUse) -> bool {
        match link {
            LinkUse::Local => true,
            LinkUse::Metered(index) => self.0 >> index & 1 == 1,
            LinkUse::Closed => false,
        }
    }
}

/// Holds this daemon's share of each link.
#[derive(Clone, Debug, Default)]
pub struct SpillTable {
    links: Vec<SpillLink>,
}

#[derive(Clone, Debug)]
struct SpillLink {
    name: SmolStr,
    bucket: TokenBucket,
    volume: SpillVolume,
}

/// Counts the requests and bytes that were spilled over a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpillVolume {
    pub requests: u64,
    pub bytes: u64,
}

impl SpillTable {
    /// Sets the configured links, with this daemon's rate in bytes per second.
    ///
    /// A link that was configured before keeps its level and its counts.
    pub fn configure(&mut self, links: &[(SmolStr, f64)], now: Timestamp) {
        let mut known = std::mem::take(&mut self.links);
        for (name, rate) in links.iter().take(LINK_LIMIT) {
            let position = known.iter().position(|link| link.name == *name);
            let mut link = match position {
                Some(position) => known.swap_remove(position),
                None => SpillLink {
                    name: name.clone(),
                    bucket: TokenBucket::full(*rate, SPILL_BURST, now),
                    volume: SpillVolume::default(),
                },
            };
            link.bucket.set_rate(*rate, now);
            self.links.push(link);
        }
    }

    /// Returns the links whose level is positive.
    pub fn open_links(&mut self, now: Timestamp) -> OpenLinks {
        let mut open = 0;
        for (index, link) in self.links.iter_mut().enumerate() {
            open |= u64::from(link.bucket.is_available(now)) << index;
        }
        OpenLinks(open)
    }

    /// Counts a request that is sent over a link, and charges its bytes.
    pub fn record_request(&mut self, index: u8, bytes: u64, now: Timestamp) {
        if let Some(link) = self.links.get_mut(usize::from(index)) {
            link.volume.requests += 1;
        }
        self.charge(index, bytes, now);
    }

    /// Charges bytes to a link.
    pub fn charge(&mut self, index: u8, bytes: u64, now: Timestamp) {
        if let Some(link) = self.links.get_mut(usize::from(index)) {
            link.volume.bytes += bytes;
            link.bucket.charge(bytes as f64, now);
        }
    }

    /// Returns the name of a link.
    pub fn name(&self, index: u8) -> Option<&SmolStr> {
        self.links.get(usize::from(index)).map(|link| &link.name)
    }

    /// Returns the requests and bytes that were spilled over a link.
    pub fn volume(&self, index: u8) -> SpillVolume {
        self.links.get(usize::from(index)).map_or_else(SpillVolume::default, |link| link.volume)
    }
}
