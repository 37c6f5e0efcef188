//! How many engines a service needs, from the load that it has had.
//!
//! Handles loads that rise within seconds, as in the morning: the number of engines has to suffice
//! for the load at the time at which engines that are ordered now serve. Also handles loads that
//! swing within seconds, such as waves with a period of 11 s: engines that the last peak needed are
//! kept for the next one. Bursts of 1.9 times the load have no forecast. The target utilisations
//! leave room for them.

use std::{collections::VecDeque, time::Duration};

use crate::{serving::rate, time::Timestamp};

/// Target utilisation of engines by prefills. A burst of 1.9 times the load fills engines to 0.86,
/// below which prompts still meet their objectives.
pub const PREFILL_UTILISATION: f64 = 0.45;
/// Target utilisation of the slots of decode engines. With all slots in use, pauses between events
/// exceed their limits, so a burst must not fill them.
const DECODE_UTILISATION: f64 = 0.5;
/// Utilisation at the forecast load, which rules in the first seconds of a rise. It exceeds the
/// targets: a burst is over in 10 s, when engines that were ordered for it have just booted, and uses
/// the reserve that the targets leave.
const FORECAST_UTILISATION: f64 = 0.6;
/// Time over which the load is averaged for the target utilisations.
const SUSTAINED_WINDOW: Duration = Duration::from_secs(8);
/// Highest ratio of the forecast load to the measured one. The first seconds of traffic look like a
/// steep trend.
const MAX_GROWTH: f64 = 1.5;
/// Time from a decision until the platform has the order: a planning round and a slow call.
const ORDER_LATENCY: Duration = Duration::from_secs(2);
/// Time within which waiting work is to be done by additional engines.
const WAITING_DRAIN_S: f64 = 2.0;
/// Time for which the need has to be lower before engines are removed.
const LOWER_NEED_WINDOW: Duration = Duration::from_secs(10);
/// Time over which a trend is measured: most of the period of the shortest wave of the load, 11 s, so that
/// the rise of a wave is no trend.
const TREND_WINDOW: Duration = Duration::from_secs(9);
/// Ratio of the load to its average from which traffic counts as ramping. Samples differ by some
/// percent without a ramp.
const RAMP_RATIO: f64 = 1.1;
/// Shortest time between two points of a trend, in seconds.
const MIN_ELAPSED_S: f64 = 0.1;
/// Busy engines below which there is no load. Probes and single requests tell nothing.
const MIN_BUSY_ENGINES: f64 = 0.1;
/// Weight of the newest sample in the smoothed load. One sample holds the work of about a second, in
/// which requests of different sizes differ by some percent.
const SAMPLE_WEIGHT: f64 = 0.6;

/// Load of a service on all daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// Prefill engines that the sent prompts keep busy, as the average of an
    /// [`EventRate`](rate::EventRate).
    pub prefill_engines: f64,
    /// Decode engines whose slots the unfinished requests would fill.
    pub decode_engines: f64,
    /// Prefills that wait at engines, in seconds of an engine.
    pub waiting_s: f64,
}

/// Load at one time, in busy engines.
#[derive(Clone, Copy, Debug)]
struct LoadPoint {
    at: Timestamp,
    prefill: f64,
    decode: f64,
    /// Engines needed.
    need: f64,
}

impl LoadPoint {
    fn busy(&self) -> f64 {
        self.prefill + self.decode
    }
}

/// Load of a service over the last seconds.
#[derive(Clone, Debug, Default)]
pub struct CapacityDemand {
    points: VecDeque<LoadPoint>,
    last_sample: Option<(LoadSample, Timestamp)>,
    /// Time at which a load was first measured.
    loaded_at: Option<Timestamp>,
}

impl CapacityDemand {
    /// Adds a sample. They are expected about once a second. `boot` is the time from an order to the
    /// first request that a new engine serves.
    pub fn observe(&mut self, sample: LoadSample, boot: Duration, now: Timestamp) {
        let prefill = self.recent_prefill(sample, now);
        self.last_sample = Some((sample, now));
        if prefill + sample.decode_engines >= MIN_BUSY_ENGINES {
            self.loaded_at.get_or_insert(now);
        }
        if self.loaded_at.is_none() {
            return;
        }
        let smooth =
            |old: Option<f64>, new: f64| old.map_or(new, |old| old + (new - old) * SAMPLE_WEIGHT);
        let last = self.points.back().copied();
        let prefill = smooth(last.map(|point| point.prefill), prefill);
        let decode = smooth(last.map(|point| point.decode), sample.decode_engines);
        let mut point = LoadPoint { at: now, prefill, decode, need: 0.0 };
        self.points.push_back(point);
        let forecast = self.forecast(boot + ORDER_LATENCY);
        let waiting = sample.waiting_s / WAITING_DRAIN_S;
        let (prefill, decode) = self.sustained();
        let need = prefill / PREFILL_UTILISATION + decode / DECODE_UTILISATION;
        point.need = need.max(forecast / FORECAST_UTILISATION) + waiting;
        self.points.pop_back();
        self.points.push_back(point);
        let oldest = now - LOWER_NEED_WINDOW;
        // One point from before the window stays, so that the window is known to be covered.
        while self.points.get(1).is_some_and(|point| point.at <= oldest) {
            self.points.pop_front();
        }
    }

