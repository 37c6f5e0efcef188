//! Evidence against prompt parts: which requests ended because their server did, and which parts may
//! run.

use std::{collections::VecDeque, time::Duration};

use gooseberry_core::{
    serving::{
        part_evidence::{
            EngineIncarnation, PartConviction, PartVerdict, SuspectCrash, SuspectHistory,
            VerdictChanges,
        },
        prompt::PartFingerprint,
    },
    time::Timestamp,
};

use crate::{state::GatewayState, updates::SendUpdate};

/// Time within which a server has to be found ended for its interrupted requests to count as
/// crashed.
const DOUBT_DURATION: Duration = Duration::from_secs(10);
/// Largest number of convictions that a daemon is told at once.
const CONVICTION_UPDATE_LIMIT: usize = 16;
/// Largest number of crashes of suspects that a daemon is told at once.
const SUSPECT_UPDATE_LIMIT: usize = 48;
/// Largest number of requests under suspicion that are stored at once.
const SUSPECT_STORE_LIMIT: usize = 8;
/// Time for which a confirmed crash is repeated to the other daemons with each summary.
const CRASH_REPEAT_DURATION: Duration = Duration::from_secs(5);
/// Largest number of confirmed crashes that are repeated.
const RECENT_CRASH_LIMIT: usize = 64;
/// Largest number of interrupted requests that are kept.
const DOUBT_LIMIT: usize = 1024;

/// How a request ended whose server may have ended with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DoubtfulEnd {
    /// The server sent no response or broke it off.
    Interrupted,
    /// The response looks complete and ended with its connection, as it also does if the server
    /// crashes between two events.
    Unframed,
}

/// A request whose server may have ended with it.
#[derive(Clone, Debug)]
pub(super) struct CrashDoubt {
    server: EngineIncarnation,
    parts: Vec<PartFingerprint>,
    end: DoubtfulEnd,
    /// Whether the request was the trial of some of its parts.
    is_trial: bool,
    at: Timestamp,
}

/// A request whose server has ended.
#[derive(Clone, Debug)]
pub(super) struct ConfirmedCrash {
    server: EngineIncarnation,
    parts: Vec<PartFingerprint>,
    is_trial: bool,
    at: Timestamp,
}

impl ConfirmedCrash {
    fn update(&self, now: Timestamp) -> SendUpdate {
        SendUpdate::PartCrash {
            engine: self.server.0,
            parts: part_numbers(&self.parts),
            age_ms: now.since(self.at).as_millis() as u32,
            is_trial: self.is_trial,
        }
    }
}

impl GatewayState {
    /// Decides whether a request with these parts may run, and tells the other daemons if it
    /// is a trial. `holder` identifies the request.
    pub fn admit_parts(
        &mut self,
        parts: &[PartFingerprint],
        holder: u64,
        now: Timestamp,
    ) -> PartVerdict {
        let verdict = self.parts.admit(parts, holder, now);
        if verdict == PartVerdict::Trial {
            let parts = part_numbers(&self.parts.trial_parts(holder));
            self.outgoing.push_back(SendUpdate::TrialBegan { parts, holder });
        }
        verdict
    }

    /// Ends the trial that a request of this daemon is, and tells the other daemons. They may know it
    /// although the record here is that of another trial, which began at the same time.
    pub fn end_part_trial(&mut self, holder: u64) {
        self.parts.end_trial(holder);
        self.outgoing.push_back(SendUpdate::TrialEnded { holder });
    }

    /// Records the end of a request with these parts whose server may have ended with it.
    /// Returns whether a probe of the server is to be started.
    pub fn record_doubt(
        &mut self,
        server: EngineIncarnation,
        parts: &[PartFingerprint],
        end: DoubtfulEnd,
        is_trial: bool,
        now: Timestamp,
    ) -> bool {
        self.doubts.retain(|doubt| now.since(doubt.at) < DOUBT_DURATION);
        if self.doubts.len() >= DOUBT_LIMIT {
            self.doubts.pop_front();
        }
        let parts = parts.to_vec();
        self.doubts.push_back(CrashDoubt { server, parts, end, is_trial, at: now });
        self.pending_probes.insert(server)
    }

    /// Records that a probe of a server begins. Later doubts need another one.
    pub fn begin_probe(&mut self, server: EngineIncarnation) {
        self.pending_probes.remove(&server);
    }

