//! Tracks which processes are alive and which are proven dead.
//!
//! A process that doesn't respond isn't proven dead, because a paused process may
//! resume at any moment. A process is dead only if its VM has left the platform's list
//! or a hello of a newer incarnation was received, and a grace period has passed since.
//! During that period its kernel may still deliver buffered data.

use std::{
    collections::{HashMap, VecDeque},
    str::FromStr,
    time::Duration,
};

use smol_str::SmolStr;

use crate::time::Timestamp;

/// Time between the proof of a process's death and the first action that relies on it.
pub const DEATH_GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Greatest difference between the clocks of a VM and of the platform.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);

/// Time after the start of a process within which the platform's list includes its VM.
const LISTING_DELAY: Duration = Duration::from_secs(60);

/// Identifies one process by its VM and the start of the process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProcessIncarnation {
    pub vm: SmolStr,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

impl std::fmt::Display for ProcessIncarnation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}/{}", self.vm, self.incarnation)
    }
}

/// Reports that a text isn't a valid process name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid process name, expected VM/INCARNATION")]
pub struct ParseIncarnationError;

impl FromStr for ProcessIncarnation {
    type Err = ParseIncarnationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (vm, incarnation) = text.rsplit_once('/').ok_or(ParseIncarnationError)?;
        let incarnation = incarnation.parse().map_err(|_| ParseIncarnationError)?;
        Ok(Self { vm: vm.into(), incarnation })
    }
}

/// Holds what is known about the VMs and the processes on them.
#[derive(Clone, Debug, Default)]
pub struct MembershipTable {
    vms: HashMap<SmolStr, VmMember>,
    /// Time at which the newest list was made.
    listed_at: Timestamp,
    /// The lists received within the grace period, and the newest one before it.
    listings: VecDeque<ReceivedListing>,
}

/// Holds when a list was made and when it was received.
#[derive(Clone, Copy, Debug)]
struct ReceivedListing {
    made_at: Timestamp,
    received_at: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct VmMember {
    /// Highest incarnation of which a hello was received, and when the first one was.
    newest: Option<(u64, Timestamp)>,
    /// Whether the newest list includes the VM.
    listed: bool,
    /// Set if an earlier list included the VM and the newest one doesn't.
    departure: Option<VmDeparture>,
    leaving: bool,
}

/// Holds when a VM left the platform's list.
#[derive(Clone, Copy, Debug)]
struct VmDeparture {
    /// Time at which the first list without the VM was made.
    made_at: Timestamp,
    /// Time at which that list was received.
    received_at: Timestamp,
}

/// Describes one VM of the platform's list.
#[derive(Clone, Debug)]
pub struct ListedVm {
    pub name: SmolStr,
    pub leaving: bool,
}

impl MembershipTable {
    /// Applies a list of VMs; a list older than the newest one is ignored.
    ///
    /// An empty list is ignored too, because it only shows that the platform has no data.
    pub fn observe_listing(&mut self, made_at: Timestamp, vms: &[ListedVm], now: Timestamp) {
        if made_at < self.listed_at || vms.is_empty() {
            return;
        }
        self.listed_at = made_at;
        self.listings.push_back(ReceivedListing { made_at, received_at: now });
        let is_past_grace =
            |listing: &ReceivedListing| now.since(listing.received_at) >= DEATH_GRACE_PERIOD;
        while self.listings.get(1).is_some_and(is_past_grace) {
            self.listings.pop_front();
        }
        for member in self.vms.values_mut() {
            member.leaving = false;
            if std::mem::take(&mut member.listed) {
                member.departure = Some(VmDeparture { made_at, received_at: now });
            }
        }
        for vm in vms {
            let member = self.vms.entry(vm.name.clone()).or_default();
            member.listed = true;
            member.departure = None;
            member.leaving = vm.leaving;
        }
    }

    /// Records that a hello of a process was received.
    pub fn observe_process(&mut self, process: &ProcessIncarnation, now: Timestamp) {
        let member = self.vms.entry(process.vm.clone()).or_default();
        if member.newest.is_none_or(|(newest, _)| newest < process.incarnation) {
            member.newest = Some((process.incarnation, now));
        }
    }

    /// Tells whether a process is proven dead and the grace period has passed.
    pub fn is_dead(&self, process: &ProcessIncarnation, now: Timestamp) -> bool {
        let Some(member) = self.vms.get(&process.vm) else {
            return self.is_unlisted(process, None, now);
        };
        let replaced = member.newest.filter(|(newest, _)| *newest > process.incarnation);
        // A list gives no information about a process that started after it was made.
        let started = Timestamp::from_millis(process.incarnation);
        let departure =
            member.departure.filter(|departure| started + MAX_CLOCK_SKEW < departure.made_at);
        let proven =
            [departure.map(|departure| departure.received_at), replaced.map(|(_, since)| since)];
        proven.into_iter().flatten().any(|since| now.since(since) >= DEATH_GRACE_PERIOD)
            || (!member.listed && self.is_unlisted(process, member.departure, now))
    }

    /// Tells whether a list without the process's VM was made so long after the process
    /// started that it would include the VM, and was received a grace period ago.
    ///
    /// A daemon that starts after the VM has left detects the death this way. The list
    /// counts only if the newest list includes a VM with a process that is known here,
    /// because a list without daemons gives no information about daemons.
    fn is_unlisted(
        &self,
        process: &ProcessIncarnation,
        departure: Option<VmDeparture>,
        now: Timestamp,
    ) -> bool {
        let lists_daemons =
            self.vms.values().any(|member| member.listed && member.newest.is_some());
        let started = Timestamp::from_millis(process.incarnation);
        lists_daemons
            && self.listings.iter().any(|listing| {
                now.since(listing.received_at) >= DEATH_GRACE_PERIOD
                    && started + LISTING_DELAY < listing.made_at
                    && departure.is_none_or(|departure| departure.made_at <= listing.made_at)
            })
    }

    /// Tells whether the platform lists a VM as leaving, or no longer lists it.
    pub fn is_leaving(&self, vm: &str) -> bool {
        self.vms.get(vm).is_some_and(|member| member.leaving || member.departure.is_some())
    }
}
