//! Counters and histograms, served in the Prometheus text format.

use std::fmt;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Bounds of the latency buckets, in seconds: around the objectives of 0.12 to 0.8 s and the
/// deadlines of 0.8 to 8 s.
const LATENCY_BUCKETS_SECONDS: &[f64] =
    &[0.01, 0.03, 0.06, 0.12, 0.2, 0.3, 0.4, 0.6, 0.8, 1.5, 3.0, 8.0];

/// Function that returns the number of lines that the log has dropped.
pub type LineCounter = Box<dyn Fn() -> u64 + Send + Sync>;

/// Metrics of one daemon.
pub struct GatewayMetrics {
    registry: Registry,
    lines_dropped: IntGauge,
    count_dropped_lines: LineCounter,
    /// Ended requests by route and outcome.
    pub requests: IntCounterVec,
    /// Time to the response head by route.
    pub latency: HistogramVec,
    /// Sends to backend servers by outcome.
    pub sends: IntCounterVec,
    /// Resumed streams by how the version that began them was found.
    pub resumes: IntCounterVec,
    /// Requests refused because a prompt part may crash engines, by the part's status.
    pub part_refusals: IntCounterVec,
    /// Ended streams by end and by framing of the engine's response.
    pub streams: IntCounterVec,
    /// Retries that the retry budget granted or refused.
    pub retries: IntCounterVec,
    /// Calls to the key-value service by outcome. Successful calls to a relay count as well.
    pub store_calls: IntCounterVec,
    /// Times at which the key-value service was found to have come back from a copy.
    pub era_changes: IntCounter,
    /// Datagrams to and from other daemons, and those that can't be decoded.
    pub datagrams: IntCounterVec,
    /// Updates of daemons of other builds that this one doesn't know, by the newest format that the
    /// sender reads.
    pub skipped_updates: IntCounterVec,
    /// New connections to backend servers.
    pub connections: IntCounter,
    /// Servers that said in a response to this daemon that they leave.
    pub leaving_servers: IntCounter,
    /// Requests refused because the limits or the quiet of servers held them back.
    pub held_back: IntCounter,
    /// Responses in which servers asked for quiet.
    pub quiet_requests: IntCounter,
    /// Times at which this daemon found itself cut off from a service.
    pub cuts: IntCounter,
    /// Requests handed to other daemons, by outcome.
    pub forwards: IntCounterVec,
    /// Requests of other daemons that were taken over.
    pub taken_over: IntCounter,
    /// Usage reports that the platform has accepted.
    pub usage_reported: IntCounter,
    /// Usage reports that were of no use before the platform accepted them.
    pub usage_missed: IntCounter,
    /// Requests that became known after the report of their window was stored.
    pub usage_lost: IntCounter,
    /// Version of the current configuration.
    pub version: IntGauge,
}

impl fmt::Debug for GatewayMetrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("GatewayMetrics").finish_non_exhaustive()
    }
}

impl GatewayMetrics {
    /// Creates the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub fn new(count_dropped_lines: LineCounter) -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("gooseberrykeel".to_owned()), None)?;
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let latency = HistogramVec::new(
            HistogramOpts::new("answer_seconds", "Time to the head of the answer")
                .buckets(LATENCY_BUCKETS_SECONDS.to_vec()),
            &["route"],
        )?;
        registry.register(Box::new(latency.clone()))?;
        let connections =
            IntCounter::new("connections_total", "New connections to backend servers")?;
        registry.register(Box::new(connections.clone()))?;
        let held_back =
            IntCounter::new("held_back_total", "Requests refused by servers' limits or quiet")?;
        registry.register(Box::new(held_back.clone()))?;
        let quiet_requests =
            IntCounter::new("quiet_requests_total", "Responses that asked for quiet")?;
        registry.register(Box::new(quiet_requests.clone()))?;
        let cuts = IntCounter::new("cuts_total", "Cuts from the servers of a service")?;
        registry.register(Box::new(cuts.clone()))?;
        let era_changes =
            IntCounter::new("store_era_changes_total", "Returns of the store from a copy")?;
        registry.register(Box::new(era_changes.clone()))?;
        let taken_over = IntCounter::new("taken_over_total", "Requests taken over")?;
        registry.register(Box::new(taken_over.clone()))?;
        let leaving_servers =
            IntCounter::new("leaving_servers_total", "Servers that said that they leave")?;
        registry.register(Box::new(leaving_servers.clone()))?;
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        Ok(Self {
            usage_reported: counter("usage_reported_total", "Usage reports that were accepted")?,
            usage_missed: counter("usage_missed_total", "Usage reports that were never accepted")?,
            usage_lost: counter("usage_lost_total", "Requests that no usage report has")?,
            leaving_servers,
            held_back,
            quiet_requests,
            cuts,
            era_changes,
            taken_over,
            forwards: counters("forwards_total", "Requests handed to other daemons", &["outcome"])?,
            requests: counters("requests_total", "Ended requests", &["route", "outcome"])?,
            latency,
            sends: counters("sends_total", "Sends to backend servers", &["outcome"])?,
            resumes: counters("resumes_total", "Resumed streams", &["origin"])?,
            part_refusals: counters(
                "part_refusals_total",
                "Requests refused for a prompt part",
                &["status"],
            )?,
            streams: counters("streams_total", "Ended streams", &["end", "framing"])?,
            retries: counters("retries_total", "Further sends", &["verdict"])?,
            store_calls: counters("store_calls_total", "Calls to the store", &["outcome"])?,
            datagrams: counters("datagrams_total", "Datagrams of daemons", &["direction"])?,
            skipped_updates: counters(
                "skipped_updates_total",
                "Updates of daemons of other builds that aren't known",
                &["reads"],
            )?,
            connections,
            lines_dropped: gauge("log_lines_dropped", "Lines that the log has lost")?,
            count_dropped_lines,
            version: gauge("configuration_version", "Version of the configuration in force")?,
            registry,
        })
    }

    /// Encodes all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric can't be encoded.
    pub fn render(&self) -> Result<Vec<u8>, prometheus::Error> {
        self.lines_dropped.set((self.count_dropped_lines)() as i64);
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
