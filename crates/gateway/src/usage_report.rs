//! The leader's duty to report the usage of each window.
//!
//! `docs/design/usage-reports.md` has the proof that two different reports of a window are never sent.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use async_std::task;
use bytes::Bytes;
use gooseberry_core::{
    serving::{
        store_era::StoreRevision,
        usage::{self, CollectedCounts, ReportState, ReportStep, UsageEra, UsageRound, WindowPlan},
    },
    time::Timestamp,
};
use gooseberry_edges::clock::Clock;
use gooseberry_platform::{
    duties::{self, DutyRequest},
    store::{PutCondition, StoreClient, StoreError, StoreKey, StorePut},
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    duties::{DutyAuthority, DutyOutcome},
    metrics::GatewayMetrics,
    peers::PeerDirectory,
    usage::{UsageLog, KEY_PREFIX},
    usage_poll::{self, AnswerRound},
};

/// Key with the era in which reports are stored, a [`UsageEraRecord`].
const ERA_KEY: &str = "usage-era";
/// Format of its value.
const ERA_FORMAT: u32 = 1;
/// Timeout of a call to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time in one round of the leader after which no further report is sent, so that stage orders aren't
/// delayed.
const SEND_TIME: Duration = Duration::from_millis(1000);
/// Reports stored in one round of the leader. With one removal, they take less than its lease lasts.
const WRITE_LIMIT: usize = 2;

/// Value of the key with the era. Other builds read it too, so fields are only added.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct UsageEraRecord {
    version: u32,
    era: u64,
    /// True time by which the era had begun, in milliseconds since the start of 1970.
    since_ms: u64,
}

/// The counts that the leader collects while its term lasts.
#[derive(Debug, Default)]
pub struct UsageCollector {
    state: Mutex<CollectorState>,
}

#[derive(Debug, Default)]
struct CollectorState {
    collected: CollectedCounts,
    round: Option<UsageRound>,
    /// Names of the daemons that didn't answer in it, and the number of those that did.
    silent: Vec<SmolStr>,
    answered: usize,
}

/// Asks the daemons for their counts until the collector is dropped.
pub fn start_collecting(
    collector: &Arc<UsageCollector>,
    log: Arc<UsageLog>,
    peers: Arc<PeerDirectory>,
    clock: Clock,
    lost: prometheus::IntCounter,
) {
    let Some(plan) = log.plan() else {
        return;
    };
    let collector = Arc::downgrade(collector);
    task::spawn(async move {
        while collector.strong_count() > 0 {
            let polled_at = log.true_time();
            let mut round = usage_poll::ask_all(peers.forward_targets(), &clock).await;
            round.answers.push(log.counts());
            let Some(collector) = collector.upgrade() else {
                return;
            };
            let late = collector.record(&plan, round, polled_at);
            if late > 0 {
                lost.inc_by(late);
                tracing::warn!(requests = late, "counts arrived after their report was stored");
            }
            drop(collector);
            let now = log.true_time();
            clock.sleep(plan.next_poll(now).since(now)).await;
        }
    });
}

impl UsageCollector {
    fn record(&self, plan: &WindowPlan, round: AnswerRound, polled_at: Timestamp) -> u64 {
        let mut state = self.state.lock();
        state.answered = round.answers.len();
        state.silent = round.silent;
        let is_complete = state.silent.is_empty();
        state.round = Some(UsageRound { began_at: polled_at, is_complete });
        state.collected.remove_before(plan.oldest_useful(polled_at));
        let answers = round.answers.into_iter();
        answers.map(|answer| state.collected.merge(answer.daemon, answer.windows)).sum()
    }
}

/// A report whose stored bytes are known.
#[derive(Clone, Debug)]
struct StoredReport {
    body: Bytes,
    state: ReportState,
}

/// What outlasts the terms of this daemon as the leader.
#[derive(Debug, Default)]
pub struct ReportMemory {
    reports: BTreeMap<u64, StoredReport>,
}

/// The duty during one term of the leader.
#[derive(Debug)]
pub struct UsageDuty {
    collector: Arc<UsageCollector>,
    era: Option<UsageEra>,
    /// Key of the leader, and its revision.
    leader_key: &'static str,
    term: StoreRevision,
    /// True time at which it was acquired.
    acquired_at: Timestamp,
    /// Revisions of the stored reports of this era that aren't removed.
    keys: HashMap<u64, StoreRevision>,
    /// Window before which all were checked for whether they were stored.
    checked_before: Option<u64>,
}

