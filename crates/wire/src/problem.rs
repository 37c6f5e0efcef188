#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "`ProblemBorder`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct ProblemBorder(pub ::serde_json::Value);
impl ::std::ops::Deref for ProblemBorder {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<ProblemBorder> for ::serde_json::Value {
    fn from(value: ProblemBorder) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for ProblemBorder {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "The problem document (RFC 9457) of a refused request."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ProblemDocument {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub dependency: ::std::option::Option<::std::string::String>,
    pub detail: ::std::string::String,
    #[doc = "Whether earlier attempts with the same key were executed; present if `executed` refers to this attempt only."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub earlier_tries: ::std::option::Option<RequestExecuted>,
    pub executed: RequestExecuted,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_after_s: ::std::option::Option<u64>,
    pub status: u16,
    pub title: ::std::string::String,
    #[serde(rename = "type")]
    pub type_: ::std::string::String,
}
#[doc = "Whether the request was executed."]
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
pub enum RequestExecuted {
    #[serde(rename = "no")]
    No,
    #[serde(rename = "unknown")]
    Unknown,
    #[serde(rename = "yes")]
    Yes,
}
impl ::std::fmt::Display for RequestExecuted {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::No => f.write_str("no"),
            Self::Unknown => f.write_str("unknown"),
            Self::Yes => f.write_str("yes"),
        }
    }
}
impl ::std::str::FromStr for RequestExecuted {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "no" => Ok(Self::No),
            "unknown" => Ok(Self::Unknown),
            "yes" => Ok(Self::Yes),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RequestExecuted {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RequestExecuted {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
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
