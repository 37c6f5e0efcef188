//! Pace of a server that has just started or recovered: the work that it may have in flight, summed
//! over all daemons.
//!
//! Handles the load of a fleet in which a server with an empty queue looks best to all daemons at
//! once, before any of them hears of the sends of the others. The window of such a server is a share
//! of what its peers of the same service and stage hold. It begins small, grows while responses come
//! in time, as in slow start, and shrinks when requests queue, are refused or cut off. A server whose
//! window reaches the whole share of its peers is no longer paced. All daemons see the same
//! responses only in part, so they exchange the window with the time of its last change, and the
//! window changes at most once in [`CHANGE_INTERVAL`] however many daemons see a reason for it.
//!
//! The free part of a window is divided among the daemons by slots of time. If it is smaller than
//! their number, a hash of daemon, server and slot ranks them, so that exactly as many as it allows
//! may send in a slot.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::{serving::directory::EngineStage, time::Timestamp};

/// Window of a server that begins its pace, as a share of what its peers hold.
const INITIAL_SHARE: f64 = 0.125;
/// Smallest window. The limits that follow from it are at least one request.
const MIN_SHARE: f64 = 0.03125;
/// Factor of a growth until the first decrease, and after it.
const SLOW_START_FACTOR: f64 = 2.0;
const CAUTIOUS_FACTOR: f64 = 1.25;
/// Factor of a decrease.
const DECREASE_FACTOR: f64 = 0.5;
/// Shortest time between two changes of a window: one summary between daemons, so that each change
/// is known and has had an effect before the next one.
pub const CHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a change after which a window grows without a response. Otherwise a server without
/// demand, or one whose updates are lost, would stay paced.
const STALE_INTERVAL: Duration = Duration::from_millis(4000);
/// Time for which the peers of a server must have served before it counts as new among them.
const SETTLED_TIME: Duration = Duration::from_secs(5);
/// Time of failures without a success from which a server has to recover. An engine that is slow for
/// a second has one cooldown and doesn't reach it.
const RECOVERY_TIME: Duration = Duration::from_millis(1500);
/// Time after a response in time for which other daemons' windows don't begin a pace here: they may
/// only be cut off from the server themselves.
const TRUST_TIME: Duration = Duration::from_millis(2000);
/// Time for which a window that has reached its end is still sent to the other daemons.
const RELEASE_TIME: Duration = Duration::from_millis(2000);
/// Factor on the shortest time seen, relative to the expected one, from which a response counts as
/// queued for longer than at the peers, and the time in addition that steps and links may take, in
/// milliseconds.
const QUEUE_FACTOR: f64 = 2.0;
const QUEUE_SLACK_MS: f64 = 80.0;
/// Bounds of the shortest time relative to the expected one. Speeds of a service's engines differ by
/// more than a factor of two.
const BASE_RATIO_BOUNDS: (f64, f64) = (0.3, 2.5);
/// Time in which the sends of other daemons become known: by updates on prefills, and by summaries
/// on other requests.
const PREFILL_SLOT: Duration = Duration::from_millis(100);
const SUMMARY_SLOT: Duration = Duration::from_millis(500);

/// Work of a server or of its peers on average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HeldWork {
    /// Running requests, with those whose prefill is pending.
    pub requests: f64,
    /// Work of the pending prefills, in the unit of `PromptShape::prefill_work`.
    pub tokens: f64,
}

/// Why a window changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PaceReason {
    /// The server started while its peers had served for a while.
    Started,
    /// The server came back after failures.
    Recovered,
    /// Responses came in time.
    Answered,
    /// A response took much longer than without a queue.
    Queued,
    /// The server refused a request or cut off its response.
    Refused,
    /// Nothing has been known for a while.
    Stale,
    /// Another daemon has changed it.
    Told,
}

/// A change of a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceChange {
    pub from: f64,
    pub to: f64,
    pub reason: PaceReason,
    /// Time since the change before.
    pub age: Duration,
}

