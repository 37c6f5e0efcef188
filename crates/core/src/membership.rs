//! Which processes are alive, and which are proven dead.
//!
//! Silence proves nothing: a paused process may go on at any moment. A process
//! is dead only if its VM has left the platform's list or a newer incarnation
//! answers in its place, and a settling time has passed since, in which its
//! kernel may still deliver what it had buffered.

use std::{
    collections::{HashMap, VecDeque},
    str::FromStr,
    time::Duration,
};

use smol_str::SmolStr;

use crate::time::Timestamp;

/// Time between the proof of a death and the first act that relies on it.
pub const DEATH_GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Greatest difference between the clocks of a VM and of the platform.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);

/// Time after the start of a process within which the list names its VM.
const LISTING_LAG: Duration = Duration::from_secs(60);

/// Names one process: a VM and the start of the process on it.
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

/// Says that a text doesn't name a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a process is named as VM/INCARNATION")]
pub struct ParseIncarnationError;

impl FromStr for ProcessIncarnation {
    type Err = ParseIncarnationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (vm, incarnation) = text.rsplit_once('/').ok_or(ParseIncarnationError)?;
        let incarnation = incarnation.parse().map_err(|_| ParseIncarnationError)?;
        Ok(Self { vm: vm.into(), incarnation })
    }
}

/// Holds what is known of the VMs and the processes on them.
#[derive(Clone, Debug, Default)]
pub struct MembershipTable {
    vms: HashMap<SmolStr, VmMember>,
    /// Time at which the newest list was made.
    listed_at: Timestamp,
    /// The lists that came within the settling time, and the newest before it.
    listings: VecDeque<SeenListing>,
}

/// Says when a list was made and when it came.
#[derive(Clone, Copy, Debug)]
struct SeenListing {
    made_at: Timestamp,
    since: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct VmMember {
    /// Highest incarnation that has introduced itself, and since when it is known.
    newest: Option<(u64, Timestamp)>,
    /// Whether the newest list names the VM.
    listed: bool,
    /// The departure of a VM that the list named before and doesn't now.
    gone: Option<VmDeparture>,
    leaving: bool,
}

/// Says when a VM left the platform's list.
#[derive(Clone, Copy, Debug)]
struct VmDeparture {
    /// Time at which the list was made.
    made_at: Timestamp,
    /// Time since which the departure is known here.
    since: Timestamp,
}

/// Describes one VM of the platform's list.
#[derive(Clone, Debug)]
pub struct ListedVm {
    pub name: SmolStr,
    pub leaving: bool,
}

impl MembershipTable {
    /// Notes a list of VMs; a list older than the newest one is ignored.
    ///
    /// An empty list is ignored too: it says that the platform knows nothing.
    pub fn observe_listing(&mut self, made_at: Timestamp, vms: &[ListedVm], now: Timestamp) {
        if made_at < self.listed_at || vms.is_empty() {
            return;
        }
        self.listed_at = made_at;
        self.listings.push_back(SeenListing { made_at, since: now });
        let settled = |listing: &SeenListing| now.since(listing.since) >= DEATH_GRACE_PERIOD;
        while self.listings.get(1).is_some_and(settled) {
            self.listings.pop_front();
        }
        for member in self.vms.values_mut() {
            member.leaving = false;
            if std::mem::take(&mut member.listed) {
                member.gone = Some(VmDeparture { made_at, since: now });
            }
        }
        for vm in vms {
            let member = self.vms.entry(vm.name.clone()).or_default();
            member.listed = true;
            member.gone = None;
            member.leaving = vm.leaving;
        }
    }

    /// Notes that a process has introduced itself.
    pub fn observe_process(&mut self, process: &ProcessIncarnation, now: Timestamp) {
        let member = self.vms.entry(process.vm.clone()).or_default();
        if member.newest.is_none_or(|(newest, _)| newest < process.incarnation) {
            member.newest = Some((process.incarnation, now));
        }
    }

    /// Tells whether a process is proven dead and the settling time has passed.
    pub fn is_dead(&self, process: &ProcessIncarnation, now: Timestamp) -> bool {
        let Some(member) = self.vms.get(&process.vm) else {
            return self.is_unlisted(process, None, now);
        };
        let replaced = member.newest.filter(|(newest, _)| *newest > process.incarnation);
        // A list says nothing of a process that started after it was made.
        let started = Timestamp::from_millis(process.incarnation);
        let gone = member.gone.filter(|gone| started + MAX_CLOCK_SKEW < gone.made_at);
        let proven = [gone.map(|gone| gone.since), replaced.map(|(_, since)| since)];
        proven.into_iter().flatten().any(|since| now.since(since) >= DEATH_GRACE_PERIOD)
            || (!member.listed && self.is_unlisted(process, member.gone, now))
    }

    /// Tells whether a list that settled here was made so long after a process
    /// started that it would name the VM, and doesn't.
    ///
    /// A daemon that started after the VM had left learns of the death so. The
    /// list counts only if it names VMs of processes that are known here: a list
    /// without daemons says nothing of them.
    fn is_unlisted(
        &self,
        process: &ProcessIncarnation,
        gone: Option<VmDeparture>,
        now: Timestamp,
    ) -> bool {
        let names_daemons = self.vms.values().any(|it| it.listed && it.newest.is_some());
        let started = Timestamp::from_millis(process.incarnation);
        names_daemons
            && self.listings.iter().any(|listing| {
                now.since(listing.since) >= DEATH_GRACE_PERIOD
                    && started + LISTING_LAG < listing.made_at
                    && gone.is_none_or(|gone| gone.made_at <= listing.made_at)
            })
    }

    /// Tells whether the platform lists a VM as about to leave, or no longer
    /// lists it.
    pub fn is_leaving(&self, vm: &str) -> bool {
        self.vms.get(vm).is_some_and(|member| member.leaving || member.gone.is_some())
    }
}
