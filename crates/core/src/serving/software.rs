//! Software versions of engines, and which of them began a stream.
//!
//! What two versions write doesn't fit together, and engines don't check who began a stream that
//! they continue. So a stream whose version isn't known must not go on.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use smol_str::SmolStr;
use xxhash_rust::xxh3;

use crate::{
    serving::{
        configuration::{RouteKind, ServingConfiguration},
        directory::ServerEntry,
        fleet::{self, ServerFleet, ServerState},
        part_evidence::EngineIncarnation,
    },
    time::Timestamp,
};

/// Shortest resume window. Callers whose deadlines exceed the timeout of a route may resume a stream later
/// than that.
const MIN_RESUME_WINDOW: Duration = Duration::from_secs(20);
/// Time that a resume window exceeds the timeout of a route by. Other daemons may hear of changed servers
/// and timeouts later than this one.
const RESUME_SLACK: Duration = Duration::from_secs(5);
/// Most streams of which the engine is known and the version isn't recorded yet. Both come together.
const PENDING_TARGET_LIMIT: usize = 1024;
/// Most streams that are remembered; the oldest are forgotten first.
const STREAM_LIMIT: usize = 32_768;

/// Identifies a version of a service's software, equally at all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SoftwareKey(pub u32);

impl SoftwareKey {
    /// Returns the key of the software that a server runs.
    pub fn of(entry: &ServerEntry) -> Self {
        let seed = xxh3::xxh3_64(entry.service.as_bytes());
        Self(xxh3::xxh3_64_with_seed(entry.software.as_bytes(), seed) as u32)
    }
}

/// Resume window of each service: the time after their begin for which its streams may be resumed.
#[derive(Clone, Debug, Default)]
struct ResumeWindows {
    by_service: HashMap<SmolStr, Duration>,
}

impl ResumeWindows {
    /// Extends the windows to the timeouts of a configuration. They never become shorter, since
    /// streams may have begun under an earlier one.
    fn extend(&mut self, configuration: &ServingConfiguration) {
        let resumable =
            configuration.routes.iter().filter(|row| row.kind == RouteKind::ResumableStream);
        for row in resumable {
            for target in &row.targets {
                let window = self.by_service.entry(target.service.clone()).or_default();
                *window = (*window).max(row.timeout + RESUME_SLACK);
            }
        }
    }

    fn of_service(&self, service: &str) -> Duration {
        self.by_service.get(service).copied().unwrap_or_default().max(MIN_RESUME_WINDOW)
    }

    fn longest(&self) -> Duration {
        self.by_service.values().copied().max().unwrap_or_default().max(MIN_RESUME_WINDOW)
    }
}

/// Identifies a stream by the attempt of a request that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream that an attempt begins.
    pub fn of(request_id: &str) -> Self {
        Self(xxh3::xxh3_64(request_id.as_bytes()))
    }
}

/// The start of an engine that a stream was sent to, as the sender knew it: the low half of its
/// incarnation, since each stream's is told to all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTarget(pub u32);

impl StreamTarget {
    /// Returns the target for a start.
    pub fn new(incarnation: EngineIncarnation) -> Self {
        Self(incarnation.0 as u32)
    }

    /// Returns the target for the start that an entry states.
    pub fn of(entry: &ServerEntry) -> Self {
        Self::new(fleet::incarnation(entry))
    }
}

/// A record of the version that began a stream, which is right if the engine hasn't started again
/// before it got the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnconfirmedOrigin {
    pub stream: StreamKey,
    pub software: SoftwareKey,
    pub target: StreamTarget,
}

/// What is known of the version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginKnowledge {
    /// There is no record.
    Unknown,
    Known(SoftwareKey),
    /// The list of servers isn't newer than the record.
    Unconfirmed(UnconfirmedOrigin),
    /// The engine has started again at a time that may be before or after it got the stream.
    Doubtful,
}

