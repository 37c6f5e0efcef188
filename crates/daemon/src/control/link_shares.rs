//! This daemon's shares of the link rates between regions and of account limits.

use gooseberry_core::{
    arena::DomainKey,
    fleet::LinkRow,
    limits::DomainView,
    spill::{LinkUse, LINK_LIMIT},
    time::Timestamp,
};
use smol_str::{format_smolstr, SmolStr};

use crate::control::ControlState;

impl ControlState {
    /// Divides the rate of each link among the daemons that may use it.
    ///
    /// The rate is split evenly among the failure domains of both regions, and
    /// within a domain among its daemons, so that all daemons together stay within
    /// it.
    pub(super) fn split_link_rates(&mut self, now: Timestamp) {
        let daemons = self.daemons.count_known(&self.context.settings.failure_domain) + 1;
        let inputs = (self.fleet.revision, daemons);
        if self.link_share_inputs == inputs {
            return;
        }
        self.link_share_inputs = inputs;
        let links: Vec<(SmolStr, f64)> = self
            .fleet
            .links
            .iter()
            .map(|link| (self.link_name(link), self.link_rate(link) / daemons as f64))
            .collect();
        self.context.routing.configure_links(&links, now);
    }

    /// Returns the live and known daemons of this failure domain.
    ///
    /// A peer from the settings that has never sent a hello counts as one of them,
    /// so that no daemon takes more than its share.
    pub(super) fn domain_view(&self, now: Timestamp) -> DomainView {
        let settings = &self.context.settings;
        let domain = &settings.failure_domain;
        let never_seen = settings.peers.len().saturating_sub(self.daemons.len());
        let mut live: Vec<SmolStr> = self.daemons.live_daemons(domain, now).cloned().collect();
        live.push(SmolStr::new(&settings.name));
        live.sort_unstable();
        DomainView { live, known_count: (self.daemons.count_known(domain) + 1 + never_seen) as u32 }
    }

    fn link_name(&self, link: &LinkRow) -> SmolStr {
        let (from, to) = (&self.fleet.regions[link.from], &self.fleet.regions[link.to]);
        format_smolstr!("{from}-{to}")
    }

    /// Returns the rate of one failure domain, in bytes per second.
    fn link_rate(&self, link: &LinkRow) -> f64 {
        let ends = [link.from, link.to];
        let domains = self.fleet.domains.iter();
        let sharing = domains.filter(|(_, row)| ends.contains(&row.region)).count().max(1);
        link.bytes_per_second.unwrap_or(0) as f64 / sharing as f64
    }

    /// Returns the link over which a failure domain is reached from another.
    pub(super) fn link_between(&self, from: Option<DomainKey>, to: DomainKey) -> LinkUse {
        let Some(from) = from else { return LinkUse::Local };
        let regions = (self.fleet.domains[from].region, self.fleet.domains[to].region);
        if regions.0 == regions.1 {
            return LinkUse::Local;
        }
        let joins = |link: &LinkRow| {
            [(link.from, link.to), (link.to, link.from)].contains(&regions)
                && link.bytes_per_second.is_some()
        };
        let position = self.fleet.links.iter().position(joins);
        let position = position.filter(|position| *position < LINK_LIMIT);
        position.map_or(LinkUse::Closed, |position| LinkUse::Metered(position as u8))
    }
}
