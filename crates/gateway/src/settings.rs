//! The gateway's settings, with addresses and durations decoded.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use gooseberry_core::serving::{
    accounts::RevocationPolicy, budget::RetryAllowance, distance::DomainMap,
};
use gooseberry_wire::gateway::GatewaySettings;
use smol_str::SmolStr;

/// A field of the settings that can't be decoded.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    #[error("{field}: {text:?} isn't an IP address and port, such as 10.0.0.1:8080")]
    Address { field: &'static str, text: String },
    #[error("{field}: {seconds} isn't a number of seconds above 0")]
    Duration { field: &'static str, seconds: f64 },
}

/// A duty at the platform's API, which one daemon at a time has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum DutyKind {
    /// Reports the requests of each client account.
    UsageReport,
    /// Orders the engines of the services that can be scaled.
    Autoscale,
}

/// The platform's API and the duties there.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyOptions {
    pub api: SocketAddr,
    pub duties: Vec<DutyKind>,
    /// Calls per second that the API accepts from all daemons together.
    pub rate: f64,
    /// Whether the API refuses calls with a lower fencing token than it has seen.
    pub requires_fencing: bool,
    /// Time within which two daemons must not take turns in a duty.
    pub turn_interval: Duration,
    /// Time after a suspension in which late calls are excused.
    pub thaw: Duration,
    /// Length of a window of the usage reports.
    pub report_window: Duration,
    /// Time after the end of a window at which its usage report is due.
    pub report_delay: Duration,
}

/// Bytes of a megabyte, as the settings count memory.
const BYTES_PER_MB: u64 = 1_000_000;

/// Decoded settings of the gateway.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    pub name: SmolStr,
    pub domain: SmolStr,
    pub domains: DomainMap,
    pub listen: SocketAddr,
    pub ready_listen: SocketAddr,
    pub metrics_listen: SocketAddr,
    pub peer_listen: SocketAddr,
    pub store: SocketAddr,
    /// Share of a CPU core that the VM has.
    pub capacity: f64,
    /// Memory of the VM, in bytes.
    pub memory_bytes: u64,
    /// File descriptors that the process may open.
    pub max_descriptors: u64,
    /// Least rate at which request bodies arrive, in bytes per second.
    pub min_body_rate: u64,
    pub revocation: RevocationPolicy,
    /// None if there are no duties.
    pub duties: Option<DutyOptions>,
    /// Whether the pace of a server that has started or recovered is found from its responses.
    pub adapts_pace: bool,
    pub limits: GatewayLimits,
}

/// The settings that can be reloaded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewayLimits {
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    pub retry_allowance: RetryAllowance,
}

impl GatewayOptions {
    /// Decodes the settings.
    ///
    /// # Errors
    ///
    /// Returns the first field that isn't an address or a duration.
    pub fn new(settings: &GatewaySettings) -> Result<Self, SettingsError> {
        let address = |field, text: &str| {
            text.parse().map_err(|_| SettingsError::Address { field, text: text.to_owned() })
        };
        let regions: HashMap<SmolStr, SmolStr> = settings
            .regions
            .iter()
            .map(|(domain, region)| (domain.as_str().into(), region.as_str().into()))
            .collect();
        Ok(Self {
            name: settings.name.as_str().into(),
            domain: settings.failure_domain.as_str().into(),
            domains: DomainMap::new(regions),
            listen: address("listen", &settings.listen)?,
            ready_listen: address("ready_listen", &settings.ready_listen)?,
            metrics_listen: address("metrics_listen", &settings.metrics_listen)?,
            peer_listen: address("peer_listen", &settings.peer_listen)?,
            store: address("store", &settings.store)?,
            capacity: settings.cpu_share,
            memory_bytes: settings.memory_mb.saturating_mul(BYTES_PER_MB),
            max_descriptors: settings.max_fds,
            min_body_rate: settings.min_body_rate,
            revocation: RevocationPolicy {
                is_strict: settings.strict_revoke,
                limit: Duration::from_millis(settings.revoke_ms),
            },
            duties: duty_options(settings)?,
            adapts_pace: settings.pace,
            limits: GatewayLimits {
                grace: Duration::from_secs_f64(settings.grace_s),
                retry_allowance: RetryAllowance {
                    ratio: settings.retry_ratio,
                    window: Duration::from_secs_f64(settings.retry_window_s),
                    slack: settings.retry_slack,
                },
            },
        })
    }

    /// Returns the names of the settings in `other` that differ and need a restart.
    pub fn restart_required(&self, other: &Self) -> Vec<&'static str> {
        let rows = [
            ("name", self.name == other.name),
            ("failure_domain", self.domain == other.domain),
            ("listen", self.listen == other.listen),
            ("ready_listen", self.ready_listen == other.ready_listen),
            ("metrics_listen", self.metrics_listen == other.metrics_listen),
            ("peer_listen", self.peer_listen == other.peer_listen),
            ("store", self.store == other.store),
            ("memory_mb", self.memory_bytes == other.memory_bytes),
            ("max_fds", self.max_descriptors == other.max_descriptors),
            ("min_body_rate", self.min_body_rate == other.min_body_rate),
            ("revoke_ms", self.revocation == other.revocation),
            ("platform_api", self.duties == other.duties),
            ("pace", self.adapts_pace == other.adapts_pace),
        ];
        rows.into_iter().filter(|(_, is_same)| !is_same).map(|(name, _)| name).collect()
    }
}

/// Decodes the duties. Unknown ones are left out: a later platform may name more.
fn duty_options(settings: &GatewaySettings) -> Result<Option<DutyOptions>, SettingsError> {
    let Some(api) = &settings.platform_api else {
        return Ok(None);
    };
    let field = "platform_api";
    let api = api.parse().map_err(|_| SettingsError::Address { field, text: api.clone() })?;
    let duration = |field, seconds: f64| {
        let duration = Duration::try_from_secs_f64(seconds).ok().filter(|it| !it.is_zero());
        duration.ok_or(SettingsError::Duration { field, seconds })
    };
    Ok(Some(DutyOptions {
        api,
        duties: settings.duties.iter().filter_map(|duty| duty.parse().ok()).collect(),
        rate: settings.duty_rate,
        requires_fencing: settings.require_fencing,
        turn_interval: Duration::from_millis(settings.lease_ms),
        thaw: Duration::from_millis(settings.thaw_ms),
        report_window: duration("report_window_s", settings.report_window_s)?,
        report_delay: duration("usage_late_s", settings.usage_late_s)?,
    }))
}
