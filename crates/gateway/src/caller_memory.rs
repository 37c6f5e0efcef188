//! Bounds the memory that is held for callers: bodies as they arrive, requests until they have
//! ended, and responses until their callers have read them.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::FutureExt;
use gooseberry_core::{
    serving::caller_memory::{
        self, BodyProgress, FloodTracker, HolderKey, HolderKind, MemoryExhausted, MemoryLedger,
        MemoryLimits, ShedHolder,
    },
    time::Timestamp,
};
use gooseberry_edges::clock::Clock;
use gooseberry_transport::{
    body::{ArrivingBody, ReadError},
    handle::ConnectionHandle,
};
use http::Extensions;
use http_body::Body;
use http_body_util::BodyExt;
use parking_lot::Mutex;

use crate::metrics::MemoryMetrics;

/// Memory of a request beside its body, in bytes: its head, and its state while it is handled.
const REQUEST_BYTES: usize = 8 * 1024;
/// Memory of a part of a response beside its data, in bytes.
const PART_BYTES: usize = 128;
/// Wait of a response for memory after which it may exceed the bound. What a server has run isn't cut
/// off.
const RESPONSE_WAIT: Duration = Duration::from_millis(500);
/// Time between attempts to get memory for a response.
const RESPONSE_RETRY: Duration = Duration::from_millis(10);
/// The same after that wait. Each attempt looks at all holders, and many responses may wait.
const LATE_RETRY: Duration = Duration::from_millis(100);

/// The reason why a request body isn't read to its end. The request hasn't reached a server.
#[derive(Debug, thiserror::Error)]
pub enum BodyRefusal {
    #[error("the body has more than {0} bytes")]
    TooLong(u64),
    #[error("the body arrives too slowly")]
    TooSlow,
    #[error("the body was shed, because its caller had stalled")]
    Shed,
    #[error("no memory: {0}")]
    Exhausted(#[from] MemoryExhausted),
    #[error("the body ended early: {0}")]
    Truncated(hyper::Error),
}

/// Limits on one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Largest size, in bytes.
    pub bytes: u64,
    /// Least rate, in bytes per second.
    pub min_rate: u64,
}

/// What a holder holds and how it is told that it was shed.
#[derive(Debug)]
enum HeldData {
    /// The part of a body that has arrived. Dropping the sender tells its reader.
    Body { buffer: Vec<u8>, _shed: Sender<()> },
    /// A complete request.
    Request,
    /// A response on a connection, which is closed when the response is shed.
    Response(Option<ConnectionHandle>),
}

#[derive(Debug)]
struct MemoryTable {
    ledger: MemoryLedger,
    data: HashMap<HolderKey, HeldData>,
    floods: FloodTracker,
}

/// The memory that is held for callers.
#[derive(Debug)]
pub struct CallerMemory {
    limits: MemoryLimits,
    clock: Clock,
    metrics: MemoryMetrics,
    table: Mutex<MemoryTable>,
}

/// Memory that is released when this is dropped.
#[derive(Debug)]
struct MemoryHold {
    memory: Arc<CallerMemory>,
    key: HolderKey,
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        let mut table = self.memory.table.lock();
        table.data.remove(&self.key);
        table.ledger.close(self.key);
        self.memory.report(&table);
    }
}