impl UsageDuty {
    /// Creates the duty of a term that begins.
    pub fn new(
        collector: Arc<UsageCollector>,
        leader_key: &'static str,
        term: StoreRevision,
        acquired_at: Timestamp,
    ) -> Self {
        Self {
            leader_key,
            collector,
            era: None,
            term,
            acquired_at,
            keys: HashMap::new(),
            checked_before: None,
        }
    }

    /// Stores, sends and removes reports.
    ///
    /// # Errors
    ///
    /// Returns the first error of a call to the key-value service.
    pub async fn step(
        &mut self,
        memory: &mut ReportMemory,
        log: &UsageLog,
        metrics: &GatewayMetrics,
        authority: &mut DutyAuthority,
        client: &mut StoreClient,
    ) -> Result<(), StoreError> {
        let Some(plan) = log.plan() else {
            return Ok(());
        };
        let now = log.true_time();
        let era = match self.era {
            Some(era) => era,
            None => {
                // Only in the first era the token is the revision itself.
                let is_first = authority.token() == self.term.number;
                self.take_over(memory, &plan, client, now, is_first).await?
            }
        };
        self.record_unstored(memory, metrics, &plan, now);
        self.remove_old(&plan, client, now).await?;
        let states = memory.reports.iter().map(|(window, report)| (*window, report.state));
        let round = self.collector.state.lock().round;
        let steps = usage::steps(&plan, era, &states.collect(), round, now);
        let (mut writes, mut may_send) = (0, true);
        let until = now + SEND_TIME;
        for step in steps {
            match step {
                ReportStep::Store(window) if writes < WRITE_LIMIT => {
                    // Windows without counts must not take the place of others.
                    writes += usize::from(self.store(memory, log, &plan, client, window).await?);
                }
                ReportStep::Send(window) if may_send && log.true_time() < until => {
                    let outcome = send(memory, metrics, authority, client, window).await?;
                    // The API doesn't respond, or there are too many calls.
                    may_send = !matches!(outcome, DutyOutcome::Unknown | DutyOutcome::RateLimited);
                }
                ReportStep::Miss(window) => {
                    metrics.usage_missed.inc();
                    tracing::warn!(window, "usage report wasn't accepted while it was of use");
                    memory.reports.remove(&window);
                }
                ReportStep::Forget(window) => {
                    memory.reports.remove(&window);
                }
                ReportStep::Store(_) | ReportStep::Send(_) => {}
            }
        }
        Ok(())
    }

    /// Counts the windows that were never stored and whose reports are of no use any more.
    fn record_unstored(
        &mut self,
        memory: &ReportMemory,
        metrics: &GatewayMetrics,
        plan: &WindowPlan,
        now: Timestamp,
    ) {
        let oldest = plan.oldest_useful(now);
        let checked_before = self.checked_before.replace(oldest).unwrap_or(oldest);
        for window in checked_before..oldest {
            if !self.keys.contains_key(&window) && !memory.reports.contains_key(&window) {
                metrics.usage_missed.inc();
                tracing::warn!(window, "usage report was never stored");
            }
        }
    }

    /// Reads what earlier leaders have stored. `is_first` tells whether no earlier era is known.
    async fn take_over(
        &mut self,
        memory: &mut ReportMemory,
        plan: &WindowPlan,
        client: &mut StoreClient,
        now: Timestamp,
        is_first: bool,
    ) -> Result<UsageEra, StoreError> {
        let number = self.term.era;
        let record = client.read_key(ERA_KEY, number, CALL_TIMEOUT).await?;
        let record =
            record.and_then(|(text, _)| serde_json::from_slice::<UsageEraRecord>(&text).ok());
        let stored = record.map(|record| UsageEra {
            era: record.era,
            since: Timestamp::from_millis(record.since_ms),
        });
        let era = UsageEra::of_term(stored, number, is_first, self.acquired_at);
        if stored != Some(era) {
            let since_ms = era.since.as_millis();
            let record = UsageEraRecord { version: ERA_FORMAT, era: number, since_ms };
            let value = serde_json::to_vec(&record)?;
            let put =
                StorePut { key: ERA_KEY, value: &value, lease: None, condition: PutCondition::Any };
            let revision = client.put(&put, CALL_TIMEOUT).await?;
            tracing::info!(era = number, %revision, since_ms, "windows that ended before are not stored again");
        }
        for change in client.read_own(KEY_PREFIX, number, CALL_TIMEOUT).await?.changes {
            let StoreKey::Own(key) = &change.subject else {
                continue;
            };
            let window = key.strip_prefix(KEY_PREFIX).and_then(|text| text.parse().ok());
            let (Some(window), Some(value)) = (window, change.value) else {
                continue;
            };
            self.keys.insert(window, StoreRevision { era: number, number: change.revision });
            if era.has_window(window, plan) && plan.is_useful(window, now) {
                let report = StoredReport { body: value.into(), state: ReportState::Stored };
                memory.reports.entry(window).or_insert(report);
            }
        }
        self.era = Some(era);
        Ok(era)
    }

