//! Prompt parts that crash the engines that write on them.
//!
//! A part is blamed for the crashes of all engines that were serving a request with it, and a
//! completed request acquits all its parts. An ordinary crash hits the parts of all requests at the
//! engine, and several engines may crash at once, so crashes count by distinct engines and by
//! episodes, which are apart in time, and a part that has completed requests before needs more of
//! them. A part that is under suspicion runs in one request at a time, its trial. A part that is
//! convicted doesn't run until its sentence ends, and then in trials again.
//!
//! Requests nest: those with a crashing part also have the parts before it. So a crash that a
//! convicted part explains doesn't count against parts that occur earlier in prompts.
//!
//! The request as a whole counts as its last part, so that a request that is sent again is found by
//! the same evidence. Requests of plain services have no other part.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

pub use crate::serving::part_evidence::history::{RepeatedCrash, SuspectHistory};
use crate::{serving::prompt::PartFingerprint, time::Timestamp};

mod history;

/// Number of crashed engines from which a part without completed requests is under suspicion.
const SUSPICION_ENGINES: usize = 3;
/// Number of episodes from which such a part is convicted.
const CONVICTION_EPISODES: usize = 3;
/// The same for a part that has completed requests before.
const PROVEN_SUSPICION_EPISODES: usize = 4;
const PROVEN_CONVICTION_EPISODES: usize = 6;
/// Time from the first crash of an episode during which further crashes belong to it.
const EPISODE_DURATION: Duration = Duration::from_millis(500);
/// Time for which a completed request counts in favour of its parts.
const PROVEN_DURATION: Duration = Duration::from_secs(600);
/// Time after its last crash for which a convicted part doesn't run. Each crash beyond those of the
/// conviction doubles it.
const SENTENCE: Duration = Duration::from_secs(300);
/// Largest number of times that a sentence is doubled.
const MAX_DOUBLINGS: u32 = 4;
/// Time for which a trial excludes others if its end isn't reported.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Retry-after of a request that another one's trial keeps waiting.
const TRIAL_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Largest number of crashes that are kept for a part.
const CRASH_LIMIT: usize = 12;
/// Number of engines from which those without crashes are removed from the list of crashed ones.
const CRASHED_LIMIT: usize = 4096;
/// Largest number of parts that are kept.
const PART_LIMIT: usize = 4096;

/// Identifies an engine from one start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineIncarnation(pub u64);

/// How a request may run, by its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartVerdict {
    /// It runs like any other request.
    Clear,
    /// It runs as the trial of its parts.
    Trial,
    /// It doesn't run now.
    Refused(PartRefusal),
}

/// Why a request doesn't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartRefusal {
    pub part: PartFingerprint,
    pub reason: RefusalReason,
    /// Number of crashed engines that count against the part.
    pub crashes: usize,
    pub retry_after: Duration,
}

/// The part's status that keeps a request from running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// Another request is the trial of the part.
    OnTrial,
    /// The part is convicted.
    Convicted,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PartStatus {
    Clear,
    Suspect,
    Convicted { until: Timestamp },
}

#[derive(Clone, Copy, Debug)]
struct PartCrash {
    engine: EngineIncarnation,
    at: Timestamp,
    /// Whether the engine ended under the trial of this part.
    is_trial: bool,
}

#[derive(Clone, Copy, Debug)]
struct PartTrial {
    holder: u64,
    until: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct PartRecord {
    /// Crashes since the last completed request, one for each engine.
    crashes: Vec<PartCrash>,
    /// Largest position at which the part was seen in a prompt.
    depth: usize,
    completed_at: Option<Timestamp>,
    /// Time until which completed requests at any daemon count in favour of the part.
    proven_until: Option<Timestamp>,
    /// Time until which all daemons know that the part is proven.
    announced_until: Option<Timestamp>,
    trial: Option<PartTrial>,
    is_convicted: bool,
}

impl PartRecord {
    fn is_proven(&self, now: Timestamp) -> bool {
        self.proven_until.is_some_and(|until| now < until)
    }

