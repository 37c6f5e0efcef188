//! Estimates the prefill speed of engines from durations that contain an overhead.
//!
//! A prompt's duration is an overhead (the request's way, the first step, the response) and its work
//! at the engine's speed. Engines that read a prompt in 3 ms spend most of the duration in the
//! overhead, so both are fitted, by least squares over the latest prefills.

/// Factor on the weight of the earlier prefills at each new one: about 50 of them count.
const DECAY: f64 = 0.98;
/// Weight of prefills from which the fit is used.
const MIN_WEIGHT: f64 = 8.0;
/// Least spread of the prefills' work, as a part of its mean, at which the speed can be told from the
/// overhead.
const MIN_SPREAD: f64 = 0.3;
/// A duration counts up to this multiple of the fitted one: prefills may have been delayed.
const MAX_EXCESS: f64 = 3.0;

/// Sums over prefills of one service and stage.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillFit {
    weight: f64,
    work: f64,
    ms: f64,
    work_squares: f64,
    products: f64,
}

impl PrefillFit {
    /// Adds a prefill of this work that took `ms`, overhead included.
    pub fn record(&mut self, work: f64, ms: f64) {
        let ms = match self.line() {
            Some((per_unit, overhead)) => ms.min(MAX_EXCESS * (overhead + per_unit * work)),
            None => ms,
        };
        for sum in [
            &mut self.weight,
            &mut self.work,
            &mut self.ms,
            &mut self.work_squares,
            &mut self.products,
        ] {
            *sum *= DECAY;
        }
        self.weight += 1.0;
        self.work += work;
        self.ms += ms;
        self.work_squares += work * work;
        self.products += work * ms;
    }

    /// Returns the overhead in milliseconds, if the prefills so far show it.
    pub fn overhead_ms(&self) -> Option<f64> {
        self.line().map(|(_, overhead)| overhead)
    }

    /// Returns the milliseconds of a unit of work, and the overhead.
    fn line(&self) -> Option<(f64, f64)> {
        let (mean_work, mean_ms) = (self.work / self.weight, self.ms / self.weight);
        let variance = self.work_squares / self.weight - mean_work * mean_work;
        if self.weight < MIN_WEIGHT || variance < (MIN_SPREAD * mean_work).powi(2) {
            return None;
        }
        let per_unit = (self.products / self.weight - mean_work * mean_ms) / variance;
        let overhead = mean_ms - per_unit * mean_work;
        (per_unit > 0.0 && overhead > 0.0).then_some((per_unit, overhead))
    }
}