    /// Returns whether a load has been measured.
    pub fn is_measured(&self) -> bool {
        self.loaded_at.is_some()
    }

    /// Returns the time since a load was first measured.
    pub fn loaded_for(&self, now: Timestamp) -> Option<Duration> {
        self.loaded_at.map(|at| now.since(at))
    }

    /// Returns the engines that the last load kept busy, in both phases together.
    pub fn busy_engines(&self) -> f64 {
        self.points.back().map_or(0.0, LoadPoint::busy)
    }

    /// Returns the number of engines that are needed now, or none without a measured load.
    pub fn need(&self) -> Option<f64> {
        self.points.back().map(|point| point.need)
    }

    /// Returns the highest number of engines that was needed within the window after which engines
    /// are removed, or none before the load was measured for so long.
    pub fn lasting_need(&self, now: Timestamp) -> Option<f64> {
        let first = self.points.front()?;
        if now.since(first.at) < LOWER_NEED_WINDOW {
            return None;
        }
        self.points.iter().map(|point| point.need).reduce(f64::max)
    }

    /// Returns whether the load is above its average of the last seconds.
    pub fn is_ramping(&self) -> bool {
        let (prefill, decode) = self.sustained();
        self.busy_engines() > (prefill + decode) * RAMP_RATIO
    }

    /// Returns the prefill load since the last sample. The samples are averages that follow the load
    /// with a delay of seconds, and the rise of such an average shows the load itself.
    fn recent_prefill(&self, sample: LoadSample, now: Timestamp) -> f64 {
        let Some((last, at)) = self.last_sample else {
            return sample.prefill_engines;
        };
        let elapsed = now.since(at).as_secs_f64();
        let kept = (-elapsed / rate::AVERAGING_WINDOW.as_secs_f64()).exp();
        if kept > 0.99 {
            return sample.prefill_engines;
        }
        ((sample.prefill_engines - last.prefill_engines * kept) / (1.0 - kept)).max(0.0)
    }

    /// Returns the growth of the busy engines per second. It is the lowest one of the thirds of the
    /// window, so that a single step is no trend.
    fn growth(&self) -> f64 {
        let Some(last) = self.points.back() else {
            return 0.0;
        };
        let window_start = last.at - TREND_WINDOW;
        let recent: Vec<&LoadPoint> =
            self.points.iter().filter(|point| point.at >= window_start).collect();
        let count = recent.len();
        if count < 4 {
            return 0.0;
        }
        let corners = [0, count / 3, count * 2 / 3, count - 1].map(|index| recent[index]);
        let slopes = corners.windows(2).map(|pair| {
            let elapsed = pair[1].at.since(pair[0].at).as_secs_f64();
            (pair[1].busy() - pair[0].busy()) / elapsed.max(MIN_ELAPSED_S)
        });
        slopes.fold(f64::INFINITY, f64::min)
    }

    /// Returns the average load of the last seconds, in prefill and in decode engines.
    fn sustained(&self) -> (f64, f64) {
        let Some(last) = self.points.back() else {
            return (0.0, 0.0);
        };
        let window_start = last.at - SUSTAINED_WINDOW;
        let recent = self.points.iter().filter(|point| point.at > window_start);
        let (prefill, decode, count) = recent.fold((0.0, 0.0, 0.0), |sum, point| {
            (sum.0 + point.prefill, sum.1 + point.decode, sum.2 + 1.0)
        });
        (prefill / count, decode / count)
    }

    /// Returns the load after a time, in busy engines.
    fn forecast(&self, horizon: Duration) -> f64 {
        let busy = self.busy_engines();
        let growth = self.growth().max(0.0) * horizon.as_secs_f64();
        (busy + growth).min(busy * MAX_GROWTH)
    }
}
