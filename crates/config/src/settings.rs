//! The settings of a daemon and of a gateway.

use gooseberry_wire::{
    gateway::GatewaySettings, settings::DaemonSettings, GATEWAY_SCHEMA, SETTINGS_SCHEMA,
};

use crate::{diagnostic::TextDiagnostics, document::LocatedDocument};

/// Reads and checks the settings of a daemon.
///
/// # Errors
///
/// Returns all faults of the text.
///
/// # Panics
///
/// Panics if the schema admits what the generated type refuses.
pub fn parse(text: &str) -> Result<DaemonSettings, TextDiagnostics> {
    let document = LocatedDocument::parse(text)?;
    document.check(SETTINGS_SCHEMA, "DaemonSettings")?;
    let settings: DaemonSettings =
        serde_json::from_value(document.value.clone()).expect("the schema admits only settings");
    let addresses = [
        ("/listen", &settings.listen),
        ("/peer_listen", &settings.peer_listen),
        ("/platform", &settings.platform),
    ];
    check_addresses(&document, &addresses)?;
    Ok(settings)
}

/// Reads and checks the settings of a gateway.
///
/// # Errors
///
/// Returns all faults of the text.
///
/// # Panics
///
/// Panics if the schema admits what the generated type refuses.
pub fn parse_gateway(text: &str) -> Result<GatewaySettings, TextDiagnostics> {
    let document = LocatedDocument::parse(text)?;
    document.check(GATEWAY_SCHEMA, "GatewaySettings")?;
    let settings: GatewaySettings =
        serde_json::from_value(document.value.clone()).expect("the schema admits only settings");
    let addresses = [
        ("/listen", &settings.listen),
        ("/ready_listen", &settings.ready_listen),
        ("/metrics_listen", &settings.metrics_listen),
        ("/peer_listen", &settings.peer_listen),
        ("/store", &settings.store),
    ];
    check_addresses(&document, &addresses)?;
    Ok(settings)
}

fn check_addresses(
    document: &LocatedDocument,
    addresses: &[(&str, &String)],
) -> Result<(), TextDiagnostics> {
    let faults: Vec<_> = addresses
        .iter()
        .filter(|(_, address)| address.parse::<std::net::SocketAddr>().is_err())
        .map(|(pointer, address)| {
            document.diagnostic(pointer, format!("{address} isn't an IP address and port"))
        })
        .collect();
    if faults.is_empty() {
        return Ok(());
    }
    Err(TextDiagnostics::new(faults))
}