    fn is_recent(&self, now: Timestamp) -> bool {
        self.is_proven(now) || !self.crashes.is_empty()
    }

    fn last_crash_at(&self) -> Option<Timestamp> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    fn unexplained(&self, explained: &HashSet<EngineIncarnation>) -> Vec<PartCrash> {
        self.crashes.iter().copied().filter(|crash| !explained.contains(&crash.engine)).collect()
    }

    fn status(&self, now: Timestamp, explained: &HashSet<EngineIncarnation>) -> PartStatus {
        if self.is_convicted {
            let extra = self.crashes.len().saturating_sub(CONVICTION_EPISODES) as u32;
            let sentence = SENTENCE * 2_u32.pow(extra.min(MAX_DOUBLINGS));
            let until = self.last_crash_at().unwrap_or_default() + sentence;
            return if now < until { PartStatus::Convicted { until } } else { PartStatus::Suspect };
        }
        let crashes = self.unexplained(explained);
        let is_suspect = if self.is_proven(now) {
            episodes(&crashes) >= PROVEN_SUSPICION_EPISODES
        } else {
            crashes.len() >= SUSPICION_ENGINES
        };
        if is_suspect {
            PartStatus::Suspect
        } else {
            PartStatus::Clear
        }
    }

    /// Returns whether a conviction holds that another daemon has recorded, or that was deserved
    /// before the part was proven.
    fn stays_convicted(&self, now: Timestamp, explained: &HashSet<EngineIncarnation>) -> bool {
        let crashes = self.unexplained(explained).len();
        crashes > 0 && (!self.is_proven(now) || crashes >= PROVEN_CONVICTION_EPISODES)
    }

    fn conviction(&self, part: PartFingerprint) -> PartConviction {
        PartConviction { part, engines: self.crashes.iter().map(|crash| crash.engine).collect() }
    }

    fn deserves_conviction(&self, now: Timestamp, explained: &HashSet<EngineIncarnation>) -> bool {
        let crashes = self.unexplained(explained);
        let limit =
            if self.is_proven(now) { PROVEN_CONVICTION_EPISODES } else { CONVICTION_EPISODES };
        episodes(&crashes) >= limit
    }
}

/// Returns the number of episodes of these crashes. A crash under a trial is an episode of its own.
fn episodes(crashes: &[PartCrash]) -> usize {
    let mut crashes: Vec<_> = crashes.iter().map(|crash| (crash.at, crash.is_trial)).collect();
    crashes.sort_unstable();
    let mut count = 0;
    let mut began_at: Option<Timestamp> = None;
    for (at, is_trial) in crashes {
        if is_trial || began_at.is_none_or(|began_at| at.since(began_at) >= EPISODE_DURATION) {
            began_at = Some(at);
            count += 1;
        }
    }
    count
}

/// A part that has been convicted, with its crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartConviction {
    pub part: PartFingerprint,
    pub engines: Vec<EngineIncarnation>,
}

/// A crash of an engine that counts against a part under suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectCrash {
    pub part: PartFingerprint,
    pub engine: EngineIncarnation,
    pub at: Timestamp,
    /// Whether the engine ended under the trial of the part.
    pub is_trial: bool,
}

/// Parts whose conviction began or ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VerdictChanges {
    pub convicted: Vec<PartConviction>,
    pub acquitted: Vec<PartFingerprint>,
}

/// The evidence against prompt parts and in their favour, of all daemons.
#[derive(Clone, Debug, Default)]
pub struct PartEvidence {
    records: HashMap<PartFingerprint, PartRecord>,
    /// Engines whose crash a convicted part explains.
    explained: HashSet<EngineIncarnation>,
    /// Engines that have crashes recorded, and maybe others.
    crashed: HashSet<EngineIncarnation>,
}

