//! Updates that daemons send each other on their sends.
//!
//! Datagrams may be lost or duplicated. A periodic summary repairs lost updates, so there are no
//! acknowledgements.

use gooseberry_core::serving::prompt::{PrefixKey, PromptPart, PromptShape};
use serde::{Deserialize, Serialize};

/// A send that starts a prefill.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendRecord {
    pub number: u64,
    /// Hash of the server's id.
    pub server: u64,
    /// Hash of the id of the server that imports the KV cache and decodes.
    pub decode_server: Option<u64>,
    /// Work of the prefill, in tokens.
    pub tokens: u32,
    pub prompt_tokens: u32,
    /// Keys and token counts of the prompt's parts.
    pub parts: Vec<(u64, u32)>,
}

impl SendRecord {
    /// Returns the prompt.
    pub fn prompt(&self) -> PromptShape {
        let parts = self
            .parts
            .iter()
            .map(|(key, tokens)| PromptPart { key: PrefixKey(*key), tokens: *tokens });
        PromptShape { parts: parts.collect(), prompt_tokens: self.prompt_tokens, output_tokens: 0 }
    }
}

/// How a prefill ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PrefillEnd {
    /// The prefill finished, with a sample of the engine's speed if it is usable.
    Completed(Option<SpeedSample>),
    /// The send failed or the caller disconnected.
    Abandoned,
}

/// Duration of a prefill that had no other one ahead of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedSample {
    pub tokens: u32,
    pub prefill_ms: u32,
}

/// One update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SendUpdate {
    Started(SendRecord),
    /// The prefill finished, or the send ended otherwise.
    Ended {
        number: u64,
        server: u64,
        end: PrefillEnd,
    },
    /// All pending prefills, and the number of running requests at each server.
    Summary {
        pending: Vec<u64>,
        running: Vec<(u64, u32)>,
    },
    /// A request was running when its engine crashed.
    Crash {
        fingerprint: u64,
    },
}

/// The updates of one daemon.
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
    /// Name of the daemon that sent the datagram, with its own updates or those of others.
    pub sender: String,
    pub bundles: Vec<UpdateBundle>,
}
