//! HTTP interface of the stand-in engine.

use std::{future, io, sync::Arc, time::Duration};

use async_std::task;
use gooseberry_core::time::Timestamp;
use gooseberry_edges::{
    channel::{BodyChunk, ChannelReader},
    clock::Clock,
    http::{ConnectionUse, HttpCall, HttpClient},
};
use gooseberry_wire::engine::{
    CacheEvents, CompletionChoice, CompletionChunk, CompletionRequest, CompletionResponse,
    EngineFaults, EngineOrder, EngineRole, EngineState, KvImport, LoadReport, TokenUsage,
};
use http_types::{Method, Url};
use parking_lot::Mutex;
use serde::Deserialize;
use tide::{Body, Request, Response, StatusCode};

use crate::{
    engine::{
        batch::{BatchState, StepTiming},
        orders::{OrderCounts, OrderState},
        reports::ReportHistory,
        streams::{SharedStream, StreamEnd, StreamState},
    },
    response, token,
};

/// Interval of heartbeats on a stream that has no new tokens.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which load reports are made and due orders are applied.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before an engine without work checks again for requests.
const IDLE_DELAY: Duration = Duration::from_millis(20);
/// Timeout for the response and for the body when exported KV cache is fetched.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of body chunks that are buffered for a slow connection.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// Options of the stand-in engine.
#[derive(Clone, Debug, bpaf::Bpaf)]
pub struct EngineOptions {
    /// Name of the engine in its load reports
    #[bpaf(long, argument("NAME"))]
    pub name: String,
    /// Model that the engine serves at start
    #[bpaf(long, argument("MODEL"), fallback("sample".to_owned()))]
    pub model: String,
    /// Role at start: prefill, decode or mixed
    #[bpaf(long, argument("ROLE"), fallback(EngineRole::Mixed))]
    pub role: EngineRole,
    /// Refuse orders whose fencing token is lower than that of an earlier order
    pub checks_fencing: bool,
    /// Number of pieces (KV cache blocks) of KV memory
    #[bpaf(long, argument("N"), fallback(8192))]
    pub kv_pieces: u32,
    /// Number of tokens in each piece
    #[bpaf(long, argument("N"), fallback(16))]
    pub piece_tokens: u32,
    /// Fixed duration of each step, in microseconds
    #[bpaf(long, argument("US"), fallback(2000))]
    pub step_us: u64,
    /// Duration that each decoding sequence adds to a step, in microseconds
    #[bpaf(long, argument("US"), fallback(30))]
    pub sequence_us: u64,
    /// Duration that each prompt token adds to a step, in microseconds
    #[bpaf(long, argument("US"), fallback(20))]
    pub prompt_token_us: u64,
    /// Time from an accepted order until it is applied, in milliseconds
    #[bpaf(long, argument("MS"), fallback(1500))]
    pub change_ms: u64,
    /// Age at which load reports become visible, in milliseconds
    #[bpaf(long, argument("MS"), fallback(200))]
    pub report_lag_ms: u64,
    /// Age at which cache events become visible, in milliseconds
    #[bpaf(long, argument("MS"), fallback(500))]
    pub event_lag_ms: u64,
    /// Abort the process when a running prompt contains this text; the fault crash_on, set at start
    #[bpaf(long, argument("TEXT"))]
    pub crash_on: Option<String>,
}

/// State of the stand-in engine.
pub struct EngineServer {
    clock: Clock,
    incarnation: u64,
    options: EngineOptions,
    inner: Mutex<EngineInner>,
    faults: Mutex<EngineFaults>,
}

struct EngineInner {
    batch: BatchState,
    orders: OrderState,
    counts: OrderCounts,
    reports: ReportHistory,
    report_sequence: u64,
    /// Responses that began before this time send nothing more, not even heartbeats.
    unresponsive_before: Timestamp,
}

type EngineHttpRequest = Request<Arc<EngineServer>>;

impl EngineServer {
    /// Makes an engine without work.
    pub fn new(options: EngineOptions) -> Arc<Self> {
        let clock = Clock::system();
        let incarnation = clock.now().as_millis();
        let timing = StepTiming {
            base: Duration::from_micros(options.step_us),
            per_sequence: Duration::from_micros(options.sequence_us),
            per_prompt_token: Duration::from_micros(options.prompt_token_us),
        };
        let change_duration = Duration::from_millis(options.change_ms);
        let inner = EngineInner {
            batch: BatchState::new(options.kv_pieces, options.piece_tokens, timing, incarnation),
            orders: OrderState::new(
                options.role,
                &options.model,
                options.checks_fencing,
                change_duration,
            ),
            counts: OrderCounts::default(),
            reports: ReportHistory::new(Duration::from_millis(options.report_lag_ms)),
            report_sequence: 0,
            unresponsive_before: Timestamp::default(),
        };
        Arc::new(Self {
            incarnation,
            inner: Mutex::new(inner),
            faults: Mutex::new(EngineFaults {
                crash_on: options.crash_on.clone(),
                ..EngineFaults::default()
            }),
            clock,
            options,
        })
    }

