#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "An event at an engine during a trace."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetEvent {
    #[doc = "Time since the start of the trace."]
    pub at_ms: u64,
    #[doc = "Name of the engine."]
    pub engine: ::std::string::String,
    pub event: FleetEventKind,
    #[doc = "Fraction of requests that fail with a bad version."]
    #[serde(default = "defaults::fleet_event_failure_share")]
    pub failure_share: f64,
}
#[doc = "The kind of an engine event."]
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
pub enum FleetEventKind {
    #[serde(rename = "withdraw")]
    Withdraw,
    #[serde(rename = "restore")]
    Restore,
    #[serde(rename = "bad-version")]
    BadVersion,
    #[serde(rename = "good-version")]
    GoodVersion,
}
impl ::std::fmt::Display for FleetEventKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Withdraw => f.write_str("withdraw"),
            Self::Restore => f.write_str("restore"),
            Self::BadVersion => f.write_str("bad-version"),
            Self::GoodVersion => f.write_str("good-version"),
        }
    }
}
impl ::std::str::FromStr for FleetEventKind {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "withdraw" => Ok(Self::Withdraw),
            "restore" => Ok(Self::Restore),
            "bad-version" => Ok(Self::BadVersion),
            "good-version" => Ok(Self::GoodVersion),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for FleetEventKind {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for FleetEventKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "`TraceBorder`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct TraceBorder(pub ::serde_json::Value);
impl ::std::ops::Deref for TraceBorder {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<TraceBorder> for ::serde_json::Value {
    fn from(value: TraceBorder) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for TraceBorder {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "One request of a trace file, which has one JSON object per line."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TraceEntry {
    #[doc = "Time of arrival since the start of the trace."]
    pub at_ms: u64,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub body: ::std::option::Option<::std::string::String>,
    #[doc = "Name of the account."]
    pub caller: ::std::string::String,
    #[doc = "Time from arrival to deadline."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub deadline_ms: ::std::option::Option<u64>,
    #[doc = "Failure domain at which the request arrives; any if absent."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub failure_domain: ::std::option::Option<::std::string::String>,
    #[doc = "Idempotency key."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub key: ::std::option::Option<::std::string::String>,
    #[doc = "Method of a call to a plain service."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub method: ::std::option::Option<::std::string::String>,
    #[serde(default)]
    pub output_tokens: u32,
    #[doc = "Path of a call to a plain service."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub path: ::std::option::Option<::std::string::String>,
    #[doc = "Name of the shared prompt prefix."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub prefix: ::std::option::Option<::std::string::String>,
    #[doc = "Number of prompt tokens that belong to the shared prefix."]
    #[serde(default)]
    pub prefix_tokens: u32,
    #[serde(default)]
    pub prompt_tokens: u32,
    #[doc = "Name of the service."]
    pub service: ::std::string::String,
}
#[doc = "One line of a trace file."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(untagged)]
pub enum TraceLine {
    FleetEvent(FleetEvent),
    TraceEntry(TraceEntry),
}
impl ::std::convert::From<FleetEvent> for TraceLine {
    fn from(value: FleetEvent) -> Self {
        Self::FleetEvent(value)
    }
}
impl ::std::convert::From<TraceEntry> for TraceLine {
    fn from(value: TraceEntry) -> Self {
        Self::TraceEntry(value)
    }
}
#[doc = " Generation of default values for serde."]
pub mod defaults {
    pub(super) fn fleet_event_failure_share() -> f64 {
        0.0_f64
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
