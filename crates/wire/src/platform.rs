#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "The response to a write whose expected revision didn't match."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default, PartialEq)]
pub struct KvConflict {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub current: ::std::option::Option<KvRecord>,
}
#[doc = "The records below a prefix."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct KvListing {
    pub records: ::std::vec::Vec<KvRecord>,
    pub revision: u64,
}
#[doc = "A request to write a key if its revision is the expected one."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct KvPut {
    #[doc = "Revision that the key must have; 0 means that it must not exist; if absent, the write is unconditional."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub expected: ::std::option::Option<u64>,
    #[doc = "Lease whose end deletes the key."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub lease: ::std::option::Option<u64>,
    pub value: ::std::string::String,
}
#[doc = "One key with its value and revision."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct KvRecord {
    pub key: ::std::string::String,
    pub revision: u64,
    pub value: ::std::string::String,
}
#[doc = "The response to a write that took effect."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct KvWritten {
    pub revision: u64,
}
#[doc = "A granted lease."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct LeaseGrant {
    pub lease: u64,
    pub ttl_ms: u64,
}
#[doc = "A request for a lease."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct LeaseRequest {
    pub ttl_ms: u64,
}
#[doc = "`PlatformBorder`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct PlatformBorder(pub ::serde_json::Value);
impl ::std::ops::Deref for PlatformBorder {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<PlatformBorder> for ::serde_json::Value {
    fn from(value: PlatformBorder) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for PlatformBorder {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "The numbers of calls that the stand-in platform has served."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct PlatformCounts {
    pub leases: u64,
    pub lists: u64,
    pub reads: u64,
    pub watches: u64,
    pub weights: u64,
    pub writes: u64,
}
#[doc = "The faults that the stand-in platform injects."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default, PartialEq)]
pub struct PlatformFaults {
    #[serde(default)]
    pub delay_ms: u64,
    #[serde(default)]
    pub down: bool,
    #[doc = "Number of following writes that take effect without a response."]
    #[serde(default)]
    pub lose_write_answers: u32,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub vm_lag_ms: ::std::option::Option<u64>,
}
#[doc = "One VM in the platform's list."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct VmEntry {
    pub address: ::std::string::String,
    pub failure_domain: ::std::string::String,
    pub incarnation: u64,
    pub kind: VmKind,
    pub name: ::std::string::String,
    pub state: VmState,
}
#[doc = "The kind of program that runs on a VM."]
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
pub enum VmKind {
    #[serde(rename = "entry")]
    Entry,
    #[serde(rename = "engine")]
    Engine,
    #[serde(rename = "plain")]
    Plain,
}
impl ::std::fmt::Display for VmKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Entry => f.write_str("entry"),
            Self::Engine => f.write_str("engine"),
            Self::Plain => f.write_str("plain"),
        }
    }
}
impl ::std::str::FromStr for VmKind {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "entry" => Ok(Self::Entry),
            "engine" => Ok(Self::Engine),
            "plain" => Ok(Self::Plain),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for VmKind {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for VmKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "The platform's VMs; the list lags behind the real state."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct VmListing {
    pub made_at_ms: u64,
    pub vms: ::std::vec::Vec<VmEntry>,
}
#[doc = "Whether a VM is in service or about to be removed."]
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
pub enum VmState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::fmt::Display for VmState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for VmState {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for VmState {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for VmState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "The time after which loading a model's weights may start."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct WeightGrant {
    pub wait_ms: u64,
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
