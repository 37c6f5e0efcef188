#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "A client account; several key digests allow key rotation."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AccountEntry {
    pub key_sha256: ::std::vec::Vec<::std::string::String>,
    pub name: ::std::string::String,
    #[serde(default = "defaults::account_entry_priority")]
    pub priority: AccountPriority,
    #[serde(default = "defaults::account_entry_requests_per_second")]
    pub requests_per_second: f64,
    #[serde(default = "defaults::account_entry_tokens_per_second")]
    pub tokens_per_second: f64,
}
#[doc = "The priority of an account's requests under overload."]
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
pub enum AccountPriority {
    #[serde(rename = "batch")]
    Batch,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "urgent")]
    Urgent,
}
impl ::std::fmt::Display for AccountPriority {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Batch => f.write_str("batch"),
            Self::Normal => f.write_str("normal"),
            Self::Urgent => f.write_str("urgent"),
        }
    }
}
impl ::std::str::FromStr for AccountPriority {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "batch" => Ok(Self::Batch),
            "normal" => Ok(Self::Normal),
            "urgent" => Ok(Self::Urgent),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for AccountPriority {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for AccountPriority {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "`ConfigurationBorder`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct ConfigurationBorder(pub ::serde_json::Value);
impl ::std::ops::Deref for ConfigurationBorder {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<ConfigurationBorder> for ::serde_json::Value {
    fn from(value: ConfigurationBorder) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for ConfigurationBorder {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "The configuration text that operators write."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationText {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub accounts: ::std::vec::Vec<AccountEntry>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub engines: ::std::vec::Vec<EngineEntry>,
    pub failure_domains: ::std::vec::Vec<FailureDomain>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub limits: ::std::option::Option<LimitSettings>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub links: ::std::vec::Vec<RegionLink>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub models: ::std::vec::Vec<ModelEntry>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub objectives: ::std::option::Option<ObjectiveSettings>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub plain_servers: ::std::vec::Vec<PlainServer>,
    pub services: ::std::vec::Vec<ServiceEntry>,
}
#[doc = "A model engine."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineEntry {
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 1>")]
    pub accelerators: ::std::num::NonZeroU32,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub adapters: ::std::vec::Vec<::std::string::String>,
    #[doc = "IP address and port."]
    pub address: ::std::string::String,
    #[doc = "Whether the engine rejects orders with a fencing token below the highest one that it has seen."]
    pub checks_fencing: bool,
    pub failure_domain: ::std::string::String,
    #[doc = "Whether operators are withdrawing this engine; if so, it gets no new requests."]
    #[serde(default)]
    pub leaving: bool,
    pub model: ::std::string::String,
    pub name: ::std::string::String,
    #[serde(default = "defaults::engine_entry_role")]
    pub role: EngineRole,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub version: ::std::option::Option<::std::string::String>,
}
#[doc = "The phases of a request that an engine runs."]
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
#[doc = "A failure domain and its region."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    pub name: ::std::string::String,
    pub region: ::std::string::String,
}
#[doc = "The limits on requests and retries."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LimitSettings {
    #[serde(default = "defaults::default_u64::<u32, 3>")]
    pub attempts: u32,
    #[serde(default = "defaults::default_u64::<u64, 8388608>")]
    pub body_bytes: u64,
    #[serde(default = "defaults::limit_settings_retry_share")]
    pub retry_share: f64,
}
impl ::std::default::Default for LimitSettings {
    fn default() -> Self {
        Self {
            attempts: defaults::default_u64::<u32, 3>(),
            body_bytes: defaults::default_u64::<u64, 8388608>(),
            retry_share: defaults::limit_settings_retry_share(),
        }
    }
}
#[doc = "A model, with the versions and adapters that engines may load."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub adapters: ::std::vec::Vec<::std::string::String>,
    pub name: ::std::string::String,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub versions: ::std::vec::Vec<::std::string::String>,
}
#[doc = "The deployment's latency objectives and their weight."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveSettings {
    #[serde(default = "defaults::default_u64::<u64, 49>")]
    pub between_tokens_ms: u64,
    #[serde(default = "defaults::default_u64::<u64, 430>")]
    pub first_token_ms: u64,
    #[serde(default = "defaults::objective_settings_weight")]
    pub weight: ObjectiveWeight,
}
impl ::std::default::Default for ObjectiveSettings {
    fn default() -> Self {
        Self {
            between_tokens_ms: defaults::default_u64::<u64, 49>(),
            first_token_ms: defaults::default_u64::<u64, 430>(),
            weight: defaults::objective_settings_weight(),
        }
    }
}
#[doc = "The objective that takes precedence over the others."]
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
pub enum ObjectiveWeight {
    #[serde(rename = "goodput")]
    Goodput,
    #[serde(rename = "role-changes")]
    RoleChanges,
}
impl ::std::fmt::Display for ObjectiveWeight {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Goodput => f.write_str("goodput"),
            Self::RoleChanges => f.write_str("role-changes"),
        }
    }
}
impl ::std::str::FromStr for ObjectiveWeight {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "goodput" => Ok(Self::Goodput),
            "role-changes" => Ok(Self::RoleChanges),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ObjectiveWeight {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ObjectiveWeight {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for ObjectiveWeight {
    fn default() -> Self {
        ObjectiveWeight::Goodput
    }
}
#[doc = "A backend server of a plain service."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlainServer {
    pub address: ::std::string::String,
    pub failure_domain: ::std::string::String,
    #[serde(default)]
    pub leaving: bool,
    pub name: ::std::string::String,
    pub service: ::std::string::String,
}
#[doc = "The network link between two regions, in both directions."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RegionLink {
    #[doc = "Bandwidth that requests sent to another region may use on this link, in bytes per second; if absent, no requests are sent over it."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub bytes_per_second: ::std::option::Option<u64>,
    pub from: ::std::string::String,
    #[doc = "One-way latency in milliseconds."]
    #[serde(default = "defaults::region_link_latency_ms")]
    pub latency_ms: f64,
    #[doc = "Price for each gigabyte transferred."]
    #[serde(default = "defaults::region_link_price_per_gb")]
    pub price_per_gb: f64,
    pub to: ::std::string::String,
}
#[doc = "A service that callers may use."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    #[doc = "Whether requests of this service have a lower priority than those of interactive services."]
    #[serde(default)]
    pub batch: bool,
    #[doc = "Deadline of requests that state none, in milliseconds."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 30000>")]
    pub deadline_ms: ::std::num::NonZeroU64,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub depends_on: ::std::vec::Vec<::std::string::String>,
    pub kind: ServiceKind,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub model: ::std::option::Option<::std::string::String>,
    pub name: ::std::string::String,
    #[doc = "Path prefix of a plain service, such as /booking."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub prefix: ::std::option::Option<::std::string::String>,
    #[doc = "Time for which callers may retry a call with the same idempotency key, in seconds."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 86400>")]
    pub retry_horizon_s: ::std::num::NonZeroU64,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub unrepeatable: ::std::vec::Vec<UnrepeatableCall>,
}
#[doc = "The kind of backend servers of a service."]
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
pub enum ServiceKind {
    #[serde(rename = "completion")]
    Completion,
    #[serde(rename = "plain")]
    Plain,
}
impl ::std::fmt::Display for ServiceKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Completion => f.write_str("completion"),
            Self::Plain => f.write_str("plain"),
        }
    }
}
impl ::std::str::FromStr for ServiceKind {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "completion" => Ok(Self::Completion),
            "plain" => Ok(Self::Plain),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ServiceKind {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ServiceKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Non-idempotent calls, which run at most once."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UnrepeatableCall {
    pub method: ::std::string::String,
    #[doc = "Path below the service's prefix; a trailing * matches any suffix."]
    pub path: ::std::string::String,
}
#[doc = " Generation of default values for serde."]
pub mod defaults {
    pub(super) fn default_i64<T, const V: i64>() -> T
    where
        T: ::std::convert::TryFrom<i64>,
        <T as ::std::convert::TryFrom<i64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_nzu64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<::std::num::NonZeroU64>,
        <T as ::std::convert::TryFrom<::std::num::NonZeroU64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(::std::num::NonZeroU64::try_from(V).unwrap()).unwrap()
    }
    pub(super) fn account_entry_priority() -> super::AccountPriority {
        super::AccountPriority::Normal
    }
    pub(super) fn account_entry_requests_per_second() -> f64 {
        100.0_f64
    }
    pub(super) fn account_entry_tokens_per_second() -> f64 {
        100000.0_f64
    }
    pub(super) fn engine_entry_role() -> super::EngineRole {
        super::EngineRole::Mixed
    }
    pub(super) fn limit_settings_retry_share() -> f64 {
        0.1_f64
    }
    pub(super) fn objective_settings_weight() -> super::ObjectiveWeight {
        super::ObjectiveWeight::Goodput
    }
    pub(super) fn region_link_latency_ms() -> f64 {
        0.0_f64
    }
    pub(super) fn region_link_price_per_gb() -> f64 {
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
