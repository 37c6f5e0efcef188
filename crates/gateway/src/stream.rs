//! Passes the events of an engine on to the caller as they arrive.

use std::{sync::Arc, time::Duration};

use async_std::task;
use futures_lite::FutureExt;
use gooseberry_core::{poison::RequestFingerprint, time::Timestamp};
use gooseberry_platform::{engine, front};
use gooseberry_transport::body::{BodyError, ResponseBody};
use http::{header, Response};
use http_body_util::BodyExt;
use smol_str::SmolStr;

use crate::{
    call::Call,
    gateway::Gateway,
    prefill_guard::PrefillGuard,
    send::{self, SendResponse, SendTarget},
};

/// Parts that wait for a slow caller before the engine isn't read any more.
const PART_BUFFER: usize = 16;

/// What the task that passes a stream on knows of the request.
struct StreamTask {
    gateway: Arc<Gateway>,
    target: SendTarget,
    request_id: SmolStr,
    fingerprint: RequestFingerprint,
    time_left: Duration,
    parts: async_channel::Sender<Result<bytes::Bytes, BodyError>>,
    read: Option<PrefillGuard>,
}

/// What was seen of a stream's parts.
#[derive(Clone, Copy, Debug, Default)]
struct StreamPace {
    parts: u32,
    bytes: usize,
    last_part: Option<Timestamp>,
    longest_pause: Duration,
}

impl StreamPace {
    fn note(&mut self, bytes: usize, now: Timestamp) {
        if let Some(last_part) = self.last_part {
            self.longest_pause = self.longest_pause.max(now.since(last_part));
        }
        self.parts += 1;
        self.bytes += bytes;
        self.last_part = Some(now);
    }
}

/// Says how a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum StreamEnd {
    Whole,
    CallerLeft,
    Broken,
    TimedOut,
}

/// Begins to pass an answer on and returns its head.
pub fn forward(
    call: &Call,
    target: &SendTarget,
    answer: SendResponse,
    read: Option<PrefillGuard>,
) -> Response<ResponseBody> {
    let (sender, receiver) = async_channel::bounded(PART_BUFFER);
    let length = answer.response.headers().get(header::CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
    let mut head = Response::new(ResponseBody::parts(receiver, length));
    *head.status_mut() = answer.response.status();
    *head.headers_mut() = answer.response.headers().clone();
    front::strip_connection_headers(head.headers_mut());
    let task = StreamTask {
        gateway: Arc::clone(&call.gateway),
        target: target.clone(),
        request_id: call.head.request_id.clone(),
        fingerprint: call.fingerprint,
        time_left: call.time_left(),
        parts: sender,
        read,
    };
    task::spawn(task.run(answer));
    head
}

impl StreamTask {
    async fn run(mut self, answer: SendResponse) {
        let clock = self.gateway.clock.clone();
        let SendResponse { response, connection, guard } = answer;
        let idle = engine::idle_limit(response.headers());
        let closes = engine::closes_connection(response.headers());
        let mut body = response.into_body();
        let mut pace = StreamPace::default();
        let time_left = self.time_left;
        let passed = clock.timeout(time_left, self.pass_on(&mut body, &mut pace)).await;
        let end = passed.unwrap_or(StreamEnd::TimedOut);
        tracing::info!(
            request = %self.request_id,
            server = %self.target.id,
            %end,
            parts = pace.parts,
            bytes = pace.bytes,
            longest_pause_ms = pace.longest_pause.as_millis() as u64,
            "stream ended"
        );
        drop(guard);
        self.read = None;
        match end {
            StreamEnd::Whole => {
                send::record_success(&self.gateway, self.target.key);
                self.gateway.state.lock().crashes.clear(self.fingerprint);
                if !closes {
                    send::return_connection(&self.gateway, connection, idle).await;
                }
            }
            StreamEnd::CallerLeft => {}
            StreamEnd::Broken => {
                let now = self.gateway.now();
                self.gateway.state.lock().record_crash(self.fingerprint.0, now);
                send::record_failure(&self.gateway, &self.target, "the stream broke off");
                // The caller has left if nobody takes the fault.
                let _ = self.parts.send(Err(BodyError::Broken)).await;
            }
            StreamEnd::TimedOut => {
                let _ = self.parts.send(Err(BodyError::TimedOut)).await;
            }
        }
    }

    async fn pass_on(
        &mut self,
        body: &mut hyper::body::Incoming,
        pace: &mut StreamPace,
    ) -> StreamEnd {
        loop {
            let left = async {
                self.parts.closed().await;
                Err(StreamEnd::CallerLeft)
            };
            let frame = match async { Ok(body.frame().await) }.or(left).await {
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
            if let Some(read) = &mut self.read {
                read.complete();
            }
            pace.note(data.len(), self.gateway.now());
            if self.parts.send(Ok(data)).await.is_err() {
                return StreamEnd::CallerLeft;
            }
        }
    }
}