/// The window as daemons exchange it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceStatement {
    /// Share of what the peers hold; 1 if the server is no longer paced.
    pub window: f64,
    pub changed_at: Timestamp,
}

/// Daemons among which a window is divided.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PaceRoster {
    /// Hash of this daemon's name and incarnation.
    pub own: u64,
    /// Other daemons that this one hears.
    pub peers: Vec<u64>,
    /// Share of the daemons that this one hears, from 0 to 1. The rest of a window is left to those
    /// that aren't heard.
    pub heard_share: f64,
}

/// Pace of one incarnation of a server, as known to one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerPace {
    /// The window, or none if the server was never paced.
    statement: Option<PaceStatement>,
    /// Whether another daemon tells the others this window.
    is_told_by_other: bool,
    has_decreased: bool,
    /// Whether at least half of the window was in use since its last change.
    was_used: bool,
    /// Shortest time of a response relative to the expected one.
    base_ratio: Option<f64>,
    /// Time of the first failure without a success since.
    failing_since: Option<Timestamp>,
    /// Time of the last response in time.
    in_time_at: Option<Timestamp>,
    /// Time since which the server has served.
    serving_since: Option<Timestamp>,
    /// What the peers hold on average, as of the last update.
    typical: HeldWork,
    /// Work of the prefill of an average request.
    request_tokens: f64,
    /// Number of the slot to which `slot_sends` belongs, and the sends of this daemon in it less the
    /// requests that ended.
    slot: u64,
    slot_sends: i64,
    /// Change that hasn't been logged.
    change: Option<PaceChange>,
}

impl ServerPace {
    /// Forgets everything at a start of the server.
    pub fn restart(&mut self, now: Timestamp) {
        *self = Self { serving_since: Some(now), ..Self::default() };
    }

    /// Returns whether the server has served long enough for others to count as new beside it.
    pub fn is_settled(&self, now: Timestamp) -> bool {
        self.serving_since.is_some_and(|since| now.since(since) >= SETTLED_TIME)
    }

    /// Returns whether the server is paced.
    pub fn is_paced(&self) -> bool {
        self.statement.is_some_and(|statement| statement.window < 1.0)
    }

    /// Returns the window, as a share of what the peers hold; 1 if the server isn't paced.
    pub fn window(&self) -> f64 {
        self.statement.map_or(1.0, |statement| statement.window)
    }

    /// Begins the pace.
    pub fn begin(&mut self, reason: PaceReason, now: Timestamp) {
        self.has_decreased = false;
        self.base_ratio = None;
        self.change(INITIAL_SHARE, reason, now);
    }

    /// Sets what the peers of the server hold on average, and the work of an average request.
    pub fn set_typical(&mut self, typical: HeldWork, request_tokens: f64) {
        self.typical = typical;
        self.request_tokens = request_tokens;
    }

    /// Returns what the peers hold on average.
    pub fn typical(&self) -> HeldWork {
        self.typical
    }

    /// Returns what the server may hold: its window of what its peers hold, and at least one request.
    pub fn limit(&self) -> HeldWork {
        let window = self.window();
        HeldWork {
            requests: (self.typical.requests * window).max(1.0),
            tokens: (self.typical.tokens * window).max(self.request_tokens),
        }
    }

    /// Records a response, or the end of a prefill, that was expected after `expected_ms` without a
    /// queue. `queue_ms` is the time that the work of the peers would take in its queue: the server may
    /// have as long a queue as they have.
    pub fn record_response(
        &mut self,
        expected_ms: f64,
        queue_ms: f64,
        elapsed_ms: f64,
        held: HeldWork,
        now: Timestamp,
    ) {
        self.failing_since = None;
        let ratio = elapsed_ms / expected_ms.max(1.0);
        let base = self.base_ratio.map_or(ratio, |base| base.min(ratio));
        let base = base.clamp(BASE_RATIO_BOUNDS.0, BASE_RATIO_BOUNDS.1);
        self.base_ratio = Some(base);
        if elapsed_ms > expected_ms * base * QUEUE_FACTOR + queue_ms + QUEUE_SLACK_MS {
            self.decrease(PaceReason::Queued, now);
            return;
        }
        self.in_time_at = Some(now);
        self.note_use(held);
        if self.was_used && self.may_change(now) {
            self.grow(PaceReason::Answered, now);
        }
    }