    /// Runs the steps of the batch; never returns.
    pub async fn run_batch(&self) {
        loop {
            let stuck = self.faults.lock().stuck;
            let step = if stuck { None } else { self.begin_step() };
            match step {
                Some(duration) => {
                    self.clock.sleep(duration).await;
                    self.abort_on_fault();
                    self.inner.lock().batch.finish_step(self.clock.now());
                }
                None => self.clock.sleep(IDLE_DELAY).await,
            }
        }
    }

    /// Makes load reports and applies due orders at a fixed interval; never returns.
    pub async fn run_reports(&self) {
        loop {
            self.clock.sleep(REPORT_INTERVAL).await;
            let now = self.clock.now();
            let reports_idle = self.faults.lock().lie_idle;
            let mut inner = self.inner.lock();
            if inner.orders.apply_due(now) {
                inner.batch.memory.clear(now);
            }
            inner.report_sequence += 1;
            let mut report = self.report(&inner, now);
            if reports_idle {
                (report.running, report.queued, report.prefill_backlog_tokens) = (0, 0, 0);
            }
            inner.reports.push(now, report);
        }
    }

    fn begin_step(&self) -> Option<Duration> {
        let delay = Duration::from_millis(self.faults.lock().step_delay_ms);
        let mut inner = self.inner.lock();
        if inner.orders.pending.is_some() {
            return None;
        }
        let role = inner.orders.role;
        inner.batch.begin_step(role, self.clock.now()).map(|duration| duration + delay)
    }

    /// Aborts the process if a running prompt contains the text of the fault `crash_on`.
    fn abort_on_fault(&self) {
        let Some(text) = self.faults.lock().crash_on.clone() else { return };
        if self.inner.lock().batch.is_running_text(&text) {
            std::process::abort();
        }
    }

    fn report(&self, inner: &EngineInner, now: Timestamp) -> LoadReport {
        let (running, queued) = inner.batch.sequence_counts();
        let state = if inner.orders.pending.is_some() {
            EngineState::Changing
        } else {
            EngineState::Serving
        };
        LoadReport {
            engine: self.options.name.clone(),
            incarnation: self.incarnation,
            sequence: inner.report_sequence,
            made_at_ms: now.as_millis(),
            role: inner.orders.role,
            model: inner.orders.model.clone(),
            version: inner.orders.version.clone(),
            adapters: inner.orders.adapters.clone(),
            state,
            running,
            queued,
            prefill_backlog_tokens: inner.batch.prefill_backlog(),
            kv_pieces_total: self.options.kv_pieces,
            kv_pieces_free: inner.batch.memory.free_pieces(),
            kv_piece_tokens: self.options.piece_tokens,
            steps: inner.batch.steps,
            highest_fencing: inner.orders.highest_fencing,
            applied_order: inner.orders.applied_order.clone(),
            pending_order: inner.orders.pending.as_ref().map(|it| it.order.order_id.clone()),
        }
    }

    fn submit(&self, request: CompletionRequest) -> Result<SharedStream, StatusCode> {
        let mut inner = self.inner.lock();
        if inner.orders.pending.is_some() {
            return Err(StatusCode::ServiceUnavailable);
        }
        if inner.orders.model != request.model {
            return Err(StatusCode::NotFound);
        }
        if request.export_kv && self.faults.lock().refuse_export {
            return Err(StatusCode::NotImplemented);
        }
        let handle = request.kv_handle.as_ref();
        let imported = handle.and_then(|handle| inner.batch.exports.take_import(handle));
        inner.counts.imported += u32::from(imported.is_some());
        let now = self.clock.now();
        inner.batch.submit(request, imported, now).map_err(|_| StatusCode::TooManyRequests)
    }
}

/// Builds the application that serves the daemons and other engines.
pub fn app(server: Arc<EngineServer>) -> tide::Server<Arc<EngineServer>> {
    let mut app = tide::with_state(server);
    app.at("/v1/completions").post(complete);
    app.at("/v1/streams/:id/cancel").post(cancel);
    app.at("/kv/import").post(import_kv);
    app.at("/kv/exports/:handle").get(export_kv);
    app.at("/load").get(load);
    app.at("/events").get(events);
    app.at("/orders").post(order);
    app
}

