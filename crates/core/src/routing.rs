//! Choice of the engine for a request.
//!
//! Each candidate is scored by the time that the first token would take there:
//! link latency, queue, prompt tokens not in its cache, and the work that this
//! daemon has sent since the engine's last report was made. The lowest score
//! wins. Engines of the home failure domain go first; others are chosen only
//! if none at home can meet the deadline. One pass over the engines decides,
//! without allocation.

use std::time::Duration;

use crate::{
    arena::{EngineKey, ModelKey},
    fleet::EngineRole,
    speed::EngineSpeed,
};

/// Says where an engine stands, seen from this daemon.
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

/// Holds what is known of one engine at the moment of a decision.
#[derive(Clone, Copy, Debug)]
pub struct EngineView {
    pub engine: EngineKey,
    pub model: ModelKey,
    pub role: EngineRole,
    /// Whether the engine takes new work.
    pub accepting: bool,
    pub locality: EngineLocality,
    /// One-way latency from this daemon.
    pub latency: Duration,
    /// Price of the link for each gigabyte.
    pub price_per_gb: f64,
    /// Speed that this daemon has learned.
    pub speed: EngineSpeed,
    /// Requests running there, as last reported.
    pub running: u32,
    /// Requests queued there, as last reported.
    pub queued: u32,
    /// Prompt tokens waiting there, as last reported.
    pub backlog_tokens: u64,
    /// Requests that this daemon sent and that haven't ended.
    pub outstanding: u32,
    /// Requests that this daemon sent since the last report was made.
    pub unreported_requests: u32,
    /// Prompt tokens that this daemon sent since the last report was made.
    pub unreported_tokens: u64,
}

impl EngineView {
    /// Makes the view of an idle engine of the home failure domain.
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

    /// Returns the requests that are likely to be there.
    ///
    /// A report may lag or lie, so own work that hasn't ended always counts.
    fn requests(&self) -> u32 {
        let reported = self.running.saturating_add(self.queued);
        reported.saturating_add(self.unreported_requests).max(self.outstanding)
    }
}

/// Says which phase of a request is to be routed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RoutePhase {
    /// Prompt and output on one engine.
    #[default]
    Whole,
    /// The prompt only; its KV cache is exported.
    Prefill,
    /// The output only; the KV cache is imported.
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
    /// Volume of the prompt and the expected answer.
    pub bytes: u64,
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
    /// No engine of the home failure domain meets the deadline.
    Spill,
}

/// Names the chosen engine, with the runner-up for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteDecision {
    pub engine: EngineKey,
    pub reason: RouteReason,
    pub locality: EngineLocality,
    /// Estimated time until the engine begins with the request.
    pub queue: Duration,
    /// Estimated time to the first token.
    pub first_token: Duration,
    /// Estimated time to the last token.
    pub finish: Duration,
    /// Prompt tokens believed to be in the engine's cache.
    pub cached_tokens: u32,
    /// Engines that could have been chosen.
    pub candidates: u32,
    /// Those of them that would begin with a request almost at once.
    pub idle: u32,
    pub runner_up: Option<EngineKey>,
}

/// Time that each running or queued request adds before the first token.
pub const QUEUE_TIME_PER_REQUEST: Duration = Duration::from_millis(2);
/// How much longer a phase takes on an engine whose role is the other one.
const OFF_ROLE_FACTOR: u64 = 3;
/// Longest queue of an engine that counts as free.
const FREE_QUEUE: Duration = Duration::from_millis(50);
/// Nanoseconds of wait that one unit of money outweighs.
const NANOS_PER_PRICE: f64 = 1e12;
/// Bytes of a gigabyte.
const GIGABYTE: f64 = 1e9;

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
    let mut home = BestPair::default();
    let mut away = BestPair::default();
    for view in views {
        if !is_candidate(&view, request) || excluded(view.engine) {
            continue;
        }
        let score = EngineScore::new(&view, request, cached(view.engine));
        match view.locality {
            EngineLocality::Home => home.offer(score),
            EngineLocality::SameRegion | EngineLocality::OtherRegion => away.offer(score),
        }
    }
    decide(request, home, away)
}

