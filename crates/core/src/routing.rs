//! Choice of the engine for a request.
//!
//! Each candidate is scored by the time that the first token would take there:
//! link latency, queue, prompt tokens not in its cache, and the work that this
//! daemon has sent since the engine's last report. The lowest score wins.

use std::time::Duration;

use crate::{
    arena::{EngineKey, ModelKey},
    fleet::EngineRole,
};

/// Holds what is known of one engine at the moment of a decision.
#[derive(Clone, Copy, Debug)]
pub struct EngineView {
    pub engine: EngineKey,
    pub model: ModelKey,
    pub role: EngineRole,
    /// Whether the engine takes new work.
    pub open: bool,
    /// One-way latency from this daemon.
    pub latency: Duration,
    /// Requests running there, as last reported.
    pub running: u32,
    /// Requests queued there, as last reported.
    pub queued: u32,
    /// Prompt tokens waiting there, as last reported.
    pub backlog_tokens: u64,
    /// Requests that this daemon sent and that haven't ended.
    pub outstanding: u32,
    /// Prompt tokens that this daemon sent since the last report.
    pub unreported_tokens: u64,
}

/// Describes the request to be routed.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest {
    pub model: ModelKey,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
}

/// Says why an engine was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteReason {
    /// It was the only candidate.
    OnlyCandidate,
    /// Part of the prompt is in its cache.
    CachedPrefix,
    /// It answers soonest.
    LeastWait,
}

/// Names the chosen engine, with the runner-up for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteDecision {
    pub engine: EngineKey,
    pub reason: RouteReason,
    /// Estimated time to the first token.
    pub wait: Duration,
    pub runner_up: Option<EngineKey>,
}

/// Time that an engine takes for one prompt token.
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(40);
/// Time that each running or queued request adds before the first token.
const WAIT_PER_REQUEST: Duration = Duration::from_millis(2);

/// Chooses an engine, or none if no candidate is open.
///
/// `cached` returns the prompt tokens that an engine is believed to hold, and
/// `excluded` the engines that must not be chosen.
pub fn choose(
    request: &RouteRequest,
    views: impl Iterator<Item = EngineView>,
    cached: impl Fn(EngineKey) -> u32,
    excluded: impl Fn(EngineKey) -> bool,
) -> Option<RouteDecision> {
    let mut best: Option<(Duration, EngineKey, u32)> = None;
    let mut second: Option<(Duration, EngineKey)> = None;
    for view in views {
        if !is_candidate(&view, request) || excluded(view.engine) {
            continue;
        }
        let hit = cached(view.engine).min(request.prompt_tokens);
        let wait = estimate_wait(&view, request, hit);
        match best {
            Some((least, ..)) if least <= wait => {
                if second.is_none_or(|(other, _)| wait < other) {
                    second = Some((wait, view.engine));
                }
            }
            previous => {
                second = previous.map(|(least, engine, _)| (least, engine));
                best = Some((wait, view.engine, hit));
            }
        }
    }
    let (wait, engine, hit) = best?;
    let runner_up = second.map(|(_, engine)| engine);
    let reason = match (runner_up, hit) {
        (None, _) => RouteReason::OnlyCandidate,
        (Some(_), 0) => RouteReason::LeastWait,
        (Some(_), _) => RouteReason::CachedPrefix,
    };
    Some(RouteDecision { engine, reason, wait, runner_up })
}

fn is_candidate(view: &EngineView, request: &RouteRequest) -> bool {
    view.open && view.model == request.model && view.role.prefills()
}

fn estimate_wait(view: &EngineView, request: &RouteRequest, hit: u32) -> Duration {
    let tokens =
        view.backlog_tokens + view.unreported_tokens + u64::from(request.prompt_tokens - hit);
    let requests = view.running.max(view.outstanding) + view.queued;
    view.latency * 2 + PREFILL_PER_TOKEN * tokens as u32 + WAIT_PER_REQUEST * requests
}
