//! Counts the requests of each account that began to run at this daemon, and tells the leader.
//!
//! The counts are cumulative for as long as the process runs, so that a lost response costs nothing.

use std::collections::HashMap;

use bytes::Bytes;
use gooseberry_core::{
    serving::usage::{WallOffsets, WindowCounts, WindowPlan},
    time::Timestamp,
};
use gooseberry_edges::clock::Clock;
use gooseberry_platform::store::{StoreChange, StoreKey};
use gooseberry_transport::body::{ArrivingBody, ResponseBody};
use http::{HeaderName, Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

use crate::{
    settings::{DutyKind, DutyOptions},
    updates::SendUpdate,
};

/// Prefix of the keys with the stored reports.
pub const KEY_PREFIX: &str = "usage/";

/// Header of the leader's question, with the other daemon's token.
pub const TOKEN: HeaderName = HeaderName::from_static("gooseberry-usage-token");
/// Path of the question. Another format of the answer gets another path.
pub const PATH: &str = "/usage/1";
/// A daemon's answer. Other builds read it too, so it doesn't change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageAnswer {
    /// Hash of the daemon's name and incarnation.
    pub daemon: u64,
    /// Counts since the daemon's start, of the windows whose reports are still of use.
    pub windows: WindowCounts,
}

#[derive(Debug, Default)]
struct LogState {
    offsets: WallOffsets,
    windows: HashMap<u64, HashMap<SmolStr, u64>>,
}

/// Requests of this daemon that began to run, by window and account.
#[derive(Debug)]
pub struct UsageLog {
    /// None if the usage isn't reported.
    plan: Option<WindowPlan>,
    daemon: u64,
    clock: Clock,
    started_at: Timestamp,
    state: Mutex<LogState>,
}

impl UsageLog {
    /// Creates an empty log. `daemon` is the hash of this daemon's name and incarnation.
    pub fn new(options: Option<&DutyOptions>, daemon: u64, clock: Clock) -> Self {
        let options = options.filter(|row| row.duties.contains(&DutyKind::UsageReport));
        let plan = options.map(|row| WindowPlan::new(row.report_window, row.report_delay));
        let mut offsets = WallOffsets::default();
        offsets.update(clock.wall_time(), clock.time_since_boot());
        let started_at = offsets.true_time(clock.time_since_boot());
        let state = Mutex::new(LogState { offsets, windows: HashMap::new() });
        Self { plan, daemon, clock, started_at, state }
    }

    /// Returns the windows, if the usage is reported.
    pub fn plan(&self) -> Option<WindowPlan> {
        self.plan
    }

    /// Returns the true time.
    pub fn true_time(&self) -> Timestamp {
        self.state.lock().offsets.true_time(self.clock.time_since_boot())
    }

    /// Returns the true time of this daemon's start.
    pub fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// Counts a request that begins to run.
    pub fn record(&self, account: &SmolStr) {
        let Some(plan) = self.plan else {
            return;
        };
        let mut state = self.state.lock();
        let window = plan.window(state.offsets.true_time(self.clock.time_since_boot()));
        *state.windows.entry(window).or_default().entry(account.clone()).or_default() += 1;
    }

    /// Returns the update that states this daemon's wall clock, and removes old counts.
    pub fn clock_update(&self) -> Option<SendUpdate> {
        let plan = self.plan?;
        let (wall, now) = (self.clock.wall_time(), self.clock.time_since_boot());
        let mut state = self.state.lock();
        state.offsets.update(wall, now);
        let oldest = plan.oldest_useful(state.offsets.true_time(now));
        state.windows.retain(|window, _| *window >= oldest);
        Some(SendUpdate::ClockStated { wall_ms: wall.as_millis() })
    }

    /// Records the wall clock that another daemon states.
    pub fn record_clocks(&self, daemon: u64, updates: &[SendUpdate]) {
        for update in updates {
            if let SendUpdate::ClockStated { wall_ms } = update {
                self.state.lock().offsets.record(daemon, *wall_ms, self.clock.time_since_boot());
            }
        }
    }

    /// Returns the counts since the daemon's start.
    pub fn counts(&self) -> UsageAnswer {
        let state = self.state.lock();
        let windows = state.windows.iter().map(|(window, counts)| {
            (*window, counts.iter().map(|(account, count)| (account.clone(), *count)).collect())
        });
        UsageAnswer { daemon: self.daemon, windows: windows.collect() }
    }
}

/// Removes the stored reports from what a watch returned. Only the leader reads them, and they are too
/// large to be kept or passed on.
pub fn remove_reports(changes: &mut Vec<StoreChange>) {
    changes.retain(|change| match &change.subject {
        StoreKey::Own(key) => !key.starts_with(KEY_PREFIX),
        _ => true,
    });
}

/// Returns whether a request of another daemon asks for the counts.
pub fn is_question(request: &Request<ArrivingBody>) -> bool {
    request.headers().contains_key(TOKEN)
}

/// Answers the leader's question for the counts.
pub fn answer(
    log: &UsageLog,
    own_token: &str,
    request: &Request<ArrivingBody>,
) -> Response<ResponseBody> {
    let token = request.headers().get(TOKEN);
    let is_known =
        token.is_some_and(|token| bool::from(token.as_bytes().ct_eq(own_token.as_bytes())));
    let is_answered = is_known && request.uri().path() == PATH && log.plan.is_some();
    let body = match postcard::to_stdvec(&log.counts()) {
        Ok(body) if is_answered => body,
        _ => {
            let mut response = Response::new(ResponseBody::whole(Bytes::new()));
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
    };
    Response::new(ResponseBody::whole(body))
}