impl PartEvidence {
    /// Decides whether a request with these parts may run, and begins the trial of those that are
    /// under suspicion. `holder` identifies the request: a request that already is the trial of a
    /// part goes on.
    pub fn admit(&mut self, parts: &[PartFingerprint], holder: u64, now: Timestamp) -> PartVerdict {
        let mut suspects = Vec::new();
        for part in parts {
            let Some(record) = self.records.get(part) else {
                continue;
            };
            let crashes = record.crashes.len();
            let refused = |reason, retry_after| {
                PartVerdict::Refused(PartRefusal { part: *part, reason, crashes, retry_after })
            };
            match record.status(now, &self.explained) {
                PartStatus::Clear => {}
                PartStatus::Convicted { until } => {
                    return refused(RefusalReason::Convicted, until.since(now));
                }
                PartStatus::Suspect => {
                    let other =
                        record.trial.filter(|trial| trial.holder != holder && now < trial.until);
                    if other.is_some() {
                        return refused(RefusalReason::OnTrial, TRIAL_RETRY_AFTER);
                    }
                    suspects.push(*part);
                }
            }
        }
        if suspects.is_empty() {
            return PartVerdict::Clear;
        }
        self.begin_trial(&suspects, holder, now);
        PartVerdict::Trial
    }

    /// Records that a request became the trial of these parts. Of trials that began at once at
    /// several daemons, all daemons keep the one with the lowest holder.
    pub fn begin_trial(&mut self, parts: &[PartFingerprint], holder: u64, now: Timestamp) {
        for part in parts {
            let Some(record) = self.records.get_mut(part) else {
                continue;
            };
            let is_taken =
                record.trial.is_some_and(|trial| trial.holder < holder && now < trial.until);
            if !is_taken {
                record.trial = Some(PartTrial { holder, until: now + TRIAL_TIMEOUT });
            }
        }
    }

    /// Ends the trial that a request is.
    pub fn end_trial(&mut self, holder: u64) {
        for record in self.records.values_mut() {
            if record.trial.is_some_and(|trial| trial.holder == holder) {
                record.trial = None;
            }
        }
    }

    /// Returns the parts for which a request is the trial.
    pub fn trial_parts(&self, holder: u64) -> Vec<PartFingerprint> {
        let is_held =
            |record: &PartRecord| record.trial.is_some_and(|trial| trial.holder == holder);
        self.records.iter().filter(|(_, record)| is_held(record)).map(|(part, _)| *part).collect()
    }

    /// Records that an engine ended at a time while it served a request with these parts, which are
    /// in the order of the prompt. Doesn't count against parts that have completed a request since.
    pub fn record_crash(
        &mut self,
        engine: EngineIncarnation,
        parts: &[PartFingerprint],
        at: Timestamp,
    ) -> VerdictChanges {
        self.record_crashes(engine, parts, at, false)
    }

    /// Records the crash of an engine that served the trial of some of these parts. Unlike engines
    /// that crash together, a whole request that is on trial is alone with each of its crashes.
    pub fn record_trial_crash(
        &mut self,
        engine: EngineIncarnation,
        parts: &[PartFingerprint],
        at: Timestamp,
    ) -> VerdictChanges {
        self.record_crashes(engine, parts, at, true)
    }

    fn record_crashes(
        &mut self,
        engine: EngineIncarnation,
        parts: &[PartFingerprint],
        at: Timestamp,
        is_trial: bool,
    ) -> VerdictChanges {
        if self.crashed.len() >= CRASHED_LIMIT {
            let crashes = self.records.values().flat_map(|record| &record.crashes);
            self.crashed = crashes.map(|crash| crash.engine).collect();
        }
        self.crashed.insert(engine);
        for (depth, part) in parts.iter().enumerate() {
            self.make_room(part, at);
            let record = self.records.entry(*part).or_default();
            record.depth = record.depth.max(depth);
            let is_known = record.crashes.iter().any(|crash| crash.engine == engine);
            if is_known || record.completed_at.is_some_and(|completed_at| completed_at > at) {
                continue;
            }
            if record.crashes.len() >= CRASH_LIMIT {
                record.crashes.remove(0);
            }
            let is_trial = is_trial && part.is_request();
            record.crashes.push(PartCrash { engine, at, is_trial });
        }
        self.convict(at)
    }

