//! Chooses the engine for a request.
//!
//! Each candidate is scored by the estimated time to the first token: link latency,
//! queue time, prompt tokens that aren't cached there, and the work that this daemon
//! has sent since the engine's last load report was made. The lowest score wins.
//! Engines of the home failure domain are preferred; others are chosen only if no
//! home engine can meet the deadline. The decision takes one pass over the engines
//! and doesn't allocate.

use std::time::Duration;

use crate::{
    arena::{EngineKey, ModelKey},
    fleet::EngineRole,
    speed::EngineSpeed,
};

/// States where an engine is, relative to this daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum EngineLocality {
    /// In the daemon's own failure domain.
    #[default]
    Home,
    /// In another failure domain of the daemon's region.
    SameRegion,
    /// In another region, over a link that is paid by volume.
    OtherRegion,
}

/// Holds the state of one engine at the time of a decision.
#[derive(Clone, Copy, Debug)]
pub struct EngineView {
    pub engine: EngineKey,
    pub model: ModelKey,
    pub role: EngineRole,
    /// Whether the engine accepts new requests.
    pub accepting: bool,
    pub locality: EngineLocality,
    /// One-way latency from this daemon.
    pub latency: Duration,
    /// Price of the link per gigabyte.
    pub price_per_gb: f64,
    /// Speed that this daemon has measured.
    pub speed: EngineSpeed,
    /// Running requests, as last reported.
    pub running: u32,
    /// Queued requests, as last reported.
    pub queued: u32,
    /// Prompt tokens in the engine's backlog, as last reported.
    pub backlog_tokens: u64,
    /// Requests of this daemon that haven't ended.
    pub outstanding: u32,
    /// Requests that this daemon sent since the last report was made.
    pub unreported_requests: u32,
    /// Prompt tokens that this daemon sent since the last report was made.
    pub unreported_tokens: u64,
}

impl EngineView {
    /// Creates the view of an idle engine in the home failure domain.
    pub fn idle(engine: EngineKey, model: ModelKey, role: EngineRole) -> Self {
        Self {
            engine,
            model,
            role,
            accepting: true,
            locality: EngineLocality::Home,
            latency: Duration::ZERO,
            price_per_gb: 0.0,
            speed: EngineSpeed::default(),
            running: 0,
            queued: 0,
            backlog_tokens: 0,
            outstanding: 0,
            unreported_requests: 0,
            unreported_tokens: 0,
        }
    }

    /// Returns the estimated number of requests at the engine.
    ///
    /// A report may be late or wrong, so this daemon's outstanding requests always count.
    fn requests(&self) -> u32 {
        let reported = self.running.saturating_add(self.queued);
        reported.saturating_add(self.unreported_requests).max(self.outstanding)
    }
}

/// States which phases of a request are routed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RoutePhase {
    /// Prefill and decode on one engine.
    #[default]
    Whole,
    /// Prefill only; the KV cache is exported.
    Prefill,
    /// Decode only; the KV cache is imported.
    Decode,
}

/// Describes the request to be routed.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest {
    pub model: ModelKey,
    pub phase: RoutePhase,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Estimated size of the prompt and the response.
    pub bytes: u64,
}

/// States why an engine was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteReason {
    /// It was the only candidate.
    OnlyCandidate,
    /// Part of the prompt is in its cache.
    CachedPrefix,
    /// It has the lowest estimated time to the first token.
    LeastWait,
    /// No engine of the home failure domain can meet the deadline.
    Spill,
}

/// Names the chosen engine and, for the log, the runner-up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteDecision {
    pub engine: EngineKey,
    pub reason: RouteReason,
    pub locality: EngineLocality,
    /// Estimated time until the engine starts the request.
    pub queue: Duration,
    /// Estimated time to the first token.
    pub first_token: Duration,
    /// Estimated time to the last token.
    pub finish: Duration,
    /// Estimated prompt tokens in the engine's cache.
    pub cached_tokens: u32,
    /// Number of engines that could have been chosen.
    pub candidates: u32,
    /// Number of candidates that would start the request almost at once.
    pub idle: u32,
    pub runner_up: Option<EngineKey>,
}

/// Queue time that each running or queued request adds.
pub const QUEUE_TIME_PER_REQUEST: Duration = Duration::from_millis(2);
/// Factor on the time of a phase on an engine that is dedicated to the other phase.
const OFF_ROLE_FACTOR: u64 = 3;
/// Longest queue time of an engine that counts as idle.
const IDLE_QUEUE_TIME: Duration = Duration::from_millis(50);
/// Wait that has the same cost as one unit of money, in nanoseconds.
const NANOS_PER_PRICE_UNIT: f64 = 1e12;
/// Bytes per gigabyte.
const BYTES_PER_GIGABYTE: f64 = 1e9;

/// Chooses an engine, or none if there is no candidate.
///
/// `cached` returns the estimated prompt tokens in an engine's cache. `excluded`
/// tells which engines must not be chosen.
pub fn choose(
    request: &RouteRequest,
    views: impl Iterator<Item = EngineView>,
    cached: impl Fn(EngineKey) -> u32,
    excluded: impl Fn(EngineKey) -> bool,
) -> Option<RouteDecision> {
    let mut home = ScorePair::default();
    let mut remote = ScorePair::default();
    for view in views {
        if !is_candidate(&view, request) || excluded(view.engine) {
            continue;
        }
        let score = EngineScore::new(&view, request, cached(view.engine));
        match view.locality {
            EngineLocality::Home => home.add(score),
            EngineLocality::SameRegion | EngineLocality::OtherRegion => remote.add(score),
        }
    }
    decide(request, home, remote)
}

