//! Generates traces of both users from a seed.

use gooseberry_core::roles::utility::{PhaseCosts, RoleSplit, TokenDemand};
use gooseberry_wire::trace::{FleetEvent, FleetEventKind, TraceEntry};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{run, trace::ReplayTrace};

/// Names the scenario of a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum TraceScenario {
    /// The load alternates between prompt-heavy and output-heavy within minutes.
    Shift,
    /// The prefill share of the load changes smoothly by half and back, as over a day.
    Day,
    /// An engine is withdrawn for a third of the time.
    Withdrawn,
    /// A batch of summaries arrives in addition to the interactive requests.
    MorningBatch,
    /// One account sends several times its usual load.
    Flash,
    /// One engine gets a bad version, which fails a share of its requests.
    BadVersion,
}

/// Names the user whose load a trace has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum TraceUser {
    Library,
    Cooperative,
}

/// Load of the heavy phases, as a share of the modelled capacity at the best role split.
pub const DEFAULT_LOAD_FACTOR: f64 = 1.15;
/// Engines of the main model in each failure domain.
const ENGINES_PER_DOMAIN: u32 = 3;
/// Failure domains of both users.
const DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];
/// Spread of token counts around their mean, as a share.
const TOKEN_SPREAD: f64 = 0.4;
/// Share of the prefix tokens that engines are expected to have cached.
const EXPECTED_HIT_RATE: f64 = 0.8;
/// Calls to the plain service per second.
const PLAIN_CALLS_PER_SECOND: f64 = 0.5;
/// Requests for the small model per second.
const SMALL_REQUESTS_PER_SECOND: f64 = 0.5;
/// Share of requests that the bad version fails.
const FAILURE_SHARE: f64 = 0.08;

/// Holds the mean sizes in tokens, and the deadline, of the requests of one kind.
#[derive(Clone, Copy, Debug)]
struct RequestMix {
    prompt: f64,
    output: f64,
    prefix: f64,
    deadline_s: f64,
}

impl RequestMix {
    /// Interpolates geometrically between two mixes: 0 gives `self`, 1 gives `other`.
    fn between(self, other: Self, share: f64) -> Self {
        let blend = |from: f64, to: f64| from.powf(1.0 - share) * to.powf(share);
        Self {
            prompt: blend(self.prompt, other.prompt),
            output: blend(self.output, other.output),
            prefix: blend(self.prefix, other.prefix),
            deadline_s: blend(self.deadline_s, other.deadline_s),
        }
    }

    /// Returns the requests per second that the whole fleet serves at its best role split.
    fn capacity(&self) -> f64 {
        let costs = PhaseCosts::from_step(&run::default_engine().step);
        let demand = TokenDemand {
            prompt: self.prompt - self.prefix * EXPECTED_HIT_RATE,
            output: self.output,
        };
        let shares =
            RoleSplit::all(ENGINES_PER_DOMAIN).map(|split| split.served_share(demand, &costs));
        shares.fold(0.0, f64::max) * DOMAINS.len() as f64
    }
}

/// Holds the names and sizes of a user's requests.
struct UserProfile {
    main: &'static str,
    batch: &'static str,
    small: &'static str,
    plain: &'static str,
    plain_path: &'static str,
    prefix: &'static str,
    prefixes: u32,
    callers: &'static [&'static str],
    batch_caller: &'static str,
    engine: &'static str,
    prompt_heavy: RequestMix,
    output_heavy: RequestMix,
    batch_mix: RequestMix,
    phase_s: f64,
}

impl TraceUser {
    fn profile(self) -> UserProfile {
        match self {
            Self::Library => UserProfile {
                main: "assistant",
                batch: "damage-reports",
                small: "booking-assistant",
                plain: "booking",
                plain_path: "/booking/reservations",
                prefix: "manual",
                prefixes: 24,
                callers: &["branch", "home", "website"],
                batch_caller: "staff",
                engine: "assistant-a2",
                prompt_heavy: RequestMix {
                    prompt: 4000.0,
                    output: 200.0,
                    prefix: 1024.0,
                    deadline_s: 20.0,
                },
                output_heavy: RequestMix {
                    prompt: 500.0,
                    output: 1000.0,
                    prefix: 256.0,
                    deadline_s: 75.0,
                },
                batch_mix: RequestMix {
                    prompt: 3000.0,
                    output: 600.0,
                    prefix: 512.0,
                    deadline_s: 240.0,
                },
                phase_s: 100.0,
            },
            Self::Cooperative => UserProfile {
                main: "reports",
                batch: "survey-summaries",
                small: "dispatch-assistant",
                plain: "dispatch",
                plain_path: "/dispatch/work-orders",
                prefix: "span",
                prefixes: 40,
                callers: &["crew-north", "crew-south", "grid-operator"],
                batch_caller: "surveys",
                engine: "reports-a2",
                prompt_heavy: RequestMix {
                    prompt: 6000.0,
                    output: 300.0,
                    prefix: 1024.0,
                    deadline_s: 30.0,
                },
                output_heavy: RequestMix {
                    prompt: 800.0,
                    output: 1400.0,
                    prefix: 256.0,
                    deadline_s: 100.0,
                },
                batch_mix: RequestMix {
                    prompt: 5000.0,
                    output: 800.0,
                    prefix: 512.0,
                    deadline_s: 300.0,
                },
                phase_s: 150.0,
            },
        }
    }
}