    /// Removes the crashes of an engine that was reached later: only a link was lost.
    pub fn void_crashes(
        &mut self,
        engine: EngineIncarnation,
        reached_at: Timestamp,
    ) -> VerdictChanges {
        if !self.crashed.contains(&engine) {
            return VerdictChanges::default();
        }
        let mut has_changed = false;
        for record in self.records.values_mut() {
            let count = record.crashes.len();
            record.crashes.retain(|crash| crash.engine != engine || crash.at >= reached_at);
            has_changed |= record.crashes.len() < count;
        }
        if has_changed {
            self.convict(reached_at)
        } else {
            VerdictChanges::default()
        }
    }

    /// Records a request with these parts that was complete at `now`, which acquits them of all
    /// crashes until then.
    pub fn record_completion(
        &mut self,
        parts: &[PartFingerprint],
        now: Timestamp,
    ) -> VerdictChanges {
        let mut had_crashes = false;
        for part in parts {
            self.make_room(part, now);
            let record = self.records.entry(*part).or_default();
            record.completed_at = record.completed_at.max(Some(now));
            record.proven_until = record.proven_until.max(Some(now + PROVEN_DURATION));
            record.trial = None;
            had_crashes |= !record.crashes.is_empty();
            record.crashes.retain(|crash| crash.at > now);
        }
        if had_crashes {
            self.convict(now)
        } else {
            VerdictChanges::default()
        }
    }

    /// Returns which of these parts have crashes against them.
    pub fn blamed(&self, parts: &[PartFingerprint]) -> Vec<PartFingerprint> {
        let is_blamed = |part: &PartFingerprint| {
            self.records.get(part).is_some_and(|record| !record.crashes.is_empty())
        };
        parts.iter().copied().filter(is_blamed).collect()
    }

    /// Returns whether there is a record of a part.
    pub fn is_known(&self, part: PartFingerprint) -> bool {
        self.records.contains_key(&part)
    }

    /// Returns which of these parts this daemon has seen completed requests with.
    pub fn completed_here(
        &self,
        parts: &[PartFingerprint],
        now: Timestamp,
    ) -> Vec<PartFingerprint> {
        let has_completed = |part: &PartFingerprint| {
            let completed_at = self.records.get(part).and_then(|record| record.completed_at);
            completed_at.is_some_and(|at| now.since(at) < PROVEN_DURATION)
        };
        parts.iter().copied().filter(has_completed).collect()
    }

    /// Records that another daemon has seen completed requests with these parts. Unlike
    /// [`Self::record_completion`] this doesn't acquit them, since the requests may have completed
    /// before the crashes.
    pub fn record_proven(&mut self, parts: &[PartFingerprint], now: Timestamp) -> VerdictChanges {
        for part in parts {
            self.make_room(part, now);
            let record = self.records.entry(*part).or_default();
            record.proven_until = Some(now + PROVEN_DURATION);
            record.announced_until = record.proven_until;
        }
        self.convict(now)
    }

    /// Records that this daemon tells the others that a part is proven. Returns false if a daemon
    /// has already done so.
    pub fn announce_proven(&mut self, part: PartFingerprint, now: Timestamp) -> bool {
        let Some(record) = self.records.get_mut(&part) else {
            return false;
        };
        let is_known = record.announced_until.is_some_and(|until| now < until);
        if !is_known {
            record.announced_until = record.proven_until;
        }
        !is_known
    }

    /// Returns whether completed requests count in favour of a part.
    pub fn is_proven(&self, part: PartFingerprint, now: Timestamp) -> bool {
        self.records.get(&part).is_some_and(|record| record.is_proven(now))
    }

    /// Applies a conviction that another daemon has recorded, unless completed requests outweigh it.
    /// Returns whether the part is convicted.
    pub fn apply_conviction(&mut self, conviction: &PartConviction, now: Timestamp) -> bool {
        self.make_room(&conviction.part, now);
        let record = self.records.entry(conviction.part).or_default();
        for engine in &conviction.engines {
            if record.crashes.iter().all(|crash| crash.engine != *engine) {
                record.crashes.push(PartCrash { engine: *engine, at: now, is_trial: false });
            }
        }
        record.crashes.truncate(CRASH_LIMIT);
        let is_outweighed =
            record.is_proven(now) && record.crashes.len() < PROVEN_CONVICTION_EPISODES;
        if !is_outweighed {
            record.is_convicted = true;
            self.explain();
        }
        !is_outweighed
    }

