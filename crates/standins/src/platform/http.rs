//! The HTTP interface of the stand-in platform.

use std::{sync::Arc, time::Duration};

use gooseberry_core::time::Timestamp;
use gooseberry_edges::clock::Clock;
use gooseberry_wire::platform::{
    KvConflict, KvPut, KvRecord, KvWritten, LeaseGrant, LeaseRequest, PlatformCounts,
    PlatformFaults, VmEntry, VmListing, WeightGrant,
};
use parking_lot::Mutex;
use serde::Deserialize;
use tide::{Request, StatusCode};

use crate::{
    platform::{
        limits::RateLimit,
        store::{KeyStore, VALUE_LIMIT},
    },
    response,
};

const SECONDS_PER_MINUTE: u32 = 60;

/// Rates and lags of the stand-in platform.
#[derive(Clone, Debug, bpaf::Bpaf)]
pub struct PlatformOptions {
    /// Writes allowed a second
    #[bpaf(long, argument("N"), fallback(400))]
    pub writes_per_second: u32,
    /// Reads allowed a second
    #[bpaf(long, argument("N"), fallback(2000))]
    pub reads_per_second: u32,
    /// Loads of weights allowed a minute
    #[bpaf(long, argument("N"), fallback(60))]
    pub weights_per_minute: u32,
    /// Age of the list of VMs, in milliseconds
    #[bpaf(long, argument("MS"), fallback(1000))]
    pub vm_lag_ms: u64,
}

/// Holds the state of the stand-in platform.
pub struct PlatformState {
    clock: Clock,
    store: Mutex<KeyStore>,
    limits: Mutex<CallLimits>,
    counts: Mutex<PlatformCounts>,
    faults: Mutex<PlatformFaults>,
    vms: Mutex<VmHistory>,
}

struct CallLimits {
    writes: RateLimit,
    reads: RateLimit,
    weights: RateLimit,
}

/// Keeps the lists of VMs that are younger than the lag.
struct VmHistory {
    lag: Duration,
    lists: Vec<(Timestamp, Vec<VmEntry>)>,
}

/// Names what a call counts as.
#[derive(Clone, Copy)]
enum CallKind {
    Read,
    List,
    Watch,
    Write,
    Lease,
    Weights,
}

type PlatformRequest = Request<Arc<PlatformState>>;

impl PlatformState {
    /// Makes an empty platform.
    pub fn new(options: &PlatformOptions) -> Arc<Self> {
        let clock = Clock::system();
        let now = clock.now();
        Arc::new(Self {
            store: Mutex::default(),
            limits: Mutex::new(CallLimits {
                writes: RateLimit::new(options.writes_per_second, now),
                reads: RateLimit::new(options.reads_per_second, now),
                weights: RateLimit::new(options.weights_per_minute, minutes(now)),
            }),
            counts: Mutex::new(no_counts()),
            faults: Mutex::new(no_faults()),
            vms: Mutex::new(VmHistory {
                lag: Duration::from_millis(options.vm_lag_ms),
                lists: Vec::new(),
            }),
            clock,
        })
    }

    /// Ends lapsed leases for ever.
    pub async fn expire_leases(&self) {
        loop {
            self.clock.sleep(Duration::from_millis(50)).await;
            self.store.lock().expire(self.clock.now());
        }
    }

    /// Counts a call and lets the faults and limits act on it.
    async fn admit(&self, kind: CallKind) -> Option<StatusCode> {
        self.count(kind);
        let (down, delay) = {
            let faults = self.faults.lock();
            (faults.down, faults.delay_ms)
        };
        if delay > 0 {
            self.clock.sleep(Duration::from_millis(delay)).await;
        }
        if down {
            return Some(StatusCode::ServiceUnavailable);
        }
        let now = self.clock.now();
        let mut limits = self.limits.lock();
        let allowed = match kind {
            CallKind::Read | CallKind::List | CallKind::Watch => limits.reads.try_acquire(now),
            CallKind::Write | CallKind::Lease => limits.writes.try_acquire(now),
            CallKind::Weights => true,
        };
        (!allowed).then_some(StatusCode::TooManyRequests)
    }

