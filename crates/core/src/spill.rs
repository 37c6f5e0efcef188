//! The volume that requests may carry over the links between regions.
//!
//! Each daemon has its share of a link's rate. A prompt is charged when it is
//! sent and an answer token by token, so the level may fall below zero; the
//! link then stays closed to new requests until the debt is paid. The long-run
//! volume thus keeps to the rate, whatever the length of the answers.

use std::time::Duration;

use smol_str::SmolStr;

use crate::{bucket::TokenBucket, time::Timestamp};

/// Time of its rate that a link may save up.
const SPILL_BURST: Duration = Duration::from_secs(2);
/// Links that can be told apart; others stay closed.
pub const LINK_LIMIT: usize = 64;

/// Says over what a backend server is reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkUse {
    /// No link between regions.
    #[default]
    Local,
    /// The link at a position of the [`SpillTable`].
    Metered(u8),
    /// No link, or one over which nothing may be spilled.
    Closed,
}

/// Tells over which links something may be sent now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenLinks(u64);

impl OpenLinks {
    /// Tells whether a way may be used.
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

/// Counts what was spilled over a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpillVolume {
    pub requests: u64,
    pub bytes: u64,
}

impl SpillTable {
    /// Sets the links in force, with this daemon's rate in bytes a second.
    ///
    /// A link that stays keeps its level and its counts.
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

    /// Returns the links that aren't in debt.
    pub fn open_links(&mut self, now: Timestamp) -> OpenLinks {
        let mut open = 0;
        for (index, link) in self.links.iter_mut().enumerate() {
            open |= u64::from(link.bucket.is_available(now)) << index;
        }
        OpenLinks(open)
    }

    /// Counts a request that is sent over a link.
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

    /// Returns what was spilled over a link.
    pub fn volume(&self, index: u8) -> SpillVolume {
        self.links.get(usize::from(index)).map_or_else(SpillVolume::default, |link| link.volume)
    }
}