/// Builds the application of the control port, which sets faults and returns counts.
pub fn control(server: Arc<EngineServer>) -> tide::Server<Arc<EngineServer>> {
    let mut app = tide::with_state(server);
    app.at("/faults").put(set_faults);
    app.at("/counts").get(counts);
    app
}

async fn complete(mut request: EngineHttpRequest) -> tide::Result {
    let completion: CompletionRequest = request.body_json().await?;
    let server = Arc::clone(request.state());
    let response_stream = ResponseStream {
        next_position: completion.resume_from,
        model: completion.model.clone(),
        id: completion.stream_id.clone().unwrap_or_default(),
        started_at: server.clock.now(),
        stream: match server.submit(completion.clone()) {
            Ok(stream) => stream,
            Err(status) => return response::status(status),
        },
        server,
    };
    if !completion.stream {
        return response_stream.collect().await;
    }
    let (chunks, body) = ChannelReader::new(MAX_BUFFERED_CHUNKS);
    task::spawn(async move { response_stream.send(chunks).await });
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(body, None));
    response.set_content_type("text/event-stream");
    Ok(response)
}

/// Response to one completion request; reads a stream of the batch.
struct ResponseStream {
    server: Arc<EngineServer>,
    stream: SharedStream,
    id: String,
    model: String,
    /// Position of the first token to send.
    next_position: u32,
    started_at: Timestamp,
}

impl ResponseStream {
    /// Waits for the end of the stream and responds with all tokens at once.
    async fn collect(self) -> tide::Result {
        loop {
            let changed = {
                let mut stream = self.stream.lock();
                stream.last_read = self.server.clock.now();
                match &stream.end {
                    Some(StreamEnd::Cancelled) => return response::aborted(),
                    Some(_) => return response::json(StatusCode::Ok, &self.to_response(&stream)),
                    None => stream.subscribe(),
                }
            };
            let _ = self.server.clock.timeout(HEARTBEAT_INTERVAL, changed.recv()).await;
        }
    }

    fn to_response(&self, stream: &StreamState) -> CompletionResponse {
        let text = (self.next_position..stream.next_position)
            .map(|it| token::token_text(stream.prompt_hash, it))
            .collect();
        CompletionResponse {
            id: self.id.clone(),
            object: "text_completion".to_owned(),
            model: self.model.clone(),
            choices: vec![CompletionChoice {
                index: 0,
                text,
                finish_reason: Some("length".to_owned()),
            }],
            usage: TokenUsage {
                prompt_tokens: stream.prompt_tokens,
                completion_tokens: stream.next_position - self.next_position,
                cached_tokens: stream.cached_tokens,
            },
        }
    }

    /// Sends tokens as they are generated, and heartbeats while there are none.
    async fn send(mut self, chunks: async_channel::Sender<BodyChunk>) {
        self.stream.lock().readers += 1;
        self.send_all(&chunks).await;
        let mut stream = self.stream.lock();
        stream.readers -= 1;
        stream.last_read = self.server.clock.now();
    }

    async fn send_all(&mut self, chunks: &async_channel::Sender<BodyChunk>) {
        loop {
            if self.started_at < self.server.inner.lock().unresponsive_before {
                // The connection stays open, but nothing more is sent on it.
                future::pending::<()>().await;
            }
            let (bytes, end, changed) = self.next_chunk();
            let ended = end.is_some();
            let chunk = match end {
                Some(StreamEnd::Cancelled) => Err(io::ErrorKind::ConnectionAborted.into()),
                _ => Ok(bytes),
            };
            let has_chunk = !matches!(&chunk, Ok(bytes) if bytes.is_empty());
            if has_chunk && chunks.send(chunk).await.is_err() {
                return;
            }
            if ended {
                return;
            }
            let woken = self.server.clock.timeout(HEARTBEAT_INTERVAL, changed.recv()).await;
            if woken.is_err() && chunks.send(Ok(b": heartbeat\n\n".to_vec())).await.is_err() {
                return;
            }
        }
    }

    fn next_chunk(&mut self) -> (Vec<u8>, Option<StreamEnd>, async_channel::Receiver<()>) {
        let mut stream = self.stream.lock();
        let mut bytes = Vec::new();
        let first = self.next_position.max(stream.start_position);
        for position in first..stream.next_position {
            let text = token::token_text(stream.prompt_hash, position);
            let is_last = stream.end.is_some() && position + 1 == stream.next_position;
            let reason = is_last.then(|| "length".to_owned());
            self.write_chunk(&mut bytes, position, text, reason, None);
        }
        self.next_position = first.max(stream.next_position);
        match &stream.end {
            Some(StreamEnd::Completed) => bytes.extend_from_slice(b"data: [DONE]\n\n"),
            Some(StreamEnd::Exported(handle)) => {
                let reason = Some("exported".to_owned());
                let handle = Some(handle.clone());
                self.write_chunk(&mut bytes, stream.next_position, String::new(), reason, handle);
                bytes.extend_from_slice(b"data: [DONE]\n\n");
            }
            Some(StreamEnd::Cancelled) | None => {}
        }
        let end = stream.end.clone();
        (bytes, end, stream.subscribe())
    }

