//! How many engines of a service should decode.
//!
//! Answers loads of any mix: prompts of thousands of tokens before a few events need engines that
//! prefill, short prefills before long outputs need slots at engines that decode. The share follows
//! from the engines that each phase keeps busy, measured over all daemons: prefills by their work,
//! streams by the slots that they hold. It is averaged over seconds, as each order takes an engine
//! offline for seconds. Requests that queue at engines count as busy slots, too.

use smol_str::SmolStr;

use crate::{
    serving::{
        directory::{EngineStage, ServerPresence},
        fleet::ServerFleet,
    },
    time::Timestamp,
};

/// Lowest share of a failure domain's engines that decode. Slots alone don't show what decoding
/// needs: with all slots in use, steps take longer than the pauses between events may.
const MIN_DECODE_SHARE: f64 = 0.25;
/// Streams that need slots for each engine that prefills, until the load is measured.
const ASSUMED_STREAMS: f64 = 10.0;
/// Weight of the newest observation in the averages.
const OBSERVATION_WEIGHT: f64 = 0.2;
/// Observations before the averages are used.
const MIN_OBSERVATIONS: u32 = 5;
/// Busy engines, of both phases together, below which a load tells nothing.
const MIN_BUSY_ENGINES: f64 = 0.1;

/// Engines that the two phases of a service's requests keep busy.
#[derive(Clone, Copy, Debug, Default)]
pub struct StageDemand {
    decode_engines: f64,
    prefill_engines: f64,
    observations: u32,
}

impl StageDemand {
    /// Adds an observation of a service's engines. They are expected about once a second.
    pub fn observe(&mut self, fleet: &ServerFleet, service: &SmolStr, now: Timestamp) {
        let engines = fleet.iter().map(|(_, state)| state).filter(|state| {
            state.entry.service == *service
                && state.presence == ServerPresence::Present
                && state.entry.stage != EngineStage::Prefill
        });
        let decode_engines = engines
            .map(|state| f64::from(state.requests()) / f64::from(state.entry.slots.max(1)))
            .sum::<f64>();
        let prefill_engines = fleet.busy_prefill_engines(service, now);
        if decode_engines + prefill_engines < MIN_BUSY_ENGINES {
            return;
        }
        let weight = if self.observations == 0 { 1.0 } else { OBSERVATION_WEIGHT };
        self.decode_engines += (decode_engines - self.decode_engines) * weight;
        self.prefill_engines += (prefill_engines - self.prefill_engines) * weight;
        self.observations += 1;
    }

    /// Returns the share of engines that should decode, from 0 to 1, if each has so many slots.
    pub fn decode_share(&self, slots: u32) -> f64 {
        let share = if self.observations < MIN_OBSERVATIONS {
            ASSUMED_STREAMS / (ASSUMED_STREAMS + f64::from(slots))
        } else {
            self.decode_engines / (self.decode_engines + self.prefill_engines)
        };
        share.clamp(MIN_DECODE_SHARE, 1.0)
    }
}