    /// Returns the crashes of the parts under suspicion, the latest first.
    pub fn crashes_of_suspects(&self, now: Timestamp) -> Vec<SuspectCrash> {
        let is_suspect = |record: &&PartRecord| {
            matches!(record.status(now, &self.explained), PartStatus::Suspect)
        };
        let suspects = self.records.iter().filter(|(_, record)| is_suspect(record));
        let mut crashes: Vec<_> = suspects
            .flat_map(|(part, record)| record.crashes.iter().map(|crash| (*part, *crash)))
            .map(|(part, PartCrash { engine, at, is_trial })| SuspectCrash {
                part,
                engine,
                at,
                is_trial,
            })
            .collect();
        crashes.sort_by_key(|crash| std::cmp::Reverse(crash.at));
        crashes
    }

    /// Returns the convictions, those with the latest crashes first.
    pub fn convictions(&self) -> Vec<PartConviction> {
        let convicted = self.records.iter().filter(|(_, record)| record.is_convicted);
        let mut convicted: Vec<_> = convicted
            .map(|(part, record)| (record.last_crash_at(), record.conviction(*part)))
            .collect();
        convicted.sort_by_key(|(last_crash_at, _)| std::cmp::Reverse(*last_crash_at));
        convicted.into_iter().map(|(_, conviction)| conviction).collect()
    }

    /// Returns whether a part is convicted.
    pub fn is_convicted(&self, part: PartFingerprint) -> bool {
        self.records.get(&part).is_some_and(|record| record.is_convicted)
    }

    /// Decides anew which parts are convicted, the last ones of the prompts first.
    fn convict(&mut self, now: Timestamp) -> VerdictChanges {
        let mut candidates: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| {
                record.is_convicted || record.crashes.len() >= CONVICTION_EPISODES
            })
            .map(|(part, record)| (record.depth, *part))
            .collect();
        candidates.sort_unstable_by(|one, other| other.cmp(one));
        let mut explained = HashSet::new();
        let mut changes = VerdictChanges::default();
        for (_, part) in candidates {
            let Some(record) = self.records.get_mut(&part) else {
                continue;
            };
            let was_convicted = record.is_convicted;
            record.is_convicted = record.deserves_conviction(now, &explained)
                || (was_convicted && record.stays_convicted(now, &explained));
            match (was_convicted, record.is_convicted) {
                (false, true) => changes.convicted.push(record.conviction(part)),
                (true, false) => changes.acquitted.push(part),
                (true, true) | (false, false) => {}
            }
            if record.is_convicted {
                explained.extend(record.crashes.iter().map(|crash| crash.engine));
            }
        }
        self.explained = explained;
        changes
    }

    fn explain(&mut self) {
        let convicted = self.records.values().filter(|record| record.is_convicted);
        let engines = convicted.flat_map(|record| record.crashes.iter().map(|crash| crash.engine));
        self.explained = engines.collect();
    }

    /// Keeps the number of records below its limit before a part is recorded. Convicted parts are
    /// kept longest, and whole requests, of which there are many, shortest.
    fn make_room(&mut self, part: &PartFingerprint, now: Timestamp) {
        if self.records.len() < PART_LIMIT || self.records.contains_key(part) {
            return;
        }
        self.records.retain(|_, record| record.is_recent(now));
        if self.records.len() < PART_LIMIT {
            return;
        }
        let mut ages: Vec<_> = self
            .records
            .iter()
            .map(|(part, record)| {
                let is_kept = (record.is_convicted, !part.is_request());
                (is_kept, record.last_crash_at(), record.proven_until, *part)
            })
            .collect();
        ages.sort_unstable();
        for (.., part) in &ages[..PART_LIMIT / 4] {
            self.records.remove(part);
        }
        self.explain();
    }
}
