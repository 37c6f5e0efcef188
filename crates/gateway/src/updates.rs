//! What daemons tell each other of their sends.
//!
//! Datagrams may be lost or come twice; a summary each second repairs what was
//! missed, so nothing is acknowledged.

use gooseberry_core::serving::prompt::{PrefixKey, PromptPart, PromptShape};
use serde::{Deserialize, Serialize};

/// A send whose prompt is to be read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendRecord {
    pub number: u64,
    /// Hash of the server's id.
    pub server: u64,
    /// Hash of the id of the server that is to take over the KV cache.
    pub decode_server: Option<u64>,
    /// Tokens that have to be read.
    pub tokens: u32,
    pub prompt_tokens: u32,
    /// Chain keys and tokens of the prompt's parts.
    pub parts: Vec<(u64, u32)>,
}

impl SendRecord {
    /// Returns the prompt's shape.
    pub fn prompt(&self) -> PromptShape {
        let parts = self
            .parts
            .iter()
            .map(|(key, tokens)| PromptPart { key: PrefixKey(*key), tokens: *tokens });
        PromptShape { parts: parts.collect(), prompt_tokens: self.prompt_tokens, output_tokens: 0 }
    }
}

/// How a read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PrefillEnd {
    /// The prompt was read, with what that tells of the engine's speed.
    Completed(Option<SpeedSample>),
    /// The send failed or the caller left.
    Abandoned,
}

/// How long an engine read a prompt that had nothing ahead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedSample {
    pub tokens: u32,
    pub prefill_ms: u32,
}

/// One piece of news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SendUpdate {
    Started(SendRecord),
    /// The prompt was read, or the send ended otherwise.
    Ended {
        number: u64,
        server: u64,
        end: PrefillEnd,
    },
    /// All sends whose prompt isn't read yet, and the requests that run at each
    /// server.
    Summary {
        pending: Vec<u64>,
        running: Vec<(u64, u32)>,
    },
    /// A request was running when its engine crashed.
    Crash {
        fingerprint: u64,
    },
}

/// The news of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateBundle {
    /// Hash of the daemon's name and incarnation.
    pub daemon: u64,
    /// Name of the daemon.
    pub name: String,
    pub updates: Vec<SendUpdate>,
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateDatagram {
    /// Name of the daemon that sent the datagram, its own news or others'.
    pub sender: String,
    pub bundles: Vec<UpdateBundle>,
}
