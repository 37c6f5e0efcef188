//! Computes the share of a demand that a split of engines over the roles serves.

use std::time::Duration;

use crate::fleet::EngineRole;

/// Served share above which more capacity adds nothing to the utility.
///
/// A split that serves exactly the mean demand still builds up queues, so some
/// headroom counts as useful output.
const USEFUL_HEADROOM: f64 = 1.15;
/// Share of its time that a mixed engine may spend on prefill while it decodes.
///
/// Steps that include prefill lengthen the time between the tokens of every response
/// in the batch, so responses miss their deadlines although the engine's throughput
/// would suffice.
const MIXED_PREFILL_SHARE: f64 = 0.25;
/// Served share above which splits count as equal.
const MAX_SERVED_SHARE: f64 = 16.0;

/// Holds the demand for one model, in tokens per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenDemand {
    pub prompt: f64,
    pub output: f64,
}

/// Holds the engine time per token of each phase, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PhaseCosts {
    /// Time of a prompt token on a prefill engine.
    pub prompt_dedicated: f64,
    /// Time of a prompt token on a mixed engine.
    pub prompt_mixed: f64,
    /// Time of an output token on a decode engine.
    pub output_dedicated: f64,
    /// Time of an output token on a mixed engine.
    pub output_mixed: f64,
}

/// Describes the time and size of one step of a mixed engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepTiming {
    /// Fixed time of a step.
    pub base: Duration,
    /// Time for each sequence that is decoded.
    pub per_sequence: Duration,
    /// Time for each prompt token.
    pub per_prompt_token: Duration,
    /// Maximum number of prompt tokens that one step processes.
    pub prefill_chunk: u32,
    /// Maximum number of sequences that are decoded together.
    pub batch: u32,
    /// Factor on the time per token of a phase on an engine that is dedicated to it.
    pub dedicated_factor: f64,
}

impl Default for StepTiming {
    fn default() -> Self {
        Self {
            base: Duration::from_micros(2000),
            per_sequence: Duration::from_micros(30),
            per_prompt_token: Duration::from_micros(20),
            prefill_chunk: 512,
            batch: 64,
            dedicated_factor: 0.6,
        }
    }
}

impl PhaseCosts {
    /// Computes the costs per token in full steps, which process a whole prefill chunk or
    /// decode a whole batch.
    pub fn from_step(step: &StepTiming) -> Self {
        let prompt_base = step.base.as_secs_f64() / f64::from(step.prefill_chunk);
        let output_base = step.base.as_secs_f64() / f64::from(step.batch);
        let prompt = step.per_prompt_token.as_secs_f64();
        let output = step.per_sequence.as_secs_f64();
        Self {
            prompt_dedicated: prompt_base + prompt * step.dedicated_factor,
            prompt_mixed: prompt_base + prompt,
            output_dedicated: output_base + output * step.dedicated_factor,
            output_mixed: output_base + output,
        }
    }
}

/// Counts the engines of each role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoleSplit {
    pub prefill: u32,
    pub mixed: u32,
    pub decode: u32,
}

impl RoleSplit {
    /// Returns the number of engines of a role.
    pub fn count(&self, role: EngineRole) -> u32 {
        match role {
            EngineRole::Prefill => self.prefill,
            EngineRole::Mixed => self.mixed,
            EngineRole::Decode => self.decode,
        }
    }

    /// Adds an engine of a role.
    pub fn add(&mut self, role: EngineRole) {
        *self.count_mut(role) += 1;
    }

    /// Returns the split with one engine of a role removed.
    pub fn without(mut self, role: EngineRole) -> Self {
        let count = self.count_mut(role);
        *count = count.saturating_sub(1);
        self
    }

    /// Returns the split after one engine has changed its role.
    pub fn changed(self, from: EngineRole, to: EngineRole) -> Self {
        let mut split = self.without(from);
        split.add(to);
        split
    }

    /// Tells whether some engine prefills and some engine decodes.
    pub fn serves_both_phases(&self) -> bool {
        self.prefill + self.mixed > 0 && self.decode + self.mixed > 0
    }

    /// Tells whether prefill engines, if there are any, have a decode engine to hand requests
    /// off to.
    ///
    /// Without a decode engine the mixed engines decode everything, and the prompts that
    /// they still prefill lengthen the time between tokens.
    pub fn can_hand_off(&self) -> bool {
        self.prefill == 0 || self.decode > 0
    }

    /// Returns the number of role changes between two splits of equally many engines.
    pub fn distance(&self, other: &Self) -> u32 {
        let difference = self.prefill.abs_diff(other.prefill)
            + self.mixed.abs_diff(other.mixed)
            + self.decode.abs_diff(other.decode);
        difference / 2
    }

    /// Returns every split of a number of engines that serves both phases.
    pub fn all(engines: u32) -> impl Iterator<Item = Self> {
        (0..=engines)
            .flat_map(move |prefill| {
                (0..=engines - prefill).map(move |decode| Self {
                    prefill,
                    mixed: engines - prefill - decode,
                    decode,
                })
            })
            .filter(Self::serves_both_phases)
    }

    /// Returns the share of a demand that the split serves; a share above 1 has headroom.
    ///
    /// Dedicated engines serve their phase first, and mixed engines serve the rest of both
    /// phases within their time.
    pub fn served_share(&self, demand: TokenDemand, costs: &PhaseCosts) -> f64 {
        let prompt_factor = costs.prompt_mixed / costs.prompt_dedicated;
        let output_factor = costs.output_mixed / costs.output_dedicated;
        let prompt_work = demand.prompt * costs.prompt_dedicated;
        let output_work = demand.output * costs.output_dedicated;
        let (prefill, mixed, decode) =
            (f64::from(self.prefill), f64::from(self.mixed), f64::from(self.decode));
        let prompt_only = ratio(mixed / prompt_factor + prefill, prompt_work);
        let output_only = ratio(mixed / output_factor + decode, output_work);
        let both = ratio(
            mixed + prefill * prompt_factor + decode * output_factor,
            prompt_work * prompt_factor + output_work * output_factor,
        );
        let without_mixed_decode = ratio(decode, output_work);
        let interleaved = ratio(mixed * MIXED_PREFILL_SHARE / prompt_factor + prefill, prompt_work);
        prompt_only
            .min(output_only)
            .min(both)
            .min(interleaved.max(without_mixed_decode))
            .min(MAX_SERVED_SHARE)
    }

    /// Returns the useful output of the split under a demand, in tokens per second.
    pub fn utility(&self, demand: TokenDemand, costs: &PhaseCosts) -> f64 {
        let share = self.served_share(demand, costs).min(USEFUL_HEADROOM);
        demand.output * share / USEFUL_HEADROOM
    }

    fn count_mut(&mut self, role: EngineRole) -> &mut u32 {
        match role {
            EngineRole::Prefill => &mut self.prefill,
            EngineRole::Mixed => &mut self.mixed,
            EngineRole::Decode => &mut self.decode,
        }
    }
}

/// Returns the ratio of capacity to work, which is infinite if there is no work.
fn ratio(capacity: f64, work: f64) -> f64 {
    if work <= 0.0 {
        return f64::INFINITY;
    }
    capacity / work
}
