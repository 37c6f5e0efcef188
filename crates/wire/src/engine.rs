#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Reports that a prefix piece was stored or evicted."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct CacheEvent {
    #[doc = "Hash of the prefix that ends with this piece."]
    pub piece: u64,
    pub sequence: u64,
    pub stored: bool,
}
#[doc = "Lists cache events after a sequence number; numbers may have gaps."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct CacheEvents {
    pub events: ::std::vec::Vec<CacheEvent>,
    pub next: u64,
}
#[doc = "Holds one choice of a chat answer."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ChatChoice {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub delta: ::std::option::Option<ChatDelta>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub finish_reason: ::std::option::Option<::std::string::String>,
    pub index: u32,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub message: ::std::option::Option<ChatMessage>,
}
#[doc = "Carries the next part of a chat message."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ChatDelta {
    pub content: ::std::string::String,
}
#[doc = "Holds one message of a chat."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ChatMessage {
    pub content: ::std::string::String,
    pub role: ::std::string::String,
}
#[doc = "Asks for the next message of a chat."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ChatRequest {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::std::string::String>,
    #[serde(default = "defaults::default_u64::<u32, 16>")]
    pub max_tokens: u32,
    pub messages: ::std::vec::Vec<ChatMessage>,
    pub model: ::std::string::String,
    #[serde(default)]
    pub stream: bool,
}
#[doc = "Answers a chat, whole or as one chunk."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ChatResponse {
    pub choices: ::std::vec::Vec<ChatChoice>,
    pub id: ::std::string::String,
    pub model: ::std::string::String,
    pub object: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub position: ::std::option::Option<u32>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub usage: ::std::option::Option<TokenUsage>,
}
#[doc = "Holds one choice of a completion."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct CompletionChoice {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub finish_reason: ::std::option::Option<::std::string::String>,
    pub index: u32,
    pub text: ::std::string::String,
}
#[doc = "Carries one token of a streamed completion."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct CompletionChunk {
    pub choices: ::std::vec::Vec<CompletionChoice>,
    pub id: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub kv_handle: ::std::option::Option<::std::string::String>,
    pub model: ::std::string::String,
    pub object: ::std::string::String,
    #[doc = "Position of the token in the whole answer, from 0."]
    pub position: u32,
}
#[doc = "Asks for a completion."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct CompletionRequest {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub adapter: ::std::option::Option<::std::string::String>,
    #[doc = "Whether to stop after prefill and export the KV cache."]
    #[serde(default)]
    pub export_kv: bool,
    #[doc = "Handle of exported KV cache."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub kv_handle: ::std::option::Option<::std::string::String>,
    #[serde(default = "defaults::default_u64::<u32, 16>")]
    pub max_tokens: u32,
    pub model: ::std::string::String,
    #[serde(default = "defaults::default_u64::<u32, 1>")]
    pub priority: u32,
    #[serde(default)]
    pub prompt: ::std::string::String,
    #[doc = "Position of the first token to send."]
    #[serde(default)]
    pub resume_from: u32,
    #[serde(default)]
    pub stream: bool,
    #[doc = "Name of the stream towards the engine, for resume and cancel."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub stream_id: ::std::option::Option<::std::string::String>,
}
#[doc = "Answers a completion as a whole."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct CompletionResponse {
    pub choices: ::std::vec::Vec<CompletionChoice>,
    pub id: ::std::string::String,
    pub model: ::std::string::String,
    pub object: ::std::string::String,
    pub usage: TokenUsage,
}
#[doc = "`EngineBorder`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct EngineBorder(pub ::serde_json::Value);
impl ::std::ops::Deref for EngineBorder {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<EngineBorder> for ::serde_json::Value {
    fn from(value: EngineBorder) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for EngineBorder {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "Sets the faults of the stand-in engine."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default, PartialEq)]
pub struct EngineFaults {
    #[doc = "Text in a prompt that ends the process."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub crash_on: ::std::option::Option<::std::string::String>,
    #[serde(default)]
    pub lie_idle: bool,
    #[serde(default)]
    pub refuse_export: bool,
    #[serde(default)]
    pub silent_streams: bool,
    #[serde(default)]
    pub step_delay_ms: u64,
    #[serde(default)]
    pub stuck: bool,
}
#[doc = "Orders an engine to change its role, model, version or adapters."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct EngineOrder {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub adapters: ::std::vec::Vec<::std::string::String>,
    pub fencing: u64,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub model: ::std::option::Option<::std::string::String>,
    pub order_id: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub role: ::std::option::Option<EngineRole>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub version: ::std::option::Option<::std::string::String>,
}
#[doc = "Says which phase of a request an engine works on."]
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
pub enum EngineRole {
    #[serde(rename = "prefill")]
    Prefill,
    #[serde(rename = "decode")]
    Decode,
    #[serde(rename = "mixed")]
    Mixed,
}
impl ::std::fmt::Display for EngineRole {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Prefill => f.write_str("prefill"),
            Self::Decode => f.write_str("decode"),
            Self::Mixed => f.write_str("mixed"),
        }
    }
}
impl ::std::str::FromStr for EngineRole {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "prefill" => Ok(Self::Prefill),
            "decode" => Ok(Self::Decode),
            "mixed" => Ok(Self::Mixed),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for EngineRole {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for EngineRole {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Says whether an engine takes work."]
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
pub enum EngineState {
    #[serde(rename = "serving")]
    Serving,
    #[serde(rename = "changing")]
    Changing,
    #[serde(rename = "draining")]
    Draining,
}
impl ::std::fmt::Display for EngineState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Serving => f.write_str("serving"),
            Self::Changing => f.write_str("changing"),
            Self::Draining => f.write_str("draining"),
        }
    }
}
impl ::std::str::FromStr for EngineState {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "serving" => Ok(Self::Serving),
            "changing" => Ok(Self::Changing),
            "draining" => Ok(Self::Draining),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for EngineState {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for EngineState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Asks an engine to fetch exported KV cache from another."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct KvImport {
    #[doc = "Address of the engine that holds the export."]
    pub from: ::std::string::String,
    pub handle: ::std::string::String,
}
#[doc = "Reports the load of an engine, with a lag."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct LoadReport {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub adapters: ::std::vec::Vec<::std::string::String>,
    #[doc = "Identifier of the last order that took effect."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub applied_order: ::std::option::Option<::std::string::String>,
    pub engine: ::std::string::String,
    pub highest_fencing: u64,
    pub incarnation: u64,
    pub kv_piece_tokens: u32,
    pub kv_pieces_free: u32,
    pub kv_pieces_total: u32,
    pub made_at_ms: u64,
    pub model: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub pending_order: ::std::option::Option<::std::string::String>,
    pub prefill_backlog_tokens: u64,
    pub queued: u32,
    pub role: EngineRole,
    pub running: u32,
    pub sequence: u64,
    pub state: EngineState,
    #[doc = "Batch steps done so far; an engine that is stuck does none."]
    pub steps: u64,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub version: ::std::option::Option<::std::string::String>,
}
#[doc = "Answers an order."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct OrderResponse {
    pub accepted: bool,
    pub highest_fencing: u64,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub reason: ::std::option::Option<::std::string::String>,
}
#[doc = "Counts the tokens of a request."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct TokenUsage {
    pub cached_tokens: u32,
    pub completion_tokens: u32,
    pub prompt_tokens: u32,
}
#[doc = " Generation of default values for serde."]
pub mod defaults {
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
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