    /// Stores the report of a window. Returns whether it made a call.
    async fn store(
        &mut self,
        memory: &mut ReportMemory,
        log: &UsageLog,
        plan: &WindowPlan,
        client: &mut StoreClient,
        window: u64,
    ) -> Result<bool, StoreError> {
        let (counts, answered, silent) = {
            let state = self.collector.state.lock();
            (state.collected.total(window), state.answered, state.silent.clone())
        };
        // No daemon that is left knows what was counted before all of them were started again.
        if counts.is_empty() && plan.end(window) <= log.started_at() {
            return Ok(false);
        }
        let body = duties::usage_body(window, &counts);
        let key = format!("{KEY_PREFIX}{window}");
        let condition = PutCondition::MissingWhile { key: self.leader_key, revision: self.term };
        let put = StorePut { key: &key, value: &body, lease: None, condition };
        let mut is_new = true;
        let (body, revision) = match client.put(&put, CALL_TIMEOUT).await {
            Ok(revision) => (body, revision),
            Err(StoreError::Conflict) => {
                is_new = false;
                // The report is stored already, or a call without a response has stored it.
                match client.read_key(&key, self.term.era, CALL_TIMEOUT).await? {
                    Some((stored, revision)) => (stored.into(), revision),
                    None => return Ok(true),
                }
            }
            Err(fault) => return Err(fault),
        };
        self.collector.state.lock().collected.close(window);
        self.keys.insert(window, revision);
        memory.reports.insert(window, StoredReport { body, state: ReportState::Stored });
        tracing::info!(
            window,
            accounts = counts.len(),
            requests = counts.values().sum::<u64>(),
            answered,
            silent = ?silent.iter().take(8).collect::<Vec<_>>(),
            silent_daemons = silent.len(),
            age_ms = log.true_time().since(plan.end(window)).as_millis() as u64,
            is_new,
            "usage report stored"
        );
        Ok(true)
    }

    async fn remove_old(
        &mut self,
        plan: &WindowPlan,
        client: &mut StoreClient,
        now: Timestamp,
    ) -> Result<(), StoreError> {
        let is_old = |window: &&u64| plan.is_removable(**window, now);
        let old = self.keys.keys().find(is_old).copied();
        let old = old.and_then(|window| self.keys.remove_entry(&window));
        if let Some((window, revision)) = old {
            match client.remove(&format!("{KEY_PREFIX}{window}"), revision, CALL_TIMEOUT).await {
                // Another daemon has removed it.
                Ok(()) | Err(StoreError::Conflict) => {}
                Err(fault) => return Err(fault),
            }
        }
        Ok(())
    }
}

async fn send(
    memory: &mut ReportMemory,
    metrics: &GatewayMetrics,
    authority: &mut DutyAuthority,
    client: &mut StoreClient,
    window: u64,
) -> Result<DutyOutcome, StoreError> {
    let Some(report) = memory.reports.get_mut(&window) else {
        return Ok(DutyOutcome::Unknown);
    };
    let outcome = authority.call(client, &DutyRequest::usage(report.body.clone())).await?;
    if outcome == DutyOutcome::Accepted {
        report.state = ReportState::Accepted;
        metrics.usage_reported.inc();
    }
    tracing::info!(window, bytes = report.body.len(), %outcome, token = authority.token(), "usage report sent");
    Ok(outcome)
}
