//! A stand-in for a plain service that counts the executions of each key.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_std::task;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tide::{Request, Response, StatusCode};

use crate::response;

/// Header whose value identifies a call that must run at most once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Faults that tests set on the control port.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PlainFaults {
    /// Duration of each call, in milliseconds.
    pub delay_ms: u64,
    /// Number of next calls that are executed and whose connection is then aborted.
    pub lose_answers: u32,
    /// Text in a request body that makes the process exit before it executes the call.
    pub crash_on: Option<String>,
    /// Whether the health check responds with 503, as before a shutdown.
    pub leaving: bool,
}

/// Counts of executions.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PlainCounts {
    /// Number of executions of each idempotency key.
    pub executions: BTreeMap<String, u32>,
    /// Number of executed calls without a key.
    pub unkeyed: u64,
}

/// State of the stand-in.
#[derive(Default)]
pub struct PlainState {
    name: String,
    faults: Mutex<PlainFaults>,
    counts: Mutex<PlainCounts>,
}

type PlainRequest = Request<Arc<PlainState>>;

impl PlainState {
    /// Makes a server that has executed no call.
    pub fn new(name: &str) -> Arc<Self> {
        Arc::new(Self { name: name.to_owned(), ..Self::default() })
    }
}

/// Builds the application that serves the daemons.
pub fn app(state: Arc<PlainState>) -> tide::Server<Arc<PlainState>> {
    let mut app = tide::with_state(state);
    app.at("/health").get(health);
    app.at("/*path").all(run);
    app
}

/// Builds the application of the control port, which sets faults and returns counts.
pub fn control(state: Arc<PlainState>) -> tide::Server<Arc<PlainState>> {
    let mut app = tide::with_state(state);
    app.at("/faults").put(set_faults);
    app.at("/counts").get(counts);
    app
}

async fn health(request: PlainRequest) -> tide::Result {
    if request.state().faults.lock().leaving {
        return response::status(StatusCode::ServiceUnavailable);
    }
    response::status(StatusCode::Ok)
}

async fn run(mut request: PlainRequest) -> tide::Result {
    let body = request.body_string().await?;
    let key = request.header(IDEMPOTENCY_KEY_HEADER).map(|value| value.as_str().to_owned());
    let state = request.state();
    let faults = state.faults.lock().clone();
    if faults.crash_on.is_some_and(|text| body.contains(&text)) {
        std::process::exit(1);
    }
    let execution = state.execute(key.as_deref());
    task::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.lose_answers > 0 {
        let mut faults = state.faults.lock();
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        return response::aborted();
    }
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(serde_json::json!({
        "server": state.name,
        "method": request.method().to_string(),
        "path": request.url().path(),
        "key": key,
        "execution": execution,
        "body": body,
    }));
    Ok(response)
}

impl PlainState {
    /// Counts an execution and returns the number of executions of the key so far, or 0
    /// without a key.
    fn execute(&self, key: Option<&str>) -> u32 {
        let mut counts = self.counts.lock();
        let Some(key) = key else {
            counts.unkeyed += 1;
            return 0;
        };
        let count = counts.executions.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    }
}

async fn set_faults(mut request: PlainRequest) -> tide::Result {
    let faults: PlainFaults = request.body_json().await?;
    *request.state().faults.lock() = faults;
    response::status(StatusCode::Ok)
}

async fn counts(request: PlainRequest) -> tide::Result {
    let counts = request.state().counts.lock().clone();
    response::json(StatusCode::Ok, &counts)
}