/// Tells whether a view may be chosen for a request.
fn is_candidate(view: &EngineView, request: &RouteRequest) -> bool {
    let fits = match request.phase {
        RoutePhase::Whole => true,
        RoutePhase::Prefill => view.role == EngineRole::Prefill,
        RoutePhase::Decode => view.role == EngineRole::Decode,
    };
    view.accepting && view.model == request.model && fits
}

fn decide(request: &RouteRequest, home: BestPair, away: BestPair) -> Option<RouteDecision> {
    let meets = |score: &EngineScore| score.finish <= nanos(request.time_left);
    let spills = home.best.is_some_and(|best| !meets(&best));
    let (chosen, other) = match (home.best, away.best) {
        (Some(_), Some(best)) if spills && meets(&best) => (away, home),
        (Some(_), _) => (home, away),
        (None, _) => (away, home),
    };
    let best = chosen.best?;
    let runner_up = chosen.second.or(other.best).map(|score| score.engine);
    let reason = match (runner_up, best.hit) {
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
        first_token: Duration::from_nanos(best.wait),
        finish: Duration::from_nanos(best.finish),
        cached_tokens: best.hit,
        candidates: chosen.offered,
        idle: chosen.free,
        runner_up,
    })
}

/// Keeps the two best of the scores that are offered, and counts them.
#[derive(Clone, Copy, Default)]
struct BestPair {
    best: Option<EngineScore>,
    second: Option<EngineScore>,
    offered: u32,
    free: u32,
}

impl BestPair {
    fn offer(&mut self, score: EngineScore) {
        self.offered += 1;
        self.free += u32::from(score.queue <= nanos(FREE_QUEUE));
        match self.best {
            Some(best) if best.total <= score.total => {
                if self.second.is_none_or(|second| score.total < second.total) {
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

/// Scores one engine; all times are nanoseconds.
#[derive(Clone, Copy)]
struct EngineScore {
    engine: EngineKey,
    locality: EngineLocality,
    hit: u32,
    /// Time until the engine begins with the request.
    queue: u64,
    /// Time to the first token.
    wait: u64,
    /// Time to the last token.
    finish: u64,
    /// What is compared: the wait, the price, and decoding off its role.
    total: u64,
}

impl EngineScore {
    fn new(view: &EngineView, request: &RouteRequest, cached: u32) -> Self {
        let hit = cached.min(request.prompt_tokens);
        let (prefill_factor, decode_factor) = match view.role {
            EngineRole::Mixed => (1, 1),
            EngineRole::Prefill => (1, OFF_ROLE_FACTOR),
            EngineRole::Decode => (OFF_ROLE_FACTOR, 1),
        };
        let own = match request.phase {
            RoutePhase::Decode => 0,
            RoutePhase::Whole | RoutePhase::Prefill => u64::from(request.prompt_tokens - hit),
        };
        let before = view.backlog_tokens.saturating_add(view.unreported_tokens);
        let per_token = nanos(view.speed.prefill_per_token) * prefill_factor;
        let turns = nanos(QUEUE_TIME_PER_REQUEST) * u64::from(view.requests());
        let queue = before.saturating_mul(per_token).saturating_add(turns);
        let prefill = own.saturating_mul(per_token);
        let wait = (nanos(view.latency) * 2).saturating_add(queue).saturating_add(prefill);
        let output = match request.phase {
            RoutePhase::Prefill => 0,
            RoutePhase::Whole | RoutePhase::Decode => u64::from(request.output_tokens),
        };
        let decode = output.saturating_mul(nanos(view.speed.decode_per_token));
        let off_role = decode.saturating_mul(decode_factor - 1);
        let price = view.price_per_gb * request.bytes as f64 / GIGABYTE * NANOS_PER_PRICE;
        Self {
            engine: view.engine,
            locality: view.locality,
            hit,
            queue,
            wait,
            finish: wait.saturating_add(decode).saturating_add(off_role),
            total: wait.saturating_add(off_role).saturating_add(price as u64),
        }
    }
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}