/// Holds the mix and the rate of arriving requests in one second of a trace.
#[derive(Clone, Copy, Debug)]
struct ArrivalRate {
    mix: RequestMix,
    per_second: f64,
}

/// Number of phases of a trace.
const PHASE_COUNT: f64 = 4.0;

/// Selects the trace to generate.
#[derive(Clone, Copy, Debug)]
pub struct TraceOptions {
    pub shape: TraceScenario,
    pub user: TraceUser,
    pub seed: u64,
    /// Factor on the load of the heavy phases.
    pub load_factor: f64,
    /// Length of the whole trace in seconds; if absent, the user's default length.
    pub duration_s: Option<f64>,
}

/// Generates a trace.
pub fn generate(options: TraceOptions) -> ReplayTrace {
    let TraceOptions { shape, user, seed, load_factor: load, duration_s: chosen_s } = options;
    let mut profile = user.profile();
    if let Some(chosen_s) = chosen_s {
        profile.phase_s = chosen_s / PHASE_COUNT;
    }
    let duration_s = profile.phase_s * PHASE_COUNT;
    let mut builder = TraceBuilder {
        random: ChaCha8Rng::seed_from_u64(seed),
        trace: ReplayTrace::default(),
        profile,
        load,
    };
    builder.add_main(shape, duration_s);
    builder.add_batch_or_flash(shape, duration_s);
    builder.add_small(duration_s);
    builder.add_plain(duration_s);
    builder.add_events(shape, duration_s);
    builder.trace.requests.sort_by_key(|entry| entry.at_ms);
    builder.trace
}

/// Builds a trace from its parts.
struct TraceBuilder {
    random: ChaCha8Rng,
    trace: ReplayTrace,
    profile: UserProfile,
    load: f64,
}

impl TraceBuilder {
    /// Adds the interactive requests for the main model.
    fn add_main(&mut self, shape: TraceScenario, duration_s: f64) {
        let service = self.profile.main;
        let callers = self.profile.callers;
        let rates: Vec<_> = (0..duration_s as u64)
            .map(|second| self.main_rate(shape, second as f64, duration_s))
            .collect();
        self.add_arrivals(service, callers, &rates, 0);
    }

    fn main_rate(&self, shape: TraceScenario, second: f64, duration_s: f64) -> ArrivalRate {
        let profile = &self.profile;
        let at = |share: f64, load: f64| {
            let mix = profile.prompt_heavy.between(profile.output_heavy, share);
            ArrivalRate { mix, per_second: mix.capacity() * load }
        };
        match shape {
            TraceScenario::Shift => {
                let is_output_heavy = (second / profile.phase_s) as u64 % 2 == 1;
                at(f64::from(u8::from(is_output_heavy)), self.load)
            }
            TraceScenario::Day => {
                let cosine = (second / duration_s * std::f64::consts::TAU).cos();
                at((1.0 - cosine) / 2.0, self.load)
            }
            TraceScenario::Withdrawn => at(0.5, self.load * 0.9),
            TraceScenario::MorningBatch | TraceScenario::Flash => at(0.5, self.load * 0.65),
            TraceScenario::BadVersion => at(0.5, self.load * 0.75),
        }
    }

    /// Adds the batch of `MorningBatch` or the extra load of `Flash`.
    fn add_batch_or_flash(&mut self, shape: TraceScenario, duration_s: f64) {
        let (service, callers, mix, load, from, to) = match shape {
            TraceScenario::MorningBatch => {
                let callers = std::slice::from_ref(&self.profile.batch_caller).to_vec();
                (self.profile.batch, callers, self.profile.batch_mix, 0.8, 0.2, 0.6)
            }
            TraceScenario::Flash => {
                let callers = self.profile.callers[..1].to_vec();
                (self.profile.main, callers, self.profile.prompt_heavy, 1.5, 0.4, 0.6)
            }
            _ => return,
        };
        let idle = ArrivalRate { mix, per_second: 0.0 };
        let busy = ArrivalRate { mix, per_second: mix.capacity() * load };
        let rates: Vec<_> = (0..duration_s as u64)
            .map(|second| {
                let position = second as f64 / duration_s;
                if (from..to).contains(&position) {
                    busy
                } else {
                    idle
                }
            })
            .collect();
        self.add_arrivals(service, &callers, &rates, 0);
    }

