//! Forwards the events of an engine to the caller as they arrive.

use std::{sync::Arc, time::Duration};

use async_std::task;
use futures_lite::FutureExt;
use gooseberry_core::{
    serving::{
        configuration::RouteRow,
        event_stream::{BodyFraming, EventTracker},
        prompt::{self, PartFingerprint},
    },
    time::Timestamp,
};
use gooseberry_platform::{engine, front};
use gooseberry_transport::body::{ArrivingBody, BodyError, ResponseBody};
use http::{header, Extensions, Response, StatusCode};
use http_body_util::BodyExt;
use smol_str::SmolStr;

use crate::{
    call::Call,
    crashes::{self, TrialGuard},
    gateway::Gateway,
    prefill_guard::PrefillGuard,
    send::{self, SendResponse, SendTarget},
    state::DoubtfulEnd,
};

/// Chunks that are buffered for a slow caller before reads from the engine pause.
const CHUNK_BUFFER: usize = 16;

/// Largest event of a stream, in bytes. An engine in trouble may send bytes without end that are no
/// events.
const EVENT_LIMIT_BYTES: u64 = 1024 * 1024;

/// State of the task that forwards a stream.
struct StreamTask {
    gateway: Arc<Gateway>,
    target: SendTarget,
    request_id: SmolStr,
    route: SmolStr,
    arrived_at: Timestamp,
    blamable_parts: Vec<PartFingerprint>,
    trial: Option<Arc<TrialGuard>>,
    time_left: Duration,
    chunks: async_channel::Sender<Result<bytes::Bytes, BodyError>>,
    has_events: bool,
    prefill_guard: Option<PrefillGuard>,
    /// Extensions of the caller's request.
    caller: Extensions,
    /// Account for which the request is to be counted at its first event.
    account: Option<SmolStr>,
}

/// Counts, events and pauses of a stream's chunks.
#[derive(Clone, Copy, Debug, Default)]
struct StreamStatistics {
    chunks: u32,
    bytes: usize,
    events: EventTracker,
    last_chunk_at: Option<Timestamp>,
    longest_pause: Duration,
}