    fn count(&self, kind: CallKind) {
        let mut counts = self.counts.lock();
        let count = match kind {
            CallKind::Read => &mut counts.reads,
            CallKind::List => &mut counts.lists,
            CallKind::Watch => &mut counts.watches,
            CallKind::Write => &mut counts.writes,
            CallKind::Lease => &mut counts.leases,
            CallKind::Weights => &mut counts.weights,
        };
        *count += 1;
    }

    /// Tells whether the answer of this write is to be lost.
    fn loses_answer(&self) -> bool {
        let mut faults = self.faults.lock();
        let loses = faults.lose_write_answers > 0;
        faults.lose_write_answers = faults.lose_write_answers.saturating_sub(1);
        loses
    }

    fn answer_write(&self, written: Result<u64, Option<KvRecord>>) -> tide::Result {
        if self.loses_answer() {
            return response::aborted();
        }
        match written {
            Ok(revision) => response::json(StatusCode::Ok, &KvWritten { revision }),
            Err(current) => response::json(StatusCode::Conflict, &KvConflict { current }),
        }
    }
}

/// Slows time down, so that a limit for each second becomes one for each minute.
fn minutes(now: Timestamp) -> Timestamp {
    Timestamp::from_millis(now.as_millis() / u64::from(SECONDS_PER_MINUTE))
}

fn no_counts() -> PlatformCounts {
    PlatformCounts { reads: 0, writes: 0, watches: 0, lists: 0, leases: 0, weights: 0 }
}

fn no_faults() -> PlatformFaults {
    PlatformFaults { down: false, delay_ms: 0, lose_write_answers: 0, vm_lag_ms: None }
}

/// Builds the application that processes call.
pub fn app(state: Arc<PlatformState>) -> tide::Server<Arc<PlatformState>> {
    let mut app = tide::with_state(state);
    app.at("/kv/*key").get(get).put(put).delete(delete);
    app.at("/watch/*key").get(watch);
    app.at("/list").get(list);
    app.at("/leases").post(grant_lease);
    app.at("/leases/:lease").put(renew_lease).delete(release_lease);
    app.at("/vms").get(vms);
    app.at("/weights/:model").post(reserve_weights);
    app
}

/// Builds the application of the control port.
pub fn control(state: Arc<PlatformState>) -> tide::Server<Arc<PlatformState>> {
    let mut app = tide::with_state(state);
    app.at("/faults").put(set_faults);
    app.at("/counts").get(counts);
    app.at("/vms").put(set_vms);
    app
}

async fn get(request: PlatformRequest) -> tide::Result {
    let state = request.state();
    if let Some(status) = state.admit(CallKind::Read).await {
        return response::status(status);
    }
    let found = state.store.lock().get(request.param("key")?);
    match found {
        Some(record) => response::json(StatusCode::Ok, &record),
        None => response::status(StatusCode::NotFound),
    }
}

async fn put(mut request: PlatformRequest) -> tide::Result {
    let put: KvPut = request.body_json().await?;
    let state = request.state();
    if let Some(status) = state.admit(CallKind::Write).await {
        return response::status(status);
    }
    if put.value.len() > VALUE_LIMIT {
        return response::status(StatusCode::PayloadTooLarge);
    }
    let written = state.store.lock().put(request.param("key")?, put);
    state.answer_write(written)
}

#[derive(Deserialize)]
struct DeleteQuery {
    expected: u64,
}

async fn delete(request: PlatformRequest) -> tide::Result {
    let state = request.state();
    if let Some(status) = state.admit(CallKind::Write).await {
        return response::status(status);
    }
    let query: DeleteQuery = request.query()?;
    let written = state.store.lock().delete(request.param("key")?, query.expected);
    state.answer_write(written)
}

#[derive(Deserialize)]
struct ListQuery {
    prefix: String,
}

async fn list(request: PlatformRequest) -> tide::Result {
    let state = request.state();
    if let Some(status) = state.admit(CallKind::List).await {
        return response::status(status);
    }
    let query: ListQuery = request.query()?;
    let listing = state.store.lock().list(&query.prefix);
    response::json(StatusCode::Ok, &listing)
}

