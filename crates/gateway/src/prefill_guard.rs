//! Guards that remove a prefill from the backlog and release its exported KV cache, however the
//! request ends.

use std::{sync::Arc, time::Duration};

use gooseberry_core::{arena::EngineKey, serving::backlog::SendId, time::Timestamp};
use gooseberry_platform::engine::{self, CacheHandle};
use gooseberry_transport::{
    body::{self, ReadError},
    client::SendError,
};
use smol_str::SmolStr;

use crate::{
    gateway::Gateway,
    send::{self, SendTarget},
    state::GatewayState,
    updates::{PrefillEnd, SpeedSample},
};

/// Part of the time from the send to the end of a prefill, in milliseconds, that is neither prefill
/// nor network delay: one step of the engine and the processing at both ends.
const SEND_OVERHEAD_MS: f64 = 10.0;

/// Timeout of the release of an exported KV cache.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// A prefill in progress. Removes it from the backlog when dropped.
#[derive(Debug)]
pub struct PrefillGuard {
    pub gateway: Arc<Gateway>,
    pub request_id: SmolStr,
    pub key: EngineKey,
    pub send_id: SendId,
    /// Work of the prefill, in the unit of `PromptShape::prefill_work`.
    pub tokens: u32,
    pub started_at: Timestamp,
    /// Whether, at the time of the send, the engine had no other prefill, had all shared parts
    /// cached and didn't have to fetch KV cache. Only then is the duration a usable speed sample.
    pub was_alone: bool,
    /// Time to the first event, in milliseconds, as estimated at the time of the send.
    pub expected_ms: f64,
    /// Whether the prefill hasn't finished. If the guard is dropped before then, the prefill counts
    /// as abandoned.
    pub is_pending: bool,
}

impl PrefillGuard {
    /// Records that the prefill has finished, and updates the engine's speed.
    pub fn complete(&mut self) {
        if !self.is_pending {
            return;
        }
        self.is_pending = false;
        let now = self.gateway.now();
        let mut state = self.gateway.state.lock();
        let sample = self.sample(&state, now);
        state.end_prefill(self.key, self.send_id, PrefillEnd::Completed(sample), now);
        let server = state.fleet.server(self.key);
        tracing::info!(
            request = %self.request_id,
            server = %server.entry.id,
            tokens = self.tokens,
            elapsed_ms = now.since(self.started_at).as_millis() as u64,
            expected_ms = self.expected_ms as u64,
            was_alone = self.was_alone,
            speed = server.prefill_speed(),
            "prefill finished"
        );
        drop(state);
        self.gateway.wake_publisher();
    }

    /// Returns the speed sample of a prefill that finishes now, if it is usable.
    fn sample(&self, state: &GatewayState, now: Timestamp) -> Option<SpeedSample> {
        let options = &self.gateway.options;
        let domain = &state.fleet.server(self.key).entry.domain;
        let delay_ms = 2.0 * options.domains.delay_ms(&options.domain, domain);
        let elapsed_ms = now.since(self.started_at).as_millis() as f64;
        let prefill_ms = (elapsed_ms - delay_ms - SEND_OVERHEAD_MS).max(0.0) as u32;
        self.was_alone.then_some(SpeedSample { tokens: self.tokens, prefill_ms })
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        if self.is_pending {
            let now = self.gateway.now();
            let mut state = self.gateway.state.lock();
            state.end_prefill(self.key, self.send_id, PrefillEnd::Abandoned, now);
            drop(state);
            self.gateway.wake_publisher();
        }
    }
}

/// Releases an exported KV cache that no engine has imported.
#[derive(Debug)]
pub struct ExportGuard {
    pub gateway: Arc<Gateway>,
    pub target: SendTarget,
    /// Handle of the KV cache, or none once an engine has imported it.
    pub handle: Option<CacheHandle>,
}

impl ExportGuard {
    /// Records that an engine has imported the KV cache.
    pub fn disarm(mut self) {
        self.handle = None;
    }
}

impl Drop for ExportGuard {
    fn drop(&mut self) {
        if let Some(handle) = self.handle.take() {
            let (gateway, target) = (Arc::clone(&self.gateway), self.target.clone());
            let now = gateway.now();
            if gateway.state.lock().fleet.server(target.key).is_quiet(now) {
                // The engine releases the KV cache itself when its export lifetime ends.
                tracing::info!(server = %target.id, "exported KV cache not released during quiet");
                return;
            }
            async_std::task::spawn(async move { release(&gateway, &target, &handle).await });
        }
    }
}

/// The reason why an exported KV cache was not released.
#[derive(Debug, thiserror::Error)]
enum ReleaseError {
    #[error(transparent)]
    Send(#[from] SendError),
    #[error(transparent)]
    Read(#[from] ReadError),
}

async fn release(gateway: &Gateway, target: &SendTarget, handle: &CacheHandle) {
    let request = || engine::release(handle);
    let work = async {
        let (response, _connection) = send::exchange_own(gateway, target, request).await?;
        body::read_whole(response.into_body(), send::CONTROL_RESPONSE_LIMIT_BYTES).await?;
        Ok::<_, ReleaseError>(())
    };
    let released = gateway.clock.timeout(RELEASE_TIMEOUT, work).await;
    // The engine releases the KV cache itself when its export lifetime ends.
    match released {
        Ok(Ok(())) => {}
        Ok(Err(fault)) => {
            tracing::info!(server = %target.id, %fault, "exported KV cache not released");
        }
        Err(_) => tracing::info!(server = %target.id, "release of a KV cache timed out"),
    }
}
