//! The first format of datagrams, as builds up to 3555494 declare it. It doesn't change.

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SendRecord {
    pub number: u64,
    pub server: u64,
    pub decode_server: Option<u64>,
    pub tokens: u32,
    pub prompt_tokens: u32,
    pub parts: Vec<(u64, u32)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PrefillEnd {
    Completed(Option<SpeedSample>),
    Abandoned,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpeedSample {
    pub tokens: u32,
    pub prefill_ms: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReachRecord {
    pub server: u64,
    pub incarnation: u64,
    pub age_ms: u32,
    pub response_age_ms: Option<u32>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SendUpdate {
    Started(SendRecord),
    Ended { number: u64, server: u64, end: PrefillEnd },
    Summary { pending: Vec<u64>, running: Vec<(u64, u32)> },
    PartCrash { engine: u64, parts: Vec<u64>, age_ms: u32, is_trial: bool },
    PartsCompleted { parts: Vec<u64> },
    PartsProven { parts: Vec<u64> },
    TrialBegan { parts: Vec<u64>, holder: u64 },
    TrialEnded { holder: u64 },
    LimitStated { server: u64, per_1000_s: Option<u64>, age_ms: u32 },
    LimitedSend { server: u64 },
    PartConvicted { part: u64, engines: Vec<u64> },
    ServerLeaving { server: u64, incarnation: u64 },
    StreamSent { stream: u64, software: u32 },
    OriginAsked { stream: u64, service: String },
    Reached { servers: Vec<ReachRecord> },
    ReachAsked { service: String },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpdateBundle {
    pub daemon: u64,
    pub name: String,
    pub updates: Vec<SendUpdate>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpdateDatagram {
    pub sender: String,
    pub bundles: Vec<UpdateBundle>,
}