#[derive(Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

async fn watch(request: PlatformRequest) -> tide::Result {
    let state = request.state();
    if let Some(status) = state.admit(CallKind::Watch).await {
        return response::status(status);
    }
    let query: WatchQuery = request.query()?;
    let key = request.param("key")?;
    let deadline = state.clock.now() + Duration::from_millis(query.wait_ms);
    loop {
        let (found, changed) = {
            let mut store = state.store.lock();
            (store.get(key), store.subscribe())
        };
        if let Some(record) = found.filter(|record| record.revision > query.after) {
            return response::json(StatusCode::Ok, &record);
        }
        let left = deadline.since(state.clock.now());
        if left.is_zero() || state.clock.timeout(left, changed.recv()).await.is_err() {
            return response::status(StatusCode::NoContent);
        }
        if state.faults.lock().down {
            return response::status(StatusCode::ServiceUnavailable);
        }
    }
}

async fn grant_lease(mut request: PlatformRequest) -> tide::Result {
    let wanted: LeaseRequest = request.body_json().await?;
    let state = request.state();
    if let Some(status) = state.admit(CallKind::Lease).await {
        return response::status(status);
    }
    let ttl = Duration::from_millis(wanted.ttl_ms);
    let lease = state.store.lock().grant(ttl, state.clock.now());
    response::json(StatusCode::Ok, &LeaseGrant { lease, ttl_ms: wanted.ttl_ms })
}

async fn renew_lease(request: PlatformRequest) -> tide::Result {
    let state = request.state();
    if let Some(status) = state.admit(CallKind::Lease).await {
        return response::status(status);
    }
    let lease = request.param("lease")?.parse().unwrap_or_default();
    let kept = state.store.lock().renew(lease, state.clock.now());
    response::status(if kept { StatusCode::Ok } else { StatusCode::NotFound })
}

async fn release_lease(request: PlatformRequest) -> tide::Result {
    let state = request.state();
    if let Some(status) = state.admit(CallKind::Lease).await {
        return response::status(status);
    }
    let lease = request.param("lease")?.parse().unwrap_or_default();
    state.store.lock().release(lease);
    response::status(StatusCode::Ok)
}

async fn vms(request: PlatformRequest) -> tide::Result {
    let state = request.state();
    if let Some(status) = state.admit(CallKind::Read).await {
        return response::status(status);
    }
    let history = state.vms.lock();
    let visible = state.clock.now() - history.lag;
    let found = history.lists.iter().rev().find(|(made_at, _)| *made_at <= visible);
    let listing = match found.or(history.lists.first()) {
        Some((made_at, vms)) => VmListing { vms: vms.clone(), made_at_ms: made_at.as_millis() },
        None => VmListing { vms: Vec::new(), made_at_ms: 0 },
    };
    response::json(StatusCode::Ok, &listing)
}

async fn reserve_weights(request: PlatformRequest) -> tide::Result {
    let state = request.state();
    if let Some(status) = state.admit(CallKind::Weights).await {
        return response::status(status);
    }
    let now = minutes(state.clock.now());
    let wait = state.limits.lock().weights.reserve(now);
    let wait_ms = (wait * SECONDS_PER_MINUTE).as_millis() as u64;
    response::json(StatusCode::Ok, &WeightGrant { wait_ms })
}

async fn set_faults(mut request: PlatformRequest) -> tide::Result {
    let faults: PlatformFaults = request.body_json().await?;
    let state = request.state();
    if let Some(lag) = faults.vm_lag_ms {
        state.vms.lock().lag = Duration::from_millis(lag);
    }
    *state.faults.lock() = faults;
    response::status(StatusCode::Ok)
}

async fn counts(request: PlatformRequest) -> tide::Result {
    let counts = request.state().counts.lock().clone();
    response::json(StatusCode::Ok, &counts)
}

async fn set_vms(mut request: PlatformRequest) -> tide::Result {
    let vms: Vec<VmEntry> = request.body_json().await?;
    let state = request.state();
    let now = state.clock.now();
    state.vms.lock().lists.push((now, vms));
    response::status(StatusCode::Ok)
}