    /// Records that the server refused a request for lack of capacity, or cut off its response.
    pub fn record_refusal(&mut self, now: Timestamp) {
        self.decrease(PaceReason::Refused, now);
    }

    /// Records that a failure has made the server unavailable.
    pub fn record_unavailable(&mut self, now: Timestamp) {
        let since = *self.failing_since.get_or_insert(now);
        if now.since(since) >= RECOVERY_TIME && self.window() > INITIAL_SHARE {
            self.begin(PaceReason::Recovered, now);
        }
    }

    /// Records that the server has completed a request.
    pub fn record_success(&mut self) {
        self.failing_since = None;
    }

    /// Grows a window that hasn't changed for long.
    pub fn expire(&mut self, now: Timestamp) {
        let age = self.statement.map_or(Duration::ZERO, |it| now.since(it.changed_at));
        if age >= STALE_INTERVAL {
            self.grow(PaceReason::Stale, now);
        }
    }

    /// Applies the window of another daemon: the one that changed last, and of two that changed
    /// within one interval the smaller one.
    pub fn apply(&mut self, other: PaceStatement, now: Timestamp) {
        let window = other.window.clamp(MIN_SHARE, 1.0);
        let changed_at = other.changed_at.min(now);
        match self.statement {
            None => {
                let has_responded = self.in_time_at.is_some_and(|at| now.since(at) < TRUST_TIME);
                if has_responded || window >= 1.0 {
                    return;
                }
            }
            Some(own) => {
                let is_later = changed_at > own.changed_at + CHANGE_INTERVAL / 2;
                let is_earlier = own.changed_at > changed_at + CHANGE_INTERVAL / 2;
                if is_earlier || (!is_later && window >= own.window) {
                    // Of daemons that made the same change, only the first one goes on telling it.
                    self.is_told_by_other |=
                        window == own.window && !is_earlier && changed_at <= own.changed_at;
                    return;
                }
                let is_released = own.window >= 1.0;
                if is_released && self.in_time_at.is_some_and(|at| now.since(at) < TRUST_TIME) {
                    return;
                }
            }
        }
        self.has_decreased |= window < self.window() && self.statement.is_some();
        if window != self.window() {
            self.change(window, PaceReason::Told, now);
        }
        self.statement = Some(PaceStatement { window, changed_at });
        self.is_told_by_other = true;
    }

    /// Returns the window if this daemon is to tell the others: while the server is paced, and for a
    /// while afterwards, if the last change was this daemon's. Otherwise all daemons would repeat it.
    pub fn statement(&self, now: Timestamp) -> Option<PaceStatement> {
        let is_due = |statement: &PaceStatement| {
            if self.is_told_by_other {
                return false;
            }
            statement.window < 1.0 || now.since(statement.changed_at) < RELEASE_TIME
        };
        self.statement.filter(is_due)
    }

    /// Takes the last change, for the log.
    pub fn take_change(&mut self) -> Option<PaceChange> {
        self.change.take()
    }

    /// Counts a request that this daemon sends to the server.
    pub fn record_send(&mut self, stage: EngineStage, now: Timestamp) {
        self.slot_sends = self.sends_in_slot(slot(stage, now)) + 1;
        self.slot = slot(stage, now);
    }

    /// Counts the end of a request of this daemon.
    pub fn record_end(&mut self, stage: EngineStage, now: Timestamp) {
        self.slot_sends = self.sends_in_slot(slot(stage, now)) - 1;
        self.slot = slot(stage, now);
    }