    fn write_chunk(
        &self,
        bytes: &mut Vec<u8>,
        position: u32,
        text: String,
        finish_reason: Option<String>,
        kv_handle: Option<String>,
    ) {
        let chunk = CompletionChunk {
            id: self.id.clone(),
            object: "text_completion".to_owned(),
            model: self.model.clone(),
            choices: vec![CompletionChoice { index: 0, text, finish_reason }],
            position,
            kv_handle,
        };
        bytes.extend_from_slice(b"data: ");
        serde_json::to_writer(&mut *bytes, &chunk)
            .expect("a completion chunk can be written as JSON");
        bytes.extend_from_slice(b"\n\n");
    }
}

async fn cancel(request: EngineHttpRequest) -> tide::Result {
    let found = request.state().inner.lock().batch.cancel(request.param("id")?);
    response::status(if found { StatusCode::Ok } else { StatusCode::NotFound })
}

async fn import_kv(mut request: EngineHttpRequest) -> tide::Result {
    let import: KvImport = request.body_json().await?;
    let server = Arc::clone(request.state());
    let Some(prompt_hash) = fetch_kv(&server.clock, &import).await else {
        return response::status(StatusCode::BadGateway);
    };
    server.inner.lock().batch.exports.add_import(import.handle, prompt_hash);
    response::status(StatusCode::Ok)
}

/// Fetches exported KV cache from the engine that exported it.
async fn fetch_kv(clock: &Clock, import: &KvImport) -> Option<u64> {
    let url = format!("http://{}/kv/exports/{}", import.from, import.handle);
    let call = HttpCall::new(http_types::Request::new(Method::Get, Url::parse(&url).ok()?));
    let client = HttpClient::new(clock.clone());
    let response =
        client.send(&import.from, &call, ConnectionUse::New, FETCH_TIMEOUT).await.ok()?;
    if response.status() != StatusCode::Ok {
        return None;
    }
    let bytes = response.into_bytes(FETCH_TIMEOUT).await.ok()?;
    serde_json::from_slice(&bytes).ok()
}

async fn export_kv(request: EngineHttpRequest) -> tide::Result {
    let server = request.state();
    match server.inner.lock().batch.exports.get_export(request.param("handle")?) {
        Some(prompt_hash) => response::json(StatusCode::Ok, &prompt_hash),
        None => response::status(StatusCode::NotFound),
    }
}

async fn load(request: EngineHttpRequest) -> tide::Result {
    let inner = request.state().inner.lock();
    match inner.reports.visible() {
        Some(report) => response::json(StatusCode::Ok, report),
        None => response::status(StatusCode::ServiceUnavailable),
    }
}

#[derive(Deserialize)]
struct EventQuery {
    after: u64,
}

async fn events(request: EngineHttpRequest) -> tide::Result {
    let query: EventQuery = request.query()?;
    let server = request.state();
    let visible = server.clock.now() - Duration::from_millis(server.options.event_lag_ms);
    let events = server.inner.lock().batch.memory.events(query.after, visible);
    let next = events.last().map_or(query.after, |event| event.sequence);
    response::json(StatusCode::Ok, &CacheEvents { events, next })
}

async fn order(mut request: EngineHttpRequest) -> tide::Result {
    let order: EngineOrder = request.body_json().await?;
    let server = request.state();
    let mut inner = server.inner.lock();
    let inner = &mut *inner;
    let response = inner.orders.accept(order, server.clock.now(), &mut inner.counts);
    if response.accepted {
        inner.counts.cut += inner.batch.cancel_all();
    }
    response::json(StatusCode::Ok, &response)
}

async fn set_faults(mut request: EngineHttpRequest) -> tide::Result {
    let faults: EngineFaults = request.body_json().await?;
    let server = request.state();
    if faults.silent_streams {
        server.inner.lock().unresponsive_before = server.clock.now();
    }
    *server.faults.lock() = faults;
    response::status(StatusCode::Ok)
}

async fn counts(request: EngineHttpRequest) -> tide::Result {
    let inner = request.state().inner.lock();
    let counts =
        OrderCounts { exported: inner.batch.exports.export_count(), ..inner.counts.clone() };
    response::json(StatusCode::Ok, &counts)
}
