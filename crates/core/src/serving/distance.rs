//! How far failure domains are from each other, and what that costs in time.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::serving::configuration::EngineSpec;

/// One-way delay to the failure domains of the region, in milliseconds; the
/// deployments state 0.5 to 1.4.
const REGION_DELAY_MS: f64 = 1.0;
/// One-way delay to other regions, in milliseconds; the deployments state 8.
const FAR_DELAY_MS: f64 = 8.0;
/// Factors on the time of a KV cache transfer, as engines state them.
const REGION_TRANSFER: f64 = 2.0;
const FAR_TRANSFER: f64 = 10.0;

/// Where a failure domain lies, seen from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DomainDistance {
    Same,
    SameRegion,
    OtherRegion,
}

/// The regions of the failure domains.
#[derive(Clone, Debug, Default)]
pub struct DomainMap {
    regions: HashMap<SmolStr, SmolStr>,
}

impl DomainMap {
    /// Makes a map from failure domains to their regions.
    pub fn new(regions: HashMap<SmolStr, SmolStr>) -> Self {
        Self { regions }
    }

    /// Returns how far two failure domains are apart.
    pub fn distance(&self, one: &SmolStr, other: &SmolStr) -> DomainDistance {
        if one == other {
            return DomainDistance::Same;
        }
        match (self.regions.get(one), self.regions.get(other)) {
            (Some(one), Some(other)) if one == other => DomainDistance::SameRegion,
            _ => DomainDistance::OtherRegion,
        }
    }

    /// Returns the one-way delay between two failure domains.
    pub fn delay_ms(&self, one: &SmolStr, other: &SmolStr) -> f64 {
        match self.distance(one, other) {
            DomainDistance::Same => 0.1,
            DomainDistance::SameRegion => REGION_DELAY_MS,
            DomainDistance::OtherRegion => FAR_DELAY_MS,
        }
    }
}

/// Returns the milliseconds in which the KV cache of some tokens gets from one
/// engine to another.
pub fn transfer_ms(spec: EngineSpec, tokens: u32, distance: DomainDistance) -> f64 {
    let bits_per_ms = spec.link_mbps * 1000.0;
    let direct = f64::from(tokens) * spec.kv_bytes * 8.0 / bits_per_ms.max(1.0);
    direct
        * match distance {
            DomainDistance::Same => 1.0,
            DomainDistance::SameRegion => REGION_TRANSFER,
            DomainDistance::OtherRegion => FAR_TRANSFER,
        }
}
