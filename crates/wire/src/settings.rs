#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "The settings of one daemon."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    #[doc = "Timeout for the body of a request, in seconds."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 20>")]
    pub body_timeout_s: ::std::num::NonZeroU64,
    #[doc = "Longest time for which a shutdown waits for running requests, in seconds."]
    #[serde(default = "defaults::default_u64::<u64, 30>")]
    pub drain_s: u64,
    pub failure_domain: ::std::string::String,
    #[doc = "Timeout for the head of a request and for idle connections, in seconds."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 10>")]
    pub head_timeout_s: ::std::num::NonZeroU64,
    #[doc = "IP address and port for callers."]
    pub listen: ::std::string::String,
    #[serde(default = "defaults::daemon_settings_log")]
    pub log: ::std::string::String,
    #[doc = "IP address and port of a statsd server."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub metrics: ::std::option::Option<::std::string::String>,
    #[doc = "Name of the VM."]
    pub name: ::std::string::String,
    #[doc = "IP address and port for other daemons and operators."]
    pub peer_listen: ::std::string::String,
    #[doc = "Shared secret of daemons and operators."]
    pub peer_secret: ::std::string::String,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub peers: ::std::vec::Vec<::std::string::String>,
    #[doc = "IP address and port of the platform's services."]
    pub platform: ::std::string::String,
    #[doc = "Secret that the platform requires."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub platform_secret: ::std::option::Option<::std::string::String>,
    #[serde(default = "defaults::default_u64::<u32, 4>")]
    pub traffic_threads: u32,
}
#[doc = "`SettingsBorder`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct SettingsBorder(pub ::serde_json::Value);
impl ::std::ops::Deref for SettingsBorder {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<SettingsBorder> for ::serde_json::Value {
    fn from(value: SettingsBorder) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for SettingsBorder {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
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
    pub(super) fn default_nzu64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<::std::num::NonZeroU64>,
        <T as ::std::convert::TryFrom<::std::num::NonZeroU64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(::std::num::NonZeroU64::try_from(V).unwrap()).unwrap()
    }
    pub(super) fn daemon_settings_log() -> ::std::string::String {
        "info".to_string()
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
