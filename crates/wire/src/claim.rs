#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "`ClaimBorder`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct ClaimBorder(pub ::serde_json::Value);
impl ::std::ops::Deref for ClaimBorder {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<ClaimBorder> for ::serde_json::Value {
    fn from(value: ClaimBorder) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for ClaimBorder {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "The state of a claimed call."]
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
pub enum ClaimPhase {
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "executed")]
    Executed,
    #[serde(rename = "lost")]
    Lost,
    #[serde(rename = "released")]
    Released,
}
impl ::std::fmt::Display for ClaimPhase {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Running => f.write_str("running"),
            Self::Done => f.write_str("done"),
            Self::Executed => f.write_str("executed"),
            Self::Lost => f.write_str("lost"),
            Self::Released => f.write_str("released"),
        }
    }
}
impl ::std::str::FromStr for ClaimPhase {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "running" => Ok(Self::Running),
            "done" => Ok(Self::Done),
            "executed" => Ok(Self::Executed),
            "lost" => Ok(Self::Lost),
            "released" => Ok(Self::Released),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ClaimPhase {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ClaimPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "The claim of a non-idempotent call, which runs at most once."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ClaimRecord {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub body_base64: ::std::option::Option<::std::string::String>,
    #[doc = "Identifier of the claim, unique for each attempt."]
    pub claim: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub content_type: ::std::option::Option<::std::string::String>,
    #[doc = "End of the callers' retry horizon, in milliseconds since the epoch."]
    pub expires_at_ms: u64,
    #[doc = "Hash of the method, path and body."]
    pub fingerprint: u64,
    #[doc = "Daemon and incarnation that hold the claim and may send the call."]
    pub holder: ::std::string::String,
    pub made_at_ms: u64,
    pub phase: ClaimPhase,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub status: ::std::option::Option<u16>,
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
