//! HTTP interface of the stand-in platform.

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

/// Rate limits and lags of the stand-in platform.
#[derive(Clone, Debug, bpaf::Bpaf)]
pub struct PlatformOptions {
    /// Limit of writes and lease calls per second
    #[bpaf(long, argument("N"), fallback(400))]
    pub writes_per_second: u32,
    /// Limit of reads, lists and watches per second
    #[bpaf(long, argument("N"), fallback(2000))]
    pub reads_per_second: u32,
    /// Rate at which weight loads are granted, per minute; further ones wait
    #[bpaf(long, argument("N"), fallback(60))]
    pub weights_per_minute: u32,
    /// Age at which a new list of VMs becomes visible, in milliseconds
    #[bpaf(long, argument("MS"), fallback(1000))]
    pub vm_lag_ms: u64,
}

/// State of the stand-in platform.
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

/// All lists of VMs that were set, with the times at which they were.
struct VmHistory {
    lag: Duration,
    lists: Vec<(Timestamp, Vec<VmEntry>)>,
}

/// Kind under which a call is counted and limited.
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
                weights: RateLimit::new(options.weights_per_minute, scale_to_minutes(now)),
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

    /// Ends expired leases every 50 ms; never returns.
    pub async fn expire_leases(&self) {
        loop {
            self.clock.sleep(Duration::from_millis(50)).await;
            self.store.lock().expire(self.clock.now());
        }
    }

    /// Counts a call and applies faults and rate limits to it; returns the status of the
    /// response if the call is refused.
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

    /// Returns whether the response to this write is to be lost, and counts it.
    fn takes_lost_response(&self) -> bool {
        let mut faults = self.faults.lock();
        let is_lost = faults.lose_write_answers > 0;
        faults.lose_write_answers = faults.lose_write_answers.saturating_sub(1);
        is_lost
    }

    fn respond_to_write(&self, written: Result<u64, Option<KvRecord>>) -> tide::Result {
        if self.takes_lost_response() {
            return response::aborted();
        }
        match written {
            Ok(revision) => response::json(StatusCode::Ok, &KvWritten { revision }),
            Err(current) => response::json(StatusCode::Conflict, &KvConflict { current }),
        }
    }
}

/// Divides a time by 60, so that a rate per second becomes one per minute.
fn scale_to_minutes(now: Timestamp) -> Timestamp {
    Timestamp::from_millis(now.as_millis() / u64::from(SECONDS_PER_MINUTE))
}

fn no_counts() -> PlatformCounts {
    PlatformCounts { reads: 0, writes: 0, watches: 0, lists: 0, leases: 0, weights: 0 }
}

fn no_faults() -> PlatformFaults {
    PlatformFaults { down: false, delay_ms: 0, lose_write_answers: 0, vm_lag_ms: None }
}

/// Builds the application that serves the daemons and operators' tools.
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

/// Builds the application of the control port, which sets faults and VMs and returns counts.
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
    state.respond_to_write(written)
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
    state.respond_to_write(written)
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
        let remaining = deadline.since(state.clock.now());
        if remaining.is_zero() || state.clock.timeout(remaining, changed.recv()).await.is_err() {
            return response::status(StatusCode::NoContent);
        }
        if state.faults.lock().down {
            return response::status(StatusCode::ServiceUnavailable);
        }
    }
}

async fn grant_lease(mut request: PlatformRequest) -> tide::Result {
    let lease_request: LeaseRequest = request.body_json().await?;
    let state = request.state();
    if let Some(status) = state.admit(CallKind::Lease).await {
        return response::status(status);
    }
    let ttl = Duration::from_millis(lease_request.ttl_ms);
    let lease = state.store.lock().grant(ttl, state.clock.now());
    response::json(StatusCode::Ok, &LeaseGrant { lease, ttl_ms: lease_request.ttl_ms })
}

async fn renew_lease(request: PlatformRequest) -> tide::Result {
    let state = request.state();
    if let Some(status) = state.admit(CallKind::Lease).await {
        return response::status(status);
    }
    let lease = request.param("lease")?.parse().unwrap_or_default();
    let is_renewed = state.store.lock().renew(lease, state.clock.now());
    response::status(if is_renewed { StatusCode::Ok } else { StatusCode::NotFound })
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
    let now = scale_to_minutes(state.clock.now());
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
