//! Routing and admission state shared by the traffic threads.
//!
//! Each part has its own lock, held for microseconds. Nothing here decides who may
//! send orders to an engine, so it doesn't have to be owned by the control thread.

use std::{collections::HashMap, sync::Arc};

use gooseberry_core::{
    admission::{AdmissionEstimate, AdmissionGrant, AdmissionRequest, AdmissionTable},
    prefix_table::{CacheKey, CacheUpdate, PrefixHits, PrefixTable},
    refusal::RequestRefusal,
    spill::{OpenLinks, SpillTable},
    time::Timestamp,
};
use gooseberry_wire::engine::CacheEvents;
use parking_lot::Mutex;
use smol_str::SmolStr;

use crate::metrics::MetricClient;

/// Pieces (KV cache blocks) in each generation of the prefix table.
const PREFIX_CAPACITY_PIECES: usize = 65_536;
/// Pieces that are inserted per acquisition of the lock.
const INSERT_BATCH_PIECES: usize = 256;

/// Cache hints, admitted work and spilled bytes of one daemon.
pub struct RoutingState {
    prefixes: Mutex<PrefixTable>,
    caches: Mutex<HashMap<SmolStr, CacheKey>>,
    admission: Mutex<AdmissionTable>,
    spill: Mutex<SpillTable>,
    metrics: Arc<MetricClient>,
}

impl RoutingState {
    /// Creates the state of a daemon that has routed no requests.
    pub fn new(metrics: Arc<MetricClient>) -> Self {
        Self {
            prefixes: Mutex::new(PrefixTable::new(PREFIX_CAPACITY_PIECES)),
            caches: Mutex::default(),
            admission: Mutex::default(),
            spill: Mutex::default(),
            metrics,
        }
    }

    /// Returns the key of an engine's cache. It is the same across configuration
    /// revisions.
    pub fn cache_key(&self, engine: &SmolStr) -> CacheKey {
        let mut caches = self.caches.lock();
        *caches.entry(engine.clone()).or_insert_with(|| self.prefixes.lock().add_cache())
    }

    /// Drops the cache hints of an engine that has restarted or loaded another
    /// model.
    pub fn reset_cache(&self, cache: CacheKey) {
        self.prefixes.lock().reset(cache);
    }

    /// Returns the sequence number of an engine's last cache event.
    pub fn last_sequence(&self, cache: CacheKey) -> u64 {
        self.prefixes.lock().last_sequence(cache)
    }

    /// Applies cache events.
    pub fn observe_cache(&self, cache: CacheKey, events: &CacheEvents) {
        for chunk in events.events.chunks(INSERT_BATCH_PIECES) {
            let mut prefixes = self.prefixes.lock();
            for event in chunk {
                let (sequence, piece, stored) = (event.sequence, event.piece, event.stored);
                prefixes.observe(cache, CacheUpdate { sequence, piece, stored });
            }
        }
    }

    /// Records that an engine has computed a prompt of this daemon.
    pub fn observe_prompt(&self, cache: CacheKey, pieces: &[u64]) {
        for chunk in pieces.chunks(INSERT_BATCH_PIECES) {
            self.prefixes.lock().record_stored(cache, chunk);
        }
    }

    /// Finds the caches that hold the first pieces of a prompt.
    pub fn lookup(&self, pieces: &[u64]) -> PrefixHits {
        self.prefixes.lock().lookup(pieces)
    }

    /// Admits or refuses a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal with the time after which to retry.
    pub fn admit(
        self: &Arc<Self>,
        request: &AdmissionRequest,
        estimate: &AdmissionEstimate,
        now: Timestamp,
    ) -> Result<AdmissionGuard, RequestRefusal> {
        let grant = self.admission.lock().admit(request, estimate, now)?;
        Ok(AdmissionGuard { state: Arc::clone(self), grant })
    }

    /// Sets this daemon's share of each link between regions, in bytes per second.
    pub fn configure_links(&self, links: &[(SmolStr, f64)], now: Timestamp) {
        self.spill.lock().configure(links, now);
    }

    /// Returns the links over which requests may be spilled now.
    pub fn open_links(&self, now: Timestamp) -> OpenLinks {
        self.spill.lock().open_links(now)
    }

    /// Counts a request that is spilled over a link.
    pub fn track_spill(self: &Arc<Self>, link: u8, bytes: u64, now: Timestamp) -> SpillMeter {
        let mut spill = self.spill.lock();
        spill.record_request(link, bytes, now);
        let name = spill.name(link).cloned().unwrap_or_default();
        let volume = spill.volume(link);
        tracing::info!(
            link = %name,
            bytes,
            total = volume.bytes,
            "request spilled to another region"
        );
        self.metrics.spilled(&name, 1, bytes);
        SpillMeter { state: Arc::clone(self), link, name }
    }
}

/// Counts the work of an admitted request until it ends.
pub struct AdmissionGuard {
    state: Arc<RoutingState>,
    grant: AdmissionGrant,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.state.admission.lock().release(&self.grant);
    }
}

/// Counts the response of a spilled request.
pub struct SpillMeter {
    state: Arc<RoutingState>,
    link: u8,
    name: SmolStr,
}

impl SpillMeter {
    /// Charges a part of the response to the link.
    pub fn charge(&self, bytes: u64, now: Timestamp) {
        self.state.spill.lock().charge(self.link, bytes, now);
        self.state.metrics.spilled(&self.name, 0, bytes);
    }
}
