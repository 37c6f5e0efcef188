//! Updates that daemons exchange on their prefills, running requests and crashes.
//!
//! Datagrams may be lost or duplicated. There are no acknowledgements: a periodic summary removes
//! prefills whose end was lost, and corrects the counts of running requests. Crashes are repeated
//! for some seconds, and convicted parts are also in the key-value service. A lost start of a prefill
//! isn't corrected. A daemon that lacks the version of a stream asks for it. [`format`] says how builds of
//! several versions understand each other.

use gooseberry_core::serving::prompt::{PrefixKey, PromptPart, PromptShape};
use serde::{Deserialize, Serialize};

pub mod format;

/// A prefill that a daemon has sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendRecord {
    /// Sequence number of the prefill at its daemon.
    pub number: u64,
    /// Hash of the id of the server that runs the prefill.
    pub server: u64,
    /// Hash of the id of the server that imports the KV cache and decodes.
    pub decode_server: Option<u64>,
    /// Work of the prefill, in the unit of [`PromptShape::prefill_work`].
    pub tokens: u32,
    pub prompt_tokens: u32,
    /// Keys and token counts of the prompt's parts.
    pub parts: Vec<(u64, u32)>,
}

impl SendRecord {
    /// Returns the prompt. Updates contain neither its limit of output tokens nor the fingerprints
    /// of its shared parts, so those are empty.
    pub fn prompt(&self) -> PromptShape {
        let parts = self
            .parts
            .iter()
            .map(|(key, tokens)| PromptPart { key: PrefixKey(*key), tokens: *tokens });
        PromptShape {
            parts: parts.collect(),
            prompt_tokens: self.prompt_tokens,
            ..PromptShape::default()
        }
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
    /// Work of the prefill, in the unit of [`PromptShape::prefill_work`].
    pub tokens: u32,
    pub prefill_ms: u32,
}

/// A server that a daemon has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachRecord {
    /// Hash of the server's id.
    pub server: u64,
    pub incarnation: u64,
    /// Time since the last new connection or response.
    pub age_ms: u32,
    /// Time since the last response, if there was one lately.
    pub response_age_ms: Option<u32>,
}

/// Pace of a server that has started or recovered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceRecord {
    /// Hash of the server's id.
    pub server: u64,
    pub incarnation: u64,
    /// What the server may hold, in millionths of what its peers hold.
    pub window: u32,
    /// Time since the window last changed.
    pub age_ms: u32,
}

/// Work of the client accounts of a service in the last seconds, in tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRecord {
    /// Hash of the service's name.
    pub service: u64,
    /// Number of the [`WorkScope`](gooseberry_core::serving::shares::WorkScope) that the record
    /// sums up.
    pub scope: u8,
    /// Hash, work sent and work asked for of the accounts that ask for the most.
    pub rows: Vec<(u64, u32, u32)>,
    /// Work of all other accounts that was sent.
    pub rest_served: u32,
    /// Work that all other accounts asked for.
    pub rest_offered: u32,
    /// Number of the other accounts.
    pub rest_accounts: u32,
    /// Time since a request was last refused, if that was lately.
    pub contention_age_ms: Option<u32>,
}

/// One update of a daemon on its own requests. Other builds read it too, so variants are only
/// appended, and their fields never change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::EnumCount)]
pub enum SendUpdate {
    Started(SendRecord),
    /// The prefill finished or was abandoned.
    Ended {
        /// Sequence number of the prefill at its daemon.
        number: u64,
        server: u64,
        end: PrefillEnd,
    },
    /// The sequence numbers of all pending prefills, and the number of running requests by the hash
    /// of the server's id.
    Summary {
        pending: Vec<u64>,
        running: Vec<(u64, u32)>,
    },
    /// An engine ended while it served a request with these parts. Here and below, the last parts are
    /// those of the request as a whole.
    PartCrash {
        engine: u64,
        parts: Vec<u64>,
        age_ms: u32,
        /// Whether the request was the trial of some of the parts.
        is_trial: bool,
    },
    /// A request with these parts was completed, although engines had crashed under them.
    PartsCompleted {
        parts: Vec<u64>,
    },
    /// The daemon has seen completed requests with these parts before.
    PartsProven {
        parts: Vec<u64>,
    },
    /// The trial of these parts began. The holder identifies its request.
    TrialBegan {
        parts: Vec<u64>,
        holder: u64,
    },
    TrialEnded {
        holder: u64,
    },
    /// A server stated a limit in requests per 1000 s, or none if it takes any rate, in the
    /// response to a request that was sent that long ago.
    LimitStated {
        server: u64,
        per_1000_s: Option<u64>,
        age_ms: u32,
    },
    /// The daemon sends a request to a server that has stated a limit.
    LimitedSend {
        server: u64,
    },
    /// This part is convicted. A daemon that is heard for the first time is told so.
    PartConvicted {
        part: u64,
        engines: Vec<u64>,
    },
    /// A server said in a response that it leaves.
    ServerLeaving {
        server: u64,
        incarnation: u64,
    },
    /// A stream that may be resumed was sent to an engine of this software version, or this is the
    /// response to [`Self::OriginAsked`].
    StreamSent {
        stream: u64,
        software: u32,
    },
    /// The daemon is asked for the version that began a stream of a service. Relays don't forward
    /// this.
    OriginAsked {
        stream: u64,
        service: String,
    },
    /// Servers that the daemon has reached lately.
    Reached {
        servers: Vec<ReachRecord>,
    },
    /// The daemon is asked whether it reaches the servers of a service. Relays don't forward this.
    ReachAsked {
        service: String,
    },
    /// Servers that have started or recovered, with their pace.
    Paced {
        servers: Vec<PaceRecord>,
    },
    /// Work of client accounts while their service is contended. Relays don't forward this but send
    /// sums of it.
    AccountWork(WorkRecord),
    /// The wall clock of the daemon, in milliseconds since the start of 1970.
    ClockStated {
        wall_ms: u64,
    },
    /// The start of the engine, as the daemon knew it, that the stream of the [`Self::StreamSent`] after
    /// this was sent to.
    StreamTargeted {
        stream: u64,
        start: u32,
    },
}

/// The updates of one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpdateBundle {
    /// Hash of the daemon's name and incarnation.
    pub daemon: u64,
    /// Name of the daemon.
    pub name: String,
    pub updates: Vec<SendUpdate>,
    /// Updates of a newer build that this one doesn't know, as they were encoded.
    pub unknown: Vec<Vec<u8>>,
}

/// The content of one datagram between daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpdateDatagram {
    /// Name of the daemon that sent the datagram, with its own updates or those of others.
    pub sender: String,
    pub bundles: Vec<UpdateBundle>,
}