    /// Records that a server accepted the connection of a probe that began at a time: requests whose
    /// responses looked complete before then are complete. Returns whether there is an update for the
    /// other daemons.
    pub fn confirm_alive(&mut self, server: EngineIncarnation, began_at: Timestamp) -> bool {
        let is_settled = |doubt: &CrashDoubt| {
            doubt.server == server && doubt.end != DoubtfulEnd::Interrupted && doubt.at <= began_at
        };
        let (settled, doubts) =
            self.doubts.drain(..).partition::<VecDeque<_>, _>(|doubt| is_settled(doubt));
        self.doubts = doubts;
        let mut is_news = false;
        for doubt in settled {
            is_news |= self.complete_parts(&doubt.parts, doubt.at);
        }
        is_news
    }

    /// Records that a server has ended, which blames the parts of the requests that ended with
    /// it, and tells the other daemons.
    pub fn confirm_crash(&mut self, server: EngineIncarnation, now: Timestamp) {
        let (crashed, doubts) =
            self.doubts.drain(..).partition::<VecDeque<_>, _>(|doubt| doubt.server == server);
        self.doubts = doubts;
        for doubt in crashed {
            let age = now.since(doubt.at);
            if age >= DOUBT_DURATION {
                continue;
            }
            self.prove_parts(&doubt.parts, now);
            let CrashDoubt { server, parts, is_trial, at, .. } = doubt;
            if self.outlived(server, at) {
                continue;
            }
            let changes = self.record_part_crash(server, &parts, at, is_trial);
            self.record_verdicts(changes);
            self.unstored_suspects.extend(parts.iter().filter(|part| part.is_request()));
            let crash = ConfirmedCrash { server, parts, is_trial, at };
            self.outgoing.push_back(crash.update(now));
            if self.recent_crashes.len() >= RECENT_CRASH_LIMIT {
                self.recent_crashes.pop_front();
            }
            self.recent_crashes.push_back(crash);
        }
    }

    /// Returns the crashes that this daemon has confirmed lately, for daemons that missed the update.
    pub fn crashes_to_repeat(&mut self, now: Timestamp) -> Vec<SendUpdate> {
        self.recent_crashes.retain(|crash| now.since(crash.at) < CRASH_REPEAT_DURATION);
        self.recent_crashes.iter().map(|crash| crash.update(now)).collect()
    }

    pub(super) fn record_part_crash(
        &mut self,
        server: EngineIncarnation,
        parts: &[PartFingerprint],
        at: Timestamp,
        is_trial: bool,
    ) -> VerdictChanges {
        if self.outlived(server, at) {
            return VerdictChanges::default();
        }
        if is_trial {
            self.parts.record_trial_crash(server, parts, at)
        } else {
            self.parts.record_crash(server, parts, at)
        }
    }

    pub(super) fn record_verdicts(&mut self, changes: VerdictChanges) {
        for conviction in &changes.convicted {
            let crashes = conviction.engines.len();
            tracing::warn!(part = %conviction.part, crashes, "request or prompt part crashes servers; refusing it");
        }
        for part in &changes.acquitted {
            tracing::info!(%part, "request or prompt part is no longer refused");
        }
        self.return_verdict_changes(changes);
    }

    /// Takes the verdicts that aren't in the key-value service yet.
    pub fn take_verdict_changes(&mut self) -> VerdictChanges {
        std::mem::take(&mut self.verdict_changes)
    }

    /// Returns verdicts that could not be stored, so that they are taken again.
    pub fn return_verdict_changes(&mut self, changes: VerdictChanges) {
        self.verdict_changes.convicted.extend(changes.convicted);
        self.verdict_changes.acquitted.extend(changes.acquitted);
    }

    /// Queues all that is to be stored, for a key-value service that has lost some of it.
    pub fn store_evidence_again(&mut self) {
        let convicted = self.parts.convictions();
        self.return_verdict_changes(VerdictChanges { convicted, ..Default::default() });
        self.unstored_suspects.extend(self.parts.repeated_requests());
    }

    /// Takes the histories of the requests under suspicion that aren't in the key-value service yet, up
    /// to a limit. A history without crashes withdraws the stored one.
    pub fn take_suspect_histories(&mut self, now: Timestamp) -> Vec<SuspectHistory> {
        let is_cleared = |part: &&PartFingerprint| !self.parts.has_repeated_crashes(**part);
        self.unstored_suspects.extend(self.stored_suspects.iter().filter(is_cleared));
        let mut histories = Vec::new();
        for part in std::mem::take(&mut self.unstored_suspects) {
            if histories.len() == SUSPECT_STORE_LIMIT {
                self.unstored_suspects.insert(part);
            } else if let Some(history) = self.parts.suspect_history(part, now) {
                self.stored_suspects.insert(part);
                histories.push(history);
            } else if !self.parts.has_repeated_crashes(part) && self.stored_suspects.remove(&part) {
                histories.push(SuspectHistory { part, crashes: Vec::new() });
            }
        }
        histories
    }