impl StreamStatistics {
    fn record(&mut self, data: &[u8], now: Timestamp) {
        if let Some(last_chunk_at) = self.last_chunk_at {
            self.longest_pause = self.longest_pause.max(now.since(last_chunk_at));
        }
        self.chunks += 1;
        self.bytes += data.len();
        self.events.push(data);
        self.last_chunk_at = Some(now);
    }
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum StreamEnd {
    /// The engine ended the stream.
    Whole,
    /// The caller disconnected.
    CallerLeft,
    /// The connection to the engine failed before the end of the stream.
    Broken,
    /// The engine ended the stream inside an event or before the first one, or sent bytes that are no
    /// events.
    Cut,
    /// The deadline passed.
    TimedOut,
}

/// Returns the caller's response and starts a task that forwards the body to it.
pub fn forward(
    call: &Call,
    route: &RouteRow,
    target: &SendTarget,
    answer: SendResponse,
    prefill_guard: Option<PrefillGuard>,
) -> Response<ResponseBody> {
    let (sender, receiver) = async_channel::bounded(CHUNK_BUFFER);
    let has_events = engine::has_events(&answer.response, route.kind);
    // Whether a stream of events is complete is known only after its last byte, when a stated
    // length would already have made it complete for the caller.
    let length = answer.response.headers().get(header::CONTENT_LENGTH);
    let length = length.filter(|_| !has_events);
    let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
    let mut head = Response::new(ResponseBody::parts(receiver, length));
    *head.status_mut() = answer.response.status();
    *head.headers_mut() = answer.response.headers().clone();
    front::strip_connection_headers(head.headers_mut());
    if has_events {
        head.headers_mut().remove(header::CONTENT_LENGTH);
    }
    let task = StreamTask {
        gateway: Arc::clone(&call.gateway),
        target: target.clone(),
        request_id: call.head.request_id.clone(),
        route: route.name.clone(),
        arrived_at: call.arrived_at,
        blamable_parts: call.blamable_parts.clone(),
        trial: call.trial.lock().clone(),
        time_left: call.time_left(),
        chunks: sender,
        has_events,
        prefill_guard,
        caller: call.parts.extensions.clone(),
        account: call.account.as_ref().map(|account| account.name.clone()).filter(|_| has_events),
    };
    if !has_events {
        call.record_usage();
    }
    task::spawn(task.run(answer));
    head
}

impl StreamTask {
    async fn run(mut self, answer: SendResponse) {
        let clock = self.gateway.clock.clone();
        let SendResponse { sent_at, response, connection, guard } = answer;
        let status = response.status();
        let idle = engine::idle_limit(response.headers());
        let closes = engine::closes_connection(response.headers());
        let framing = engine::body_framing(response.headers());
        let mut body = response.into_body();
        let mut statistics = StreamStatistics::default();
        let time_left = self.time_left;
        let forwarded = clock
            .timeout(time_left, self.forward_chunks(sent_at, &mut body, &mut statistics))
            .await;
        let end = match forwarded.unwrap_or(StreamEnd::TimedOut) {
            StreamEnd::Whole if self.has_events && !statistics.events.is_complete(framing) => {
                StreamEnd::Cut
            }
            end => end,
        };
        tracing::info!(
            request = %self.request_id,
            server = %self.target.id,
            blamable_parts = prompt::describe_parts(&self.blamable_parts),
            %end,
            parts = statistics.chunks,
            bytes = statistics.bytes,
            %framing,
            events = statistics.events.complete_events(),
            open_bytes = statistics.events.open_bytes(),
            longest_pause_ms = statistics.longest_pause.as_millis() as u64,
            "stream ended"
        );
        let labels = [end.to_string(), framing.to_string()];
        self.gateway
            .metrics
            .streams
            .with_label_values(&labels.each_ref().map(String::as_str))
            .inc();
        drop(guard);
        self.prefill_guard = None;
        // A caller that doesn't read takes the error late, and the engine mustn't wait for it.
        let connection = (end == StreamEnd::Whole && !closes).then_some(connection);
        drop(body);
        if matches!(end, StreamEnd::Whole | StreamEnd::TimedOut) {
            let duration = self.gateway.now().since(self.arrived_at);
            self.gateway.record_duration(&self.route, duration);
        }
        match end {
            StreamEnd::Whole => {
                send::record_success(&self.gateway, self.target.key);
                self.record_completion(status, framing);
                if let Some(connection) = connection {
                    send::return_connection(&self.gateway, self.target.key, connection, idle).await;
                }
            }
            StreamEnd::CallerLeft => {}
            StreamEnd::Broken | StreamEnd::Cut => {
                self.record_doubt(DoubtfulEnd::Interrupted);
                send::record_refusal(&self.gateway, self.target.key);
                send::record_failure(&self.gateway, &self.target, "the stream ended early");
                // Sending fails only if the caller has disconnected.
                let _ = self.chunks.send(Err(BodyError::Broken)).await;
            }
            StreamEnd::TimedOut => {
                let _ = self.chunks.send(Err(BodyError::TimedOut)).await;
            }
        }
    }

    fn record_doubt(&mut self, end: DoubtfulEnd) {
        let trial = self.trial.take();
        crashes::record_doubt(&self.gateway, &self.target, &self.blamable_parts, end, trial);
    }

    /// Records that the request was completed, unless the engine failed it.
    fn record_completion(&mut self, status: StatusCode, framing: BodyFraming) {
        if status.is_success() {
            let trial = self.trial.take();
            crashes::record_completion(
                &self.gateway,
                &self.target,
                &self.blamable_parts,
                framing,
                trial,
            );
        }
    }

    async fn forward_chunks(
        &mut self,
        sent_at: Timestamp,
        body: &mut ArrivingBody,
        statistics: &mut StreamStatistics,
    ) -> StreamEnd {
        loop {
            let disconnected = async {
                self.chunks.closed().await;
                Err(StreamEnd::CallerLeft)
            };
            let frame = match async { Ok(body.frame().await) }.or(disconnected).await {
                Ok(frame) => frame,
                Err(end) => return end,
            };
            let data = match frame {
                None => return StreamEnd::Whole,
                Some(Err(_)) => return StreamEnd::Broken,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            if data.is_empty() {
                continue;
            }
            if let Some(prefill_guard) = &mut self.prefill_guard {
                // The first data of the body shows that the prefill has finished.
                prefill_guard.complete();
            } else if statistics.chunks == 0 {
                send::record_response(&self.gateway, self.target.key, sent_at);
            }
            statistics.record(&data, self.gateway.now());
            if statistics.events.complete_events() > 0 {
                if let Some(account) = self.account.take() {
                    self.gateway.usage.record(&account);
                }
            }
            if self.has_events && statistics.events.open_bytes() > EVENT_LIMIT_BYTES {
                return StreamEnd::Cut;
            }
            let data = self.gateway.memory.hold_part(&data, &self.caller).await;
            if self.chunks.send(Ok(data)).await.is_err() {
                return StreamEnd::CallerLeft;
            }
        }
    }
}
