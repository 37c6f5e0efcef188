#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "An edit of the configuration, as stored in the key-value service."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ConfigurationEdit {
    pub author: ::std::string::String,
    #[doc = "Configuration revision that the edit is based on."]
    pub base: u64,
    #[doc = "Difference from the base's text."]
    #[serde(default)]
    pub difference: ::std::string::String,
    #[doc = "Identifier made by the operator's command, which recognises its own write by it."]
    pub edit: ::std::string::String,
    pub made_at_ms: u64,
    #[doc = "Number of this edit: that of its base plus one."]
    #[serde(default)]
    pub sequence: u64,
    pub text: ::std::string::String,
}
#[doc = "`EditBorder`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct EditBorder(pub ::serde_json::Value);
impl ::std::ops::Deref for EditBorder {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<EditBorder> for ::serde_json::Value {
    fn from(value: EditBorder) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for EditBorder {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "An entry of the configuration's history, for auditors."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct HistoryRecord {
    pub author: ::std::string::String,
    pub base: u64,
    pub difference: ::std::string::String,
    pub edit: ::std::string::String,
    pub made_at_ms: u64,
    pub revision: u64,
    pub sequence: u64,
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