impl OriginKnowledge {
    /// Returns the version if it is known for sure.
    pub fn known(self) -> Option<SoftwareKey> {
        match self {
            Self::Known(software) => Some(software),
            Self::Unknown | Self::Unconfirmed(_) | Self::Doubtful => None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct StreamOrigin {
    software: SoftwareKey,
    recorded_at: Timestamp,
    /// None once the version can't be wrong.
    target: Option<StreamTarget>,
    is_doubtful: bool,
}

/// The versions that began recent streams, at this daemon and others.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    origins: HashMap<StreamKey, StreamOrigin>,
    /// Records in the order of time, for their removal.
    records: VecDeque<(Timestamp, StreamKey)>,
    /// Targets of streams whose versions are about to be recorded.
    targets: HashMap<StreamKey, StreamTarget>,
    windows: ResumeWindows,
}

impl StreamOrigins {
    /// Keeps records for as long as the streams of a configuration may be resumed.
    pub fn apply_timeouts(&mut self, configuration: &ServingConfiguration) {
        self.windows.extend(configuration);
    }

    /// Records to which engine the stream was sent whose version is recorded next.
    pub fn record_target(&mut self, stream: StreamKey, target: StreamTarget) {
        if self.targets.len() >= PENDING_TARGET_LIMIT {
            self.targets.clear();
        }
        self.targets.insert(stream, target);
    }

    /// Records that an engine has started again since `listed_at`, when the list of servers was last
    /// confirmed. Streams that were sent to it after that may have begun at either start.
    pub fn record_restart(&mut self, replaced: StreamTarget, listed_at: Option<Timestamp>) {
        for origin in self.origins.values_mut() {
            if origin.target == Some(replaced) {
                let is_confirmed = listed_at.is_some_and(|at| origin.recorded_at <= at);
                origin.target = origin.target.filter(|_| !is_confirmed);
                origin.is_doubtful = !is_confirmed;
            }
        }
    }

    /// Records the version that a stream was sent to. A later record replaces an earlier one, since
    /// a request may be sent to another engine before its first event.
    pub fn record(&mut self, stream: StreamKey, software: SoftwareKey, now: Timestamp) {
        let target = self.targets.remove(&stream);
        let origin = StreamOrigin { software, recorded_at: now, target, is_doubtful: false };
        self.origins.insert(stream, origin);
        self.records.push_back((now, stream));
        let window = self.windows.longest();
        while let Some((recorded_at, stream)) = self.records.front().copied() {
            if self.records.len() <= STREAM_LIMIT && now.since(recorded_at) < window {
                break;
            }
            self.records.pop_front();
            if self.origins.get(&stream).is_some_and(|origin| origin.recorded_at == recorded_at) {
                self.origins.remove(&stream);
            }
        }
    }

    /// Returns what is known of the version that began a stream, by the list of servers.
    pub fn knowledge(&self, stream: StreamKey, fleet: &ServerFleet) -> OriginKnowledge {
        let Some(origin) = self.origins.get(&stream) else {
            return OriginKnowledge::Unknown;
        };
        let software = origin.software;
        match origin.target {
            None => OriginKnowledge::Known(software),
            Some(_) if origin.is_doubtful => OriginKnowledge::Doubtful,
            Some(target) if fleet.connectivity.listed_at() < Some(origin.recorded_at) => {
                OriginKnowledge::Unconfirmed(UnconfirmedOrigin { stream, software, target })
            }
            Some(target) if listed_server(fleet, target).is_some() => {
                OriginKnowledge::Known(software)
            }
            Some(_) => OriginKnowledge::Doubtful,
        }
    }
}

/// Returns whether an engine hadn't started again before it got a stream, by the entries that servers have
/// written since the list was read.
pub fn is_confirmed(target: StreamTarget, fleet: &ServerFleet, newer: &[ServerEntry]) -> bool {
    let is_target = |entry: &&ServerEntry| StreamTarget::of(entry) == target;
    if let Some(listed) = listed_server(fleet, target) {
        return newer
            .iter()
            .filter(|entry| entry.id == listed.entry.id)
            .all(|entry| is_target(&entry));
    }
    // The sender knew of a start that isn't in this list yet.
    let Some(started) = newer.iter().find(is_target) else {
        return false;
    };
    newer.iter().rfind(|entry| entry.id == started.id).as_ref().is_some_and(is_target)
}

fn listed_server(fleet: &ServerFleet, target: StreamTarget) -> Option<&ServerState> {
    let mut servers = fleet.iter().map(|(_, server)| server);
    servers.find(|server| StreamTarget::of(&server.entry) == target)
}

/// Returns whether a version remains the only one of a service with these entries, which servers have
/// written since the list was last read.
pub fn remains_sole_version(software: SoftwareKey, service: &str, newer: &[ServerEntry]) -> bool {
    newer
        .iter()
        .filter(|entry| entry.service == service)
        .all(|entry| SoftwareKey::of(entry) == software)
}

/// The versions that a service has had recently, as far as this daemon has seen all of them.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Time since which this daemon has received each change of the servers' entries.
    complete_since: Option<Timestamp>,
    /// Versions of servers that are gone or have changed, with the time at which they went.
    departed: Vec<(SmolStr, SoftwareKey, Timestamp)>,
    windows: ResumeWindows,
}

impl VersionHistory {
    /// Counts versions for as long as the streams of a configuration may be resumed.
    pub fn apply_timeouts(&mut self, configuration: &ServingConfiguration) {
        self.windows.extend(configuration);
    }

    /// Records that all changes of the entries up to now have been received.
    pub fn record_complete(&mut self, now: Timestamp) {
        self.complete_since.get_or_insert(now);
    }

    /// Records that changes of the entries may have been missed.
    pub fn record_gap(&mut self) {
        self.complete_since = None;
    }

    /// Records that a server is gone or that another entry replaces this one.
    pub fn record_departure(&mut self, entry: &ServerEntry, now: Timestamp) {
        let software = SoftwareKey::of(entry);
        let windows = &self.windows;
        self.departed.retain(|(service, departed, at)| {
            *departed != software && now.since(*at) < windows.of_service(service)
        });
        self.departed.push((entry.service.clone(), software, now));
    }

    /// Returns the version that began each stream of a service that may still be resumed, if only
    /// one version can have done so as far as the list goes. Streams that began after the list was
    /// read may have another one, see [`remains_sole_version`].
    pub fn sole_version(
        &self,
        service: &str,
        fleet: &ServerFleet,
        now: Timestamp,
    ) -> Option<SoftwareKey> {
        let window = self.windows.of_service(service);
        if now.since(self.complete_since?) < window {
            return None;
        }
        let is_present =
            |state: &ServerState| state.entry.service == service && state.presence.is_usable(now);
        let present = fleet.iter().filter(|(_, state)| is_present(state));
        let present = present.map(|(_, state)| SoftwareKey::of(&state.entry));
        let departed = self.departed.iter().filter(|(departed_service, _, at)| {
            departed_service == service && now.since(*at) < window
        });
        let mut versions = present.chain(departed.map(|(_, software, _)| *software));
        let first = versions.next()?;
        versions.all(|software| software == first).then_some(first)
    }
}