/// Tells whether an engine may be chosen for a request.
fn is_candidate(view: &EngineView, request: &RouteRequest) -> bool {
    let serves_phase = match request.phase {
        RoutePhase::Whole => true,
        RoutePhase::Prefill => view.role == EngineRole::Prefill,
        RoutePhase::Decode => view.role == EngineRole::Decode,
    };
    view.accepting && view.model == request.model && serves_phase
}

fn decide(request: &RouteRequest, home: ScorePair, remote: ScorePair) -> Option<RouteDecision> {
    let meets_deadline = |score: &EngineScore| score.finish <= nanos(request.time_left);
    let misses_deadline = home.best.is_some_and(|best| !meets_deadline(&best));
    let (chosen, other) = match (home.best, remote.best) {
        (Some(_), Some(best)) if misses_deadline && meets_deadline(&best) => (remote, home),
        (Some(_), _) => (home, remote),
        (None, _) => (remote, home),
    };
    let best = chosen.best?;
    let runner_up = chosen.second.or(other.best).map(|score| score.engine);
    let reason = match (runner_up, best.cached_tokens) {
        _ if best.locality != EngineLocality::Home => RouteReason::Spill,
        (None, _) => RouteReason::OnlyCandidate,
        (Some(_), 0) => RouteReason::LeastWait,
        (Some(_), _) => RouteReason::CachedPrefix,
    };
    Some(RouteDecision {
        engine: best.engine,
        reason,
        locality: best.locality,
        queue: Duration::from_nanos(best.queue),
        first_token: Duration::from_nanos(best.first_token),
        finish: Duration::from_nanos(best.finish),
        cached_tokens: best.cached_tokens,
        candidates: chosen.candidates,
        idle: chosen.idle,
        runner_up,
    })
}

/// Keeps the two best scores, and counts the candidates.
#[derive(Clone, Copy, Default)]
struct ScorePair {
    best: Option<EngineScore>,
    second: Option<EngineScore>,
    candidates: u32,
    idle: u32,
}

impl ScorePair {
    fn add(&mut self, score: EngineScore) {
        self.candidates += 1;
        self.idle += u32::from(score.queue <= nanos(IDLE_QUEUE_TIME));
        match self.best {
            Some(best) if best.cost <= score.cost => {
                if self.second.is_none_or(|second| score.cost < second.cost) {
                    self.second = Some(score);
                }
            }
            previous => {
                self.second = previous;
                self.best = Some(score);
            }
        }
    }
}

/// Holds the score of one engine; all times are in nanoseconds.
#[derive(Clone, Copy)]
struct EngineScore {
    engine: EngineKey,
    locality: EngineLocality,
    cached_tokens: u32,
    /// Time until the engine starts the request.
    queue: u64,
    /// Time to the first token.
    first_token: u64,
    /// Time to the last token.
    finish: u64,
    /// Value that is compared: the time to the first token, the price, and the extra time of
    /// decoding on a prefill engine.
    cost: u64,
}

impl EngineScore {
    fn new(view: &EngineView, request: &RouteRequest, cached: u32) -> Self {
        let cached_tokens = cached.min(request.prompt_tokens);
        let (prefill_factor, decode_factor) = match view.role {
            EngineRole::Mixed => (1, 1),
            EngineRole::Prefill => (1, OFF_ROLE_FACTOR),
            EngineRole::Decode => (OFF_ROLE_FACTOR, 1),
        };
        let uncached_tokens = match request.phase {
            RoutePhase::Decode => 0,
            RoutePhase::Whole | RoutePhase::Prefill => {
                u64::from(request.prompt_tokens - cached_tokens)
            }
        };
        let queued_tokens = view.backlog_tokens.saturating_add(view.unreported_tokens);
        let per_token = nanos(view.speed.prefill_per_token) * prefill_factor;
        let request_time = nanos(QUEUE_TIME_PER_REQUEST) * u64::from(view.requests());
        let queue = queued_tokens.saturating_mul(per_token).saturating_add(request_time);
        let prefill = uncached_tokens.saturating_mul(per_token);
        let first_token = (nanos(view.latency) * 2).saturating_add(queue).saturating_add(prefill);
        let output = match request.phase {
            RoutePhase::Prefill => 0,
            RoutePhase::Whole | RoutePhase::Decode => u64::from(request.output_tokens),
        };
        let decode = output.saturating_mul(nanos(view.speed.decode_per_token));
        let off_role_time = decode.saturating_mul(decode_factor - 1);
        let price =
            view.price_per_gb * request.bytes as f64 / BYTES_PER_GIGABYTE * NANOS_PER_PRICE_UNIT;
        Self {
            engine: view.engine,
            locality: view.locality,
            cached_tokens,
            queue,
            first_token,
            finish: first_token.saturating_add(decode).saturating_add(off_role_time),
            cost: first_token.saturating_add(off_role_time).saturating_add(price as u64),
        }
    }
}

fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
