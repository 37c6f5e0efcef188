//! Counters and histograms, served in the Prometheus text format.

use std::fmt;

use gooseberry_core::serving::accounts::AccountCounter;
use parking_lot::Mutex;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Bounds of the latency buckets, in seconds: around the objectives of 0.12 to 0.8 s and the
/// deadlines of 0.8 to 8 s.
const LATENCY_BUCKETS_SECONDS: &[f64] =
    &[0.01, 0.03, 0.06, 0.12, 0.2, 0.3, 0.4, 0.6, 0.8, 1.5, 3.0, 8.0];

/// Number of accounts that have a label of their own. The others share one.
const ACCOUNT_LABEL_LIMIT: usize = 20;
/// Label of the accounts that have none of their own.
const OTHER_ACCOUNTS: &str = "other";

/// Function that returns the number of lines that the log has dropped.
pub type LineCounter = Box<dyn Fn() -> u64 + Send + Sync>;

/// Metrics of the memory that is held for callers.
#[derive(Clone)]
pub struct MemoryMetrics {
    /// Bytes held.
    pub held: IntGauge,
    /// Bytes that may be held.
    pub limit: IntGauge,
    /// Requests and responses shed, by kind.
    pub sheds: IntCounterVec,
    /// Bodies refused, by reason.
    pub refusals: IntCounterVec,
}

impl fmt::Debug for MemoryMetrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("MemoryMetrics").finish_non_exhaustive()
    }
}

/// Metrics of the orders for engines. Only the leader has any.
#[derive(Clone, Debug)]
pub struct CapacityMetrics {
    /// Engines by service, domain, kind and state (`desired`, `present` or `booting`).
    pub engines: IntGaugeVec,
    /// Orders by outcome.
    pub orders: IntCounterVec,
}

/// Metrics of one daemon.
pub struct GatewayMetrics {
    registry: Registry,
    lines_dropped: IntGauge,
    count_dropped_lines: LineCounter,
    /// Ended requests by route and outcome.
    pub requests: IntCounterVec,
    /// Ended requests by account, of which the largest are served.
    pub account_requests: Mutex<AccountCounter>,
    account_gauges: IntGaugeVec,
    /// Requests refused for their API key, by decision.
    pub access_refusals: IntCounterVec,
    /// Time to the response head by route.
    pub latency: HistogramVec,
    /// Sends to backend servers by outcome.
    pub sends: IntCounterVec,
    /// Resumed streams by how the version that began them was found.
    pub resumes: IntCounterVec,
    /// Requests refused because a prompt part may crash engines, by the part's status.
    pub part_refusals: IntCounterVec,
    /// Requests that a contended service refused, by the standing of their account.
    pub share_refusals: IntCounterVec,
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
    /// Memory that is held for callers.
    pub memory: MemoryMetrics,
    pub capacity: CapacityMetrics,
    /// Window of each server that is paced, in thousandths of what its peers hold.
    pub paces: IntGaugeVec,
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
        let engines = IntGaugeVec::new(
            Opts::new("capacity_engines", "Engines of the services that can be scaled"),
            &["service", "domain", "kind", "state"],
        )?;
        registry.register(Box::new(engines.clone()))?;
        let orders = counters("capacity_orders_total", "Orders for engines", &["outcome"])?;
        let paces = IntGaugeVec::new(
            Opts::new("server_pace", "Window of a paced server, in thousandths of its peers' work"),
            &["server"],
        )?;
        registry.register(Box::new(paces.clone()))?;
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
        // Not a counter: the sum of the other accounts falls when one of them gets its own label.
        let account_gauges = IntGaugeVec::new(
            Opts::new("account_requests", "Ended requests of the largest accounts"),
            &["account"],
        )?;
        registry.register(Box::new(account_gauges.clone()))?;
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        Ok(Self {
            paces,
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
            account_requests: Mutex::default(),
            account_gauges,
            access_refusals: counters(
                "access_refusals_total",
                "Requests refused for their API key",
                &["decision"],
            )?,
            latency,
            sends: counters("sends_total", "Sends to backend servers", &["outcome"])?,
            resumes: counters("resumes_total", "Resumed streams", &["origin"])?,
            part_refusals: counters(
                "part_refusals_total",
                "Requests refused for a prompt part",
                &["status"],
            )?,
            share_refusals: counters(
                "share_refusals_total",
                "Requests that a contended service refused",
                &["standing"],
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
            memory: MemoryMetrics {
                held: gauge("caller_memory_bytes", "Memory held for callers")?,
                limit: gauge("caller_memory_limit_bytes", "Memory that may be held for callers")?,
                sheds: counters(
                    "caller_memory_sheds_total",
                    "Requests and responses of stalled callers that were dropped",
                    &["kind"],
                )?,
                refusals: counters(
                    "caller_memory_refusals_total",
                    "Waits or refusals for lack of memory, and bodies that were too slow",
                    &["reason"],
                )?,
            },
            capacity: CapacityMetrics { engines, orders },
            connections,
            lines_dropped: gauge("log_lines_dropped", "Lines that the log has lost")?,
            count_dropped_lines,
            version: gauge("configuration_version", "Version of the configuration in force")?,
            registry,
        })
    }

    fn set_account_gauges(&self) {
        let counter = self.account_requests.lock();
        let (largest, others) = counter.largest(ACCOUNT_LABEL_LIMIT);
        self.account_gauges.reset();
        for (name, count) in largest {
            self.account_gauges.with_label_values(&[name]).add(count as i64);
        }
        if others > 0 {
            self.account_gauges.with_label_values(&[OTHER_ACCOUNTS]).add(others as i64);
        }
    }

    /// Encodes all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric can't be encoded.
    pub fn render(&self) -> Result<Vec<u8>, prometheus::Error> {
        self.lines_dropped.set((self.count_dropped_lines)() as i64);
        self.set_account_gauges();
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
