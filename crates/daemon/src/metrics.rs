//! Metrics sent to a statsd server.

use std::{net::UdpSocket, time::Duration};

use anyhow::Context;
use cadence::{
    Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};
use gooseberry_core::outcomes::RequestOutcome;

/// Prefix of all metric names.
const METRIC_PREFIX: &str = "gooseberrykeel";

/// Sends the metrics of one daemon.
#[derive(Debug)]
pub struct MetricClient {
    client: StatsdClient,
}

impl MetricClient {
    /// Creates a client that sends to a statsd server, or drops the metrics if
    /// there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the address isn't valid.
    pub fn new(address: Option<&str>) -> anyhow::Result<Self> {
        let Some(address) = address else {
            return Ok(Self { client: StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink) });
        };
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket)
            .with_context(|| format!("can't send metrics to {address}"))?;
        let client = StatsdClient::from_sink(METRIC_PREFIX, QueuingMetricSink::from(sink));
        Ok(Self { client })
    }

    /// Counts the outcome of a request.
    pub fn request_ended(&self, outcome: RequestOutcome) {
        self.client.count_with_tags("requests", 1).with_tag("outcome", &outcome.to_string()).send();
    }

    /// Counts a request that admission control refused.
    pub fn refused(&self, reason: &str) {
        self.client.count_with_tags("refusals", 1).with_tag("reason", reason).send();
    }

    /// Counts requests and bytes that were spilled over a link.
    pub fn spilled(&self, link: &str, requests: i64, bytes: u64) {
        if requests > 0 {
            self.client.count_with_tags("spilled_requests", requests).with_tag("link", link).send();
        }
        self.client.count_with_tags("spilled_bytes", bytes).with_tag("link", link).send();
    }

    /// Counts the bytes of load reports sent to a peer, before framing.
    pub fn load_bytes_sent(&self, bytes: u64) {
        let _ = self.client.count("load_bytes", bytes);
    }

    /// Reports the time to the first token.
    pub fn first_token(&self, duration: Duration) {
        let _ = self.client.time("first_token", duration);
    }

    /// Reports the configuration revision in force.
    pub fn revision(&self, revision: u64) {
        let _ = self.client.gauge("revision", revision);
    }
}