    /// Returns whether this daemon may send a request now, if the server holds `held` work of all
    /// daemons as far as known.
    pub fn allows(
        &self,
        server: u64,
        stage: EngineStage,
        held: HeldWork,
        roster: &PaceRoster,
        now: Timestamp,
    ) -> bool {
        if !self.is_paced() {
            return true;
        }
        let limit = self.limit();
        let request_tokens = limit.tokens / limit.requests;
        let free_requests = limit.requests - held.requests;
        let free_by_tokens = (limit.tokens - held.tokens) / request_tokens.max(1.0);
        if free_requests.min(free_by_tokens) < 1.0 {
            // A window in requests isn't whole. A server that holds nothing gets one.
            let is_empty = held.requests < 1.0 && held.tokens < 1.0;
            if !is_empty {
                return false;
            }
        }
        let free = free_requests.min(free_by_tokens).max(1.0);
        let slot = slot(stage, now);
        let sends = self.sends_in_slot(slot);
        // The sends of this daemon in the slot are in `held`, and were free at its start.
        let free_at_start = (free + sends.max(0) as f64) * roster.heard_share;
        sends < own_part(server, slot, free_at_start, roster)
    }

    fn sends_in_slot(&self, slot: u64) -> i64 {
        if self.slot == slot {
            self.slot_sends
        } else {
            0
        }
    }

    fn note_use(&mut self, held: HeldWork) {
        let limit = self.limit();
        // The response that arrives was part of the work a moment ago.
        let is_used =
            (held.requests + 1.0) * 2.0 >= limit.requests || held.tokens * 2.0 >= limit.tokens;
        self.was_used |= is_used;
    }

    fn may_change(&self, now: Timestamp) -> bool {
        self.is_paced()
            && self.statement.is_some_and(|it| now.since(it.changed_at) >= CHANGE_INTERVAL)
    }

    fn grow(&mut self, reason: PaceReason, now: Timestamp) {
        if self.is_paced() {
            let factor = if self.has_decreased { CAUTIOUS_FACTOR } else { SLOW_START_FACTOR };
            self.change((self.window() * factor).min(1.0), reason, now);
        }
    }

    fn decrease(&mut self, reason: PaceReason, now: Timestamp) {
        if self.may_change(now) {
            self.has_decreased = true;
            self.change((self.window() * DECREASE_FACTOR).max(MIN_SHARE), reason, now);
        }
    }

    fn change(&mut self, window: f64, reason: PaceReason, now: Timestamp) {
        let from = self.window();
        let age = self.statement.map_or(Duration::ZERO, |it| now.since(it.changed_at));
        self.statement = Some(PaceStatement { window, changed_at: now });
        self.is_told_by_other = false;
        self.was_used = false;
        self.change = Some(PaceChange { from, to: window, reason, age });
    }
}

/// Returns the number of a slot of time.
fn slot(stage: EngineStage, now: Timestamp) -> u64 {
    let slot = match stage {
        EngineStage::Prefill => PREFILL_SLOT,
        EngineStage::Decode | EngineStage::Mixed => SUMMARY_SLOT,
    };
    now.as_millis() / slot.as_millis() as u64
}

/// Returns how many of the `free` requests a daemon may send in a slot. The parts of all daemons of a
/// roster add up to `free`, rounded down.
fn own_part(server: u64, slot: u64, free: f64, roster: &PaceRoster) -> i64 {
    let rank_hash =
        |daemon: u64| xxh3::xxh3_64_with_seed(&slot.to_le_bytes(), server ^ daemon.rotate_left(17));
    let own = rank_hash(roster.own);
    let daemons = 1 + roster.peers.len() as u64;
    if free < 1.0 {
        // Most daemons aren't heard. In expectation they send as many as are free.
        return i64::from((own as f64) < free * u64::MAX as f64);
    }
    let free = free as u64;
    let rank = roster.peers.iter().filter(|daemon| rank_hash(**daemon) < own).count() as u64;
    (free / daemons + u64::from(rank < free % daemons)) as i64
}
