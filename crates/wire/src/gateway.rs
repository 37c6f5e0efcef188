#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "`GatewayBorder`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct GatewayBorder(pub ::serde_json::Value);
impl ::std::ops::Deref for GatewayBorder {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<GatewayBorder> for ::serde_json::Value {
    fn from(value: GatewayBorder) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for GatewayBorder {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "The settings of the gateway on one entry VM."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    #[doc = "Share of a core that the VM has."]
    #[serde(default = "defaults::gateway_settings_cpu_share")]
    pub cpu_share: f64,
    #[doc = "Failure domain of the VM."]
    pub failure_domain: ::std::string::String,
    #[doc = "Time from SIGTERM to SIGKILL, in seconds."]
    #[serde(default = "defaults::gateway_settings_grace_s")]
    pub grace_s: f64,
    #[doc = "IP address and port for callers."]
    pub listen: ::std::string::String,
    #[doc = "Level of the logs."]
    #[serde(default = "defaults::gateway_settings_log")]
    pub log: ::std::string::String,
    #[doc = "IP address and port of the metrics."]
    pub metrics_listen: ::std::string::String,
    #[doc = "Name of the VM."]
    pub name: ::std::string::String,
    #[doc = "IP address and UDP port for other daemons."]
    pub peer_listen: ::std::string::String,
    #[doc = "IP address and port of the load balancer's readiness check."]
    pub ready_listen: ::std::string::String,
    #[doc = "Region of each failure domain."]
    pub regions: ::std::collections::HashMap<::std::string::String, ::std::string::String>,
    #[doc = "Retries per request that all daemons together may make (retry budget)."]
    #[serde(default = "defaults::gateway_settings_retry_ratio")]
    pub retry_ratio: f64,
    #[doc = "Retries that are allowed in each window regardless of the traffic."]
    #[serde(default = "defaults::default_u64::<u32, 50>")]
    pub retry_slack: u32,
    #[doc = "Window of the retry budget, in seconds."]
    #[serde(default = "defaults::gateway_settings_retry_window_s")]
    pub retry_window_s: f64,
    #[doc = "IP address and port of the key-value service."]
    pub store: ::std::string::String,
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
    pub(super) fn gateway_settings_cpu_share() -> f64 {
        1_f64
    }
    pub(super) fn gateway_settings_grace_s() -> f64 {
        8_f64
    }
    pub(super) fn gateway_settings_log() -> ::std::string::String {
        "info".to_string()
    }
    pub(super) fn gateway_settings_retry_ratio() -> f64 {
        0.2_f64
    }
    pub(super) fn gateway_settings_retry_window_s() -> f64 {
        10_f64
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