    /// Returns a request whose history could not be stored or withdrawn, so that it is taken again.
    pub fn return_suspect(&mut self, part: PartFingerprint) {
        self.unstored_suspects.insert(part);
        self.stored_suspects.insert(part);
    }

    /// Applies what daemons before this one have stored of a request under suspicion.
    pub fn restore_suspect(&mut self, history: &SuspectHistory, now: Timestamp) {
        let changes = self.parts.restore_history(history, now);
        self.record_verdicts(changes);
    }

    /// Returns the convictions and the crashes of suspects for a daemon that is heard for the first
    /// time.
    pub fn evidence_updates(&self, now: Timestamp) -> Vec<SendUpdate> {
        let convictions = self.parts.convictions().into_iter().take(CONVICTION_UPDATE_LIMIT);
        let update = |PartConviction { part, engines }| SendUpdate::PartConvicted {
            part: part.0,
            engines: engines.into_iter().map(|engine| engine.0).collect(),
        };
        let crashes = self.parts.crashes_of_suspects(now).into_iter().take(SUSPECT_UPDATE_LIMIT);
        let crash_update = |crash: SuspectCrash| {
            let SuspectCrash { part, engine, at, is_trial } = crash;
            ConfirmedCrash { server: engine, parts: vec![part], is_trial, at }.update(now)
        };
        convictions.map(update).chain(crashes.map(crash_update)).collect()
    }

    /// Applies a conviction that another daemon or the key-value service knows. If completed requests
    /// outweigh it here, corrects both. Returns whether the part is newly convicted.
    pub fn apply_conviction(&mut self, conviction: &PartConviction, now: Timestamp) -> bool {
        let part = conviction.part;
        if self.parts.is_convicted(part) {
            return false;
        }
        let is_convicted = self.parts.apply_conviction(conviction, now);
        if !is_convicted {
            self.outgoing.push_back(SendUpdate::PartsProven { parts: vec![part.0] });
            self.record_verdicts(VerdictChanges { acquitted: vec![part], ..Default::default() });
        }
        is_convicted
    }

    /// Returns whether a response that ends with its connection has to be confirmed before it counts
    /// as completed for these parts.
    pub fn needs_confirmation(&self, parts: &[PartFingerprint]) -> bool {
        parts.iter().any(|part| !part.is_request()) || !self.parts.blamed(parts).is_empty()
    }

    /// Records a completed request with these parts. Returns whether there is an update for the
    /// other daemons, who need it only if engines have crashed under the parts.
    pub fn complete_parts(&mut self, parts: &[PartFingerprint], now: Timestamp) -> bool {
        let blamed = self.parts.blamed(parts);
        let is_news = !blamed.is_empty();
        if is_news {
            let parts = part_numbers(&blamed);
            self.outgoing.push_back(SendUpdate::PartsCompleted { parts });
        }
        // The daemon that stored their crashes may have ended.
        let is_repeated =
            |part: &&PartFingerprint| part.is_request() && self.parts.has_repeated_crashes(**part);
        self.stored_suspects.extend(blamed.iter().filter(is_repeated));
        // Most requests are never sent again, so there are no records of them until a crash.
        let is_recorded =
            |part: &&PartFingerprint| !part.is_request() || self.parts.is_known(**part);
        let parts: Vec<_> = parts.iter().filter(is_recorded).copied().collect();
        let changes = self.parts.record_completion(&parts, now);
        self.record_verdicts(changes);
        is_news
    }

    /// Tells the other daemons which of the parts of a crash have completed requests here, unless
    /// one of them has told that before.
    pub(super) fn prove_parts(&mut self, parts: &[PartFingerprint], now: Timestamp) {
        let mut proven = self.parts.completed_here(parts, now);
        proven.retain(|part| self.parts.announce_proven(*part, now));
        if !proven.is_empty() {
            self.outgoing.push_back(SendUpdate::PartsProven { parts: part_numbers(&proven) });
        }
    }
}

pub(super) fn part_numbers(parts: &[PartFingerprint]) -> Vec<u64> {
    parts.iter().map(|part| part.0).collect()
}

pub(super) fn part_fingerprints(numbers: &[u64]) -> Vec<PartFingerprint> {
    numbers.iter().map(|number| PartFingerprint(*number)).collect()
}
