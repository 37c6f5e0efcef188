#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Accounts for the requests of one account at one service."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct BalanceRow {
    pub accepted: u64,
    pub account: ::std::string::String,
    pub failed: u64,
    pub refused: u64,
    pub running: u64,
    pub service: ::std::string::String,
    pub unknown: u64,
    pub whole: u64,
}
#[doc = "Lists the samples of one daemon, oldest first."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct DaemonHistory {
    pub daemon: ::std::string::String,
    pub incarnation: u64,
    pub samples: ::std::vec::Vec<HistorySample>,
}
#[doc = "Reports the state of one daemon."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct DaemonStatus {
    pub balance: ::std::vec::Vec<BalanceRow>,
    pub daemon: ::std::string::String,
    pub engines: ::std::vec::Vec<EngineStatus>,
    pub failure_domain: ::std::string::String,
    pub incarnation: u64,
    pub peers: ::std::vec::Vec<PeerHello>,
    pub ready: bool,
    pub revision: u64,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub steward: ::std::option::Option<bool>,
}
#[doc = "Sums the tokens of one model that a daemon has admitted since its start."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct DemandRow {
    pub model: ::std::string::String,
    pub output_tokens: u64,
    pub prompt_tokens: u64,
}
#[doc = "Reports what a daemon knows of an engine."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct EngineStatus {
    pub engine: ::std::string::String,
    pub model: ::std::string::String,
    pub outstanding: u32,
    pub queued: u32,
    pub reachable: bool,
    pub role: ::std::string::String,
    pub running: u32,
}
#[doc = "Holds running totals of one daemon at one moment."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct HistorySample {
    pub at_ms: u64,
    pub decode_engines: u32,
    pub failed: u64,
    pub mixed_engines: u32,
    pub output_tokens: u64,
    pub prefill_engines: u32,
    pub prompt_tokens: u64,
    pub refused: u64,
    pub unknown: u64,
    pub whole: u64,
}
#[doc = "Reports the order record of one engine."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct OrderRow {
    #[doc = "Role, model, version and adapters that were ordered."]
    pub change: ::std::string::String,
    pub claimed_at_ms: u64,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub ended_at_ms: ::std::option::Option<u64>,
    pub engine: ::std::string::String,
    pub issuer: ::std::string::String,
    pub order_id: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub outcome: ::std::option::Option<::std::string::String>,
    pub phase: ::std::string::String,
    pub reason: ::std::string::String,
    pub revision: u64,
}
#[doc = "Records a part of the balance of one daemon in the key-value service."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct OutcomeRecord {
    pub as_of_ms: u64,
    #[doc = "Whether the daemon stopped gracefully, so that the record is its last word."]
    pub closed: bool,
    pub daemon: ::std::string::String,
    pub incarnation: u64,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub rows: ::std::vec::Vec<BalanceRow>,
}
#[doc = "`PeerBorder`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct PeerBorder(pub ::serde_json::Value);
impl ::std::ops::Deref for PeerBorder {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<PeerBorder> for ::serde_json::Value {
    fn from(value: PeerBorder) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for PeerBorder {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "Introduces a daemon to a peer; sent as the heartbeat."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct PeerHello {
    pub daemon: ::std::string::String,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub demand: ::std::vec::Vec<DemandRow>,
    #[doc = "Engines that get no new work from this daemon and run none of its requests."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub drained: ::std::vec::Vec<::std::string::String>,
    #[doc = "Engines that the steward wants without new work."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub draining: ::std::vec::Vec<::std::string::String>,
    pub failure_domain: ::std::string::String,
    pub incarnation: u64,
    #[doc = "Whether the platform answered this daemon lately."]
    #[serde(default = "defaults::default_bool::<true>")]
    pub platform_reachable: bool,
    #[doc = "Configuration revision in force."]
    pub revision: u64,
    #[doc = "Whether the daemon is its domain's steward."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub steward: ::std::option::Option<bool>,
}
#[doc = "Carries the configuration of a revision."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct PeerRevision {
    pub revision: u64,
    pub text: ::std::string::String,
}
#[doc = "Tells daemons the standing of a request."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct PoisonNotice {
    pub fingerprint: u64,
    pub standing: PoisonStatus,
}
#[doc = "Says what is held of a request that was in flight at a crash."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum PoisonStatus {
    #[serde(rename = "suspect")]
    Suspect,
    #[serde(rename = "convicted")]
    Convicted,
    #[serde(rename = "acquitted")]
    Acquitted,
}
impl ::std::fmt::Display for PoisonStatus {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Suspect => f.write_str("suspect"),
            Self::Convicted => f.write_str("convicted"),
            Self::Acquitted => f.write_str("acquitted"),
        }
    }
}
impl ::std::str::FromStr for PoisonStatus {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "suspect" => Ok(Self::Suspect),
            "convicted" => Ok(Self::Convicted),
            "acquitted" => Ok(Self::Acquitted),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for PoisonStatus {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for PoisonStatus {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Records a conviction for other failure domains."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct QuarantineEntry {
    pub fingerprint: u64,
    #[doc = "Time at which it expires, in milliseconds since the epoch."]
    pub until_ms: u64,
}
#[doc = "Lists the convictions in force."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct QuarantineList {
    pub convictions: ::std::vec::Vec<QuarantineEntry>,
}
#[doc = "Asks daemons to run no other suspect on an engine, nor this one elsewhere."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct TrialRequest {
    pub engine: ::std::string::String,
    pub fingerprint: u64,
    #[doc = "Daemon that runs the suspect."]
    pub holder: ::std::string::String,
    #[doc = "Longest time that the trial takes, in milliseconds."]
    pub span_ms: u64,
}
#[doc = " Generation of default values for serde."]
pub mod defaults {
    pub(super) fn default_bool<const V: bool>() -> bool {
        V
    }
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
