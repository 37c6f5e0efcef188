//! Network distance between failure domains, with its delay and transfer time.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::serving::configuration::EngineSpec;

/// One-way delay between failure domains of a region, in milliseconds. Deployments specify 0.5 to
/// 1.4 ms.
const SAME_REGION_DELAY_MS: f64 = 1.0;
/// One-way delay between regions, in milliseconds. Deployments specify 8 ms.
const OTHER_REGION_DELAY_MS: f64 = 8.0;
/// Factors by which a KV cache transfer takes longer than within a failure domain, as specified for
/// the engines.
const SAME_REGION_TRANSFER_FACTOR: f64 = 2.0;
const OTHER_REGION_TRANSFER_FACTOR: f64 = 10.0;

/// Distance from one failure domain to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DomainDistance {
    Same,
    SameRegion,
    OtherRegion,
}

/// Maps failure domains to regions.
#[derive(Clone, Debug, Default)]
pub struct DomainMap {
    regions: HashMap<SmolStr, SmolStr>,
}

impl DomainMap {
    /// Creates a map from failure domains to their regions.
    pub fn new(regions: HashMap<SmolStr, SmolStr>) -> Self {
        Self { regions }
    }

    /// Returns the distance between two failure domains. Different domains without a known region
    /// count as domains of different regions.
    pub fn distance(&self, one: &SmolStr, other: &SmolStr) -> DomainDistance {
        if one == other {
            return DomainDistance::Same;
        }
        match (self.regions.get(one), self.regions.get(other)) {
            (Some(one), Some(other)) if one == other => DomainDistance::SameRegion,
            _ => DomainDistance::OtherRegion,
        }
    }

    /// Returns the one-way delay between two failure domains, in milliseconds.
    pub fn delay_ms(&self, one: &SmolStr, other: &SmolStr) -> f64 {
        match self.distance(one, other) {
            DomainDistance::Same => 0.1,
            DomainDistance::SameRegion => SAME_REGION_DELAY_MS,
            DomainDistance::OtherRegion => OTHER_REGION_DELAY_MS,
        }
    }
}

/// Returns the time of the transfer of `tokens` of KV cache between two engines, in milliseconds.
pub fn transfer_ms(spec: EngineSpec, tokens: u32, distance: DomainDistance) -> f64 {
    let bits_per_ms = spec.link_mbps * 1000.0;
    let same_domain_ms = f64::from(tokens) * spec.kv_bytes * 8.0 / bits_per_ms.max(1.0);
    same_domain_ms
        * match distance {
            DomainDistance::Same => 1.0,
            DomainDistance::SameRegion => SAME_REGION_TRANSFER_FACTOR,
            DomainDistance::OtherRegion => OTHER_REGION_TRANSFER_FACTOR,
        }
}