    fn add_small(&mut self, duration_s: f64) {
        let mix = RequestMix { prompt: 300.0, output: 60.0, prefix: 128.0, deadline_s: 15.0 };
        let rate = ArrivalRate { mix, per_second: SMALL_REQUESTS_PER_SECOND };
        let rates = vec![rate; duration_s as usize];
        let service = self.profile.small;
        let callers = self.profile.callers;
        self.add_arrivals(service, callers, &rates, 1000);
    }

    /// Adds arrivals at random times with the rate of each second.
    fn add_arrivals(
        &mut self,
        service: &str,
        callers: &[&str],
        rates: &[ArrivalRate],
        first_prefix: u32,
    ) {
        let mut at_s = 0.0_f64;
        while let Some(rate) = rates.get(at_s as usize) {
            if rate.per_second <= 0.0 {
                at_s = at_s.floor() + 1.0;
                continue;
            }
            let next_s = at_s + self.random_interval_s(rate.per_second);
            if next_s as usize > at_s as usize {
                // The next second may have another rate. The interval can be drawn
                // anew there, because the arrivals are a Poisson process without memory.
                at_s = at_s.floor() + 1.0;
                continue;
            }
            at_s = next_s;
            let entry = self.completion(at_s, service, callers, rate.mix, first_prefix);
            self.trace.requests.push(entry);
        }
    }

    fn completion(
        &mut self,
        at_s: f64,
        service: &str,
        callers: &[&str],
        mix: RequestMix,
        first_prefix: u32,
    ) -> TraceEntry {
        let prefix = first_prefix + self.random.random_range(0..self.profile.prefixes);
        TraceEntry {
            at_ms: (at_s * 1000.0) as u64,
            body: None,
            caller: self.pick(callers),
            deadline_ms: Some((mix.deadline_s * 1000.0) as u64),
            failure_domain: Some(self.pick(&DOMAINS)),
            key: None,
            method: None,
            output_tokens: self.random_tokens(mix.output),
            path: None,
            prefix: Some(format!("{}-{prefix}", self.profile.prefix)),
            prefix_tokens: mix.prefix as u32,
            prompt_tokens: self.random_tokens(mix.prompt).max(mix.prefix as u32 + 1),
            service: service.to_owned(),
        }
    }

    /// Adds calls to the plain service. Every tenth call is sent again with the same key.
    fn add_plain(&mut self, duration_s: f64) {
        let mut at_s = self.random_interval_s(PLAIN_CALLS_PER_SECOND);
        let mut number = 0;
        while at_s < duration_s {
            number += 1;
            let entry = TraceEntry {
                at_ms: (at_s * 1000.0) as u64,
                body: Some(format!("{{\"number\":{number}}}")),
                caller: self.pick(self.profile.callers),
                deadline_ms: Some(5000),
                failure_domain: Some(self.pick(&DOMAINS)),
                key: Some(format!("{}-{number}", self.profile.plain)),
                method: Some("POST".to_owned()),
                output_tokens: 0,
                path: Some(self.profile.plain_path.to_owned()),
                prefix: None,
                prefix_tokens: 0,
                prompt_tokens: 0,
                service: self.profile.plain.to_owned(),
            };
            if number % 10 == 0 {
                let repeated = TraceEntry { at_ms: entry.at_ms + 700, ..entry.clone() };
                self.trace.requests.push(repeated);
            }
            self.trace.requests.push(entry);
            at_s += self.random_interval_s(PLAIN_CALLS_PER_SECOND);
        }
    }

    fn add_events(&mut self, shape: TraceScenario, duration_s: f64) {
        let (begin, end, failure_share) = match shape {
            TraceScenario::Withdrawn => (FleetEventKind::Withdraw, FleetEventKind::Restore, 0.0),
            TraceScenario::BadVersion => {
                (FleetEventKind::BadVersion, FleetEventKind::GoodVersion, FAILURE_SHARE)
            }
            _ => return,
        };
        let engine = self.profile.engine;
        let event = |share: f64, event, failure_share| FleetEvent {
            at_ms: (duration_s * share * 1000.0) as u64,
            engine: engine.to_owned(),
            event,
            failure_share,
        };
        self.trace.events.push(event(1.0 / 3.0, begin, failure_share));
        self.trace.events.push(event(2.0 / 3.0, end, 0.0));
    }

    fn random_interval_s(&mut self, per_second: f64) -> f64 {
        let share: f64 = self.random.random();
        -(1.0 - share).ln() / per_second
    }

    fn random_tokens(&mut self, mean: f64) -> u32 {
        let factor = self.random.random_range(1.0 - TOKEN_SPREAD..1.0 + TOKEN_SPREAD);
        (mean * factor).round().max(1.0) as u32
    }

    fn pick(&mut self, names: &[&str]) -> String {
        names[self.random.random_range(0..names.len())].to_owned()
    }
}