/// Bytes that hold their memory until their last user has dropped them.
struct HeldBytes {
    bytes: Vec<u8>,
    _hold: MemoryHold,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl CallerMemory {
    /// Creates the memory of a daemon, of which nothing is held.
    pub fn new(limits: MemoryLimits, clock: Clock, metrics: MemoryMetrics) -> Self {
        metrics.limit.set(limits.total_bytes as i64);
        let table = MemoryTable {
            ledger: MemoryLedger::new(limits),
            data: HashMap::new(),
            floods: FloodTracker::default(),
        };
        Self { limits, clock, metrics, table: Mutex::new(table) }
    }

    /// Returns the bounds.
    pub fn limits(&self) -> MemoryLimits {
        self.limits
    }

    /// Reads a request body as a whole. The bytes hold the memory of the request.
    ///
    /// # Errors
    ///
    /// Returns an error that tells why the body isn't read to its end.
    pub async fn read_body(
        self: &Arc<Self>,
        mut body: ArrivingBody,
        limits: BodyLimits,
    ) -> Result<Bytes, BodyRefusal> {
        let announced = body.size_hint().exact();
        let longest = announced.unwrap_or(limits.bytes);
        if longest > limits.bytes {
            return Err(BodyRefusal::TooLong(limits.bytes));
        }
        let (sender, shed) = async_channel::bounded(1);
        let hold =
            self.open(HolderKind::Request, HeldData::Body { buffer: Vec::new(), _shed: sender });
        self.push(hold.key, &[], longest as usize)?;
        let mut progress = BodyProgress::new(limits.min_rate, self.clock.now());
        loop {
            let time_left = progress.time_left(self.clock.now());
            let read = self.clock.timeout(time_left, next_frame(&mut body, &shed)).await;
            let data = match read {
                Ok(Ok(Some(data))) => data,
                Ok(Ok(None)) => break,
                Ok(Err(refusal)) => return Err(refusal),
                Err(_) => Bytes::new(),
            };
            if !progress.record(data.len(), self.clock.now()) {
                self.metrics.refusals.with_label_values(&["slow"]).inc();
                return Err(BodyRefusal::TooSlow);
            }
            self.push(hold.key, &data, longest as usize)?;
        }
        self.complete(hold)
    }

    /// Copies a part of a body into its buffer. Kept as it is, the part would keep the whole buffer
    /// that it was read into.
    fn push(&self, key: HolderKey, data: &[u8], longest: usize) -> Result<(), BodyRefusal> {
        let now = self.clock.now();
        let mut table = self.table.lock();
        let Some(HeldData::Body { buffer, .. }) = table.data.get(&key) else {
            return Err(BodyRefusal::Shed);
        };
        let needed = buffer.len() + data.len();
        if needed > longest {
            return Err(BodyRefusal::TooLong(longest as u64));
        }
        let capacity = buffer.capacity();
        let is_new = capacity == 0;
        let capacity = if needed > capacity {
            caller_memory::next_capacity(capacity, needed, longest)
        } else {
            capacity
        };
        if is_new || capacity > buffer.capacity() {
            self.resize(&mut table, key, REQUEST_BYTES + capacity, now).inspect_err(|_| {
                self.metrics.refusals.with_label_values(&["exhausted"]).inc();
            })?;
        }
        if let Some(HeldData::Body { buffer, .. }) = table.data.get_mut(&key) {
            buffer.reserve_exact(capacity - buffer.len());
            buffer.extend_from_slice(data);
        }
        if is_new || !data.is_empty() {
            table.ledger.set_stalled_since(key, Some(now));
        }
        self.report(&table);
        Ok(())
    }

    /// Turns the buffer of a complete body into the bytes of the request.
    fn complete(&self, hold: MemoryHold) -> Result<Bytes, BodyRefusal> {
        let mut table = self.table.lock();
        let Some(HeldData::Body { mut buffer, .. }) =
            table.data.insert(hold.key, HeldData::Request)
        else {
            table.data.remove(&hold.key);
            drop(table);
            return Err(BodyRefusal::Shed);
        };
        buffer.shrink_to_fit();
        table.ledger.force(hold.key, (REQUEST_BYTES + buffer.capacity()) as u64);
        // From now on it is the server that the request waits for.
        table.ledger.set_stalled_since(hold.key, None);
        self.report(&table);
        drop(table);
        Ok(Bytes::from_owner(HeldBytes { bytes: buffer, _hold: hold }))
    }

    /// Reads a server's response of at most `limit_bytes` for the caller of a request with these
    /// extensions. The bytes hold their memory until the caller has read them. `is_waiting` says whether
    /// the response waits for memory instead of its server.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is longer or ends early. Its connection must then be dropped.
    pub async fn read_response(
        self: &Arc<Self>,
        mut body: ArrivingBody,
        limit_bytes: usize,
        caller: &Extensions,
        is_waiting: &AtomicBool,
    ) -> Result<Bytes, ReadError> {
        let longest = body.size_hint().exact().map_or(limit_bytes, |length| length as usize);
        let hold = self.open_response(caller);
        let mut bytes = Vec::new();
        while let Some(frame) = body.frame().await {
            let data = frame.map_err(ReadError::Truncated)?.into_data().unwrap_or_default();
            let needed = bytes.len() + data.len();
            if needed > limit_bytes {
                return Err(ReadError::TooLong(limit_bytes));
            }
            if needed > bytes.capacity() {
                let capacity = caller_memory::next_capacity(bytes.capacity(), needed, longest);
                is_waiting.store(true, Ordering::Relaxed);
                self.grow_response(hold.key, PART_BYTES + capacity).await;
                is_waiting.store(false, Ordering::Relaxed);
                bytes.reserve_exact(capacity - bytes.len());
            }
            bytes.extend_from_slice(&data);
        }
        Ok(Bytes::from_owner(HeldBytes { bytes, _hold: hold }))
    }

    /// Copies a part of a streamed response, so that it doesn't keep the buffer that it was read
    /// into, and holds its memory until the caller has read it.
    pub async fn hold_part(self: &Arc<Self>, data: &[u8], caller: &Extensions) -> Bytes {
        let hold = self.open_response(caller);
        self.grow_response(hold.key, PART_BYTES + data.len()).await;
        Bytes::from_owner(HeldBytes { bytes: data.to_vec(), _hold: hold })
    }

    /// Sheds the holder that has stalled longest, if there is one, to close its connection.
    pub fn shed_for_connection(&self) -> bool {
        let now = self.clock.now();
        let mut table = self.table.lock();
        refresh_responses(&mut table, now);
        let shed = table.ledger.shed_longest_stalled(now);
        self.drop_shed(&mut table, shed.as_slice(), now);
        shed.is_some()
    }

    fn open(self: &Arc<Self>, kind: HolderKind, data: HeldData) -> MemoryHold {
        let mut table = self.table.lock();
        let key = table.ledger.open(kind);
        table.data.insert(key, data);
        MemoryHold { memory: Arc::clone(self), key }
    }

    fn open_response(self: &Arc<Self>, caller: &Extensions) -> MemoryHold {
        let connection = caller.get::<ConnectionHandle>().cloned();
        self.open(HolderKind::Response, HeldData::Response(connection))
    }

    /// Sets the memory of a response. Waits if there is none, and meanwhile nothing is read from the
    /// server.
    async fn grow_response(&self, key: HolderKey, bytes: usize) {
        let mut waited = Duration::ZERO;
        loop {
            let now = self.clock.now();
            let may_exceed = waited >= RESPONSE_WAIT;
            {
                let mut table = self.table.lock();
                let is_granted = self.resize(&mut table, key, bytes, now).is_ok()
                    || may_exceed && table.ledger.overdraw(key, bytes as u64);
                self.report(&table);
                if is_granted {
                    return;
                }
                if waited.is_zero() {
                    self.metrics.refusals.with_label_values(&["exhausted"]).inc();
                }
            }
            let pause = if may_exceed { LATE_RETRY } else { RESPONSE_RETRY };
            self.clock.sleep(pause).await;
            waited += pause;
        }
    }

    fn resize(
        &self,
        table: &mut MemoryTable,
        key: HolderKey,
        bytes: usize,
        now: Timestamp,
    ) -> Result<(), MemoryExhausted> {
        if table.ledger.held_bytes() + bytes as u64 + self.limits.small_reserve_bytes
            > self.limits.total_bytes
        {
            refresh_responses(table, now);
        }
        match table.ledger.resize(key, bytes as u64, now) {
            Ok(shed) => {
                self.drop_shed(table, &shed, now);
                Ok(())
            }
            Err(fault) => {
                if table.floods.record(now) {
                    tracing::warn!(
                        held_bytes = fault.held_bytes,
                        limit_bytes = fault.total_bytes,
                        holders = table.data.len(),
                        "memory for callers is exhausted and none has stalled"
                    );
                }
                Err(fault)
            }
        }
    }

    /// Drops the memory of shed holders and tells them.
    fn drop_shed(&self, table: &mut MemoryTable, shed: &[ShedHolder], now: Timestamp) {
        for victim in shed {
            let kind = <&str>::from(victim.kind);
            self.metrics.sheds.with_label_values(&[kind]).inc();
            if table.floods.record(now) {
                tracing::warn!(
                    kind,
                    bytes = victim.bytes,
                    stalled_ms = victim.stalled.as_millis() as u64,
                    held_bytes = table.ledger.held_bytes(),
                    limit_bytes = self.limits.total_bytes,
                    holders = table.data.len(),
                    "shedding what is held for stalled callers"
                );
            }
            if let Some(HeldData::Response(Some(connection))) = table.data.remove(&victim.key) {
                connection.abort();
            }
        }
    }

    fn report(&self, table: &MemoryTable) {
        self.metrics.held.set(table.ledger.held_bytes() as i64);
    }
}

/// Waits for the next part of a body, or until the body is shed. Returns `None` at its end.
async fn next_frame(
    body: &mut ArrivingBody,
    shed: &Receiver<()>,
) -> Result<Option<Bytes>, BodyRefusal> {
    let shed = async {
        // Nothing is sent on the channel; dropping the sender ends the wait.
        let _ = shed.recv().await;
        Err(BodyRefusal::Shed)
    };
    let frame = async {
        match body.frame().await {
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(Err(error)) => Err(BodyRefusal::Truncated(error)),
            None => Ok(None),
        }
    };
    frame.or(shed).await
}

/// Updates for how long the callers of responses haven't read them.
fn refresh_responses(table: &mut MemoryTable, now: Timestamp) {
    let instant = Instant::now();
    for (key, data) in &table.data {
        if let HeldData::Response(Some(connection)) = data {
            let blocked = connection.blocked_for(instant);
            table.ledger.set_stalled_since(*key, blocked.map(|blocked| now - blocked));
        }
    }
}
