//! Prefill and decode of one completion on different engines.
//!
//! The prefill engine computes the prompt and exports its KV cache; the decode
//! engine imports it from there and generates the output. The daemon forwards only
//! the handle. If any step fails, the decoding engine prefills the request itself,
//! so the response never depends on the handle.

use std::time::Duration;

use gooseberry_core::{
    arena::EngineKey,
    prefix,
    routing::{EngineLocality, RouteDecision, RoutePhase},
};
use gooseberry_edges::engine::EngineError;
use gooseberry_wire::engine::{CompletionRequest, KvImport};

use crate::{
    callers::placement::{self, PlacementQuery},
    context::DaemonContext,
    snapshot::FleetSnapshot,
};

/// Uncached prompt tokens below which no split is considered.
const MIN_SPLIT_TOKENS: u32 = 256;
/// Time for export, import and the second call.
const HANDOFF_DURATION: Duration = Duration::from_millis(10);

/// The two engines of a split.
#[derive(Clone, Copy, Debug)]
pub struct SplitPlan {
    prefill: RouteDecision,
    decode: RouteDecision,
}

impl SplitPlan {
    /// Returns the estimated time to the last token.
    fn finish(&self) -> Duration {
        self.prefill.first_token + HANDOFF_DURATION + self.decode.finish
    }

    /// Returns the engine that computes the prompt.
    pub fn prefill(&self) -> EngineKey {
        self.prefill.engine
    }

    /// Returns the split as one decision for admission control.
    pub fn as_decision(&self) -> RouteDecision {
        let wait = self.prefill.first_token + HANDOFF_DURATION + self.decode.first_token;
        RouteDecision {
            queue: self.prefill.queue.max(self.decode.queue),
            first_token: wait,
            finish: self.finish(),
            ..self.prefill
        }
    }
}

/// Engine that has imported the KV cache of a prompt, and the handle.
#[derive(Clone, Debug)]
pub struct KvHandoff {
    pub decode: RouteDecision,
    pub handle: String,
}

/// Reason why a split failed.
#[derive(Debug, thiserror::Error)]
pub enum SplitError {
    #[error("prefill engine didn't export the KV cache: {source}")]
    Export { engine: EngineKey, source: EngineError },
    #[error("prefill engine's response has no KV cache handle")]
    NoHandle,
    #[error("decode engine didn't import the KV cache: {0}")]
    Import(#[source] EngineError),
}

impl SplitError {
    /// Returns whether the request provably didn't reach an engine.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Export { source, .. } => {
                matches!(source, EngineError::Unreachable(_) | EngineError::Refused(_))
            }
            Self::NoHandle | Self::Import(_) => false,
        }
    }

    /// Returns whether the connection to the prefill engine was lost, as happens
    /// when the engine crashes.
    pub fn is_disconnect(&self) -> bool {
        matches!(self, Self::Export { source, .. } if source.is_disconnect())
    }

    /// Returns the engine that failed while it computed the prompt.
    pub fn failed_engine(&self) -> Option<EngineKey> {
        match self {
            Self::Export { source: EngineError::Refused(_), .. } => None,
            Self::Export { engine, .. } => Some(*engine),
            Self::NoHandle | Self::Import(_) => None,
        }
    }
}

/// Compares a split with running the whole request on one engine.
///
/// Both engines must be in the home failure domain.
pub fn plan(
    context: &DaemonContext,
    snapshot: &FleetSnapshot,
    query: &PlacementQuery<'_>,
    whole: &RouteDecision,
) -> Option<SplitPlan> {
    if query.prompt_tokens.saturating_sub(whole.cached_tokens) < MIN_SPLIT_TOKENS {
        return None;
    }
    let choose = |phase| {
        let query = PlacementQuery { phase, ..*query };
        let decision = placement::choose(&context.routing, snapshot, &query, context.clock.now())?;
        (decision.locality == EngineLocality::Home).then_some(decision)
    };
    let plan =
        SplitPlan { prefill: choose(RoutePhase::Prefill)?, decode: choose(RoutePhase::Decode)? };
    (plan.finish() < whole.finish).then_some(plan)
}

/// Runs the prompt on the prefill engine and imports its KV cache into the decode
/// engine.
///
/// # Errors
///
/// Returns the reason why the request has to be prefilled again.
pub async fn transfer_kv(
    context: &DaemonContext,
    snapshot: &FleetSnapshot,
    plan: &SplitPlan,
    request: &CompletionRequest,
    pieces: &[u64],
    read_timeout: Duration,
) -> Result<KvHandoff, SplitError> {
    let address = |engine: EngineKey| snapshot.fleet.engines[engine].address.as_str();
    let (prefill, decode) = (plan.prefill.engine, plan.decode.engine);
    tracing::info!(
        request = request.stream_id.as_deref(),
        prefill = %snapshot.fleet.engines[prefill].name,
        decode = %snapshot.fleet.engines[decode].name,
        finish_ms = plan.finish().as_millis() as u64,
        "prefill and decode split between two engines"
    );
    let handle = export(context, snapshot, plan, request, pieces, read_timeout).await?;
    let import = KvImport { handle, from: address(prefill).to_owned() };
    let imported = context.engines.import_kv(address(decode), &import).await;
    imported.map_err(SplitError::Import)?;
    Ok(KvHandoff { decode: plan.decode, handle: import.handle })
}

/// Requests prefill and export of a prompt, and returns the handle.
async fn export(
    context: &DaemonContext,
    snapshot: &FleetSnapshot,
    plan: &SplitPlan,
    request: &CompletionRequest,
    pieces: &[u64],
    read_timeout: Duration,
) -> Result<String, SplitError> {
    let engine = plan.prefill.engine;
    let failed = |source| SplitError::Export { engine, source };
    let entry = &snapshot.engines[engine];
    let prompt_tokens = prefix::count_tokens(&request.prompt);
    let mut tracker = placement::track_send(context, entry, &plan.prefill, prompt_tokens, 0);
    let export = CompletionRequest {
        export_kv: true,
        kv_handle: None,
        // The stream of the response has a name of its own, on any engine.
        stream_id: request.stream_id.as_ref().map(|id| format!("{id}-prefill")),
        ..request.clone()
    };
    let address = &snapshot.fleet.engines[engine].address;
    let mut stream =
        context.engines.complete(address, &export, read_timeout).await.map_err(failed)?;
    let mut handle = None;
    while let Some(chunk) = stream.next().await.map_err(failed)? {
        tracker.observe_token(context, entry, pieces, 0);
        handle = handle.or(chunk.kv_handle);
    }
    handle.ok_or(SplitError::NoHandle)
}
