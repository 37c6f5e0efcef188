//! The gateway's settings, with addresses and durations decoded.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use gooseberry_core::serving::{budget::RetryAllowance, distance::DomainMap};
use gooseberry_wire::gateway::GatewaySettings;
use smol_str::SmolStr;

/// A field of the settings that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {text:?} isn't an IP address and port, such as 10.0.0.1:8080")]
pub struct SettingsError {
    field: &'static str,
    text: String,
}

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
    /// Returns the first field that isn't an address.
    pub fn new(settings: &GatewaySettings) -> Result<Self, SettingsError> {
        let address = |field, text: &str| {
            text.parse().map_err(|_| SettingsError { field, text: text.to_owned() })
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
        ];
        rows.into_iter().filter(|(_, is_same)| !is_same).map(|(name, _)| name).collect()
    }
}
