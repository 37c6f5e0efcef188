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
    #[doc = "Duties in force at the platform's API: `usage_report` and `autoscale`."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub duties: ::std::vec::Vec<::std::string::String>,
    #[doc = "Calls per second that the platform's API accepts from all daemons together."]
    #[serde(default = "defaults::gateway_settings_duty_rate")]
    pub duty_rate: f64,
    #[doc = "Failure domain of the VM."]
    pub failure_domain: ::std::string::String,
    #[doc = "Time from SIGTERM to SIGKILL, in seconds."]
    #[serde(default = "defaults::gateway_settings_grace_s")]
    pub grace_s: f64,
    #[doc = "Time within which two daemons must not take turns in a duty, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 3000>")]
    pub lease_ms: u64,
    #[doc = "IP address and port for callers."]
    pub listen: ::std::string::String,
    #[doc = "Level of the logs."]
    #[serde(default = "defaults::gateway_settings_log")]
    pub log: ::std::string::String,
    #[doc = "File descriptors that the process may open."]
    #[serde(default = "defaults::default_u64::<u64, 4096>")]
    pub max_fds: u64,
    #[doc = "Memory of the VM, in megabytes, from which the bound on the memory held for callers follows."]
    #[serde(default = "defaults::default_u64::<u64, 256>")]
    pub memory_mb: u64,
    #[doc = "IP address and port of the metrics."]
    pub metrics_listen: ::std::string::String,
    #[doc = "Least rate at which the body of a request must arrive over each 5 s, in bytes per second."]
    #[serde(default = "defaults::default_u64::<u64, 1024>")]
    pub min_body_rate: u64,
    #[doc = "Name of the VM."]
    pub name: ::std::string::String,
    #[doc = "Whether the pace of a server that has started or recovered is found from its responses."]
    #[serde(default)]
    pub pace: bool,
    #[doc = "IP address and UDP port for other daemons."]
    pub peer_listen: ::std::string::String,
    #[doc = "IP address and port of the platform's API. Without it there are no duties."]
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub platform_api: ::std::option::Option<::std::string::String>,
    #[doc = "IP address and port of the load balancer's readiness check."]
    pub ready_listen: ::std::string::String,
    #[doc = "Region of each failure domain."]
    pub regions: ::std::collections::HashMap<::std::string::String, ::std::string::String>,
    #[doc = "Length of a window of the usage reports, in seconds."]
    #[serde(default = "defaults::gateway_settings_report_window_s")]
    pub report_window_s: f64,
    #[doc = "Whether the platform's API refuses calls with a lower fencing token than it has seen."]
    #[serde(default)]
    pub require_fencing: bool,
    #[doc = "Retries per request that all daemons together may make (retry budget)."]
    #[serde(default = "defaults::gateway_settings_retry_ratio")]
    pub retry_ratio: f64,
    #[doc = "Retries that are allowed in each window regardless of the traffic."]
    #[serde(default = "defaults::default_u64::<u32, 50>")]
    pub retry_slack: u32,
    #[doc = "Window of the retry budget, in seconds."]
    #[serde(default = "defaults::gateway_settings_retry_window_s")]
    pub retry_window_s: f64,
    #[doc = "Time after the acknowledgement of a configuration from which the keys that it removed must be refused, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 5000>")]
    pub revoke_ms: u64,
    #[doc = "IP address and port of the key-value service."]
    pub store: ::std::string::String,
    #[doc = "Whether a key that a configuration has removed must be refused within `revoke_ms` by daemons without contact to the key-value service too."]
    #[serde(default)]
    pub strict_revoke: bool,
    #[doc = "Time after a suspension in which late calls of a duty are excused, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 300>")]
    pub thaw_ms: u64,
    #[doc = "Time after the end of a window at which its usage report is due, in seconds."]
    #[serde(default = "defaults::gateway_settings_usage_late_s")]
    pub usage_late_s: f64,
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
    pub(super) fn gateway_settings_duty_rate() -> f64 {
        10_f64
    }
    pub(super) fn gateway_settings_grace_s() -> f64 {
        8_f64
    }
    pub(super) fn gateway_settings_log() -> ::std::string::String {
        "info".to_string()
    }
    pub(super) fn gateway_settings_report_window_s() -> f64 {
        5_f64
    }
    pub(super) fn gateway_settings_retry_ratio() -> f64 {
        0.2_f64
    }
    pub(super) fn gateway_settings_retry_window_s() -> f64 {
        10_f64
    }
    pub(super) fn gateway_settings_usage_late_s() -> f64 {
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
