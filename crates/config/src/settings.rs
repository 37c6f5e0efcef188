//! The settings of a daemon.

use gooseberry_wire::{settings::DaemonSettings, SETTINGS_SCHEMA};

use crate::{document::LocatedDocument, fault::TextFaults};

/// Reads and checks the settings of a daemon.
///
/// # Errors
///
/// Returns all faults of the text.
///
/// # Panics
///
/// Panics if the schema admits what the generated type refuses.
pub fn parse(text: &str) -> Result<DaemonSettings, TextFaults> {
    let document = LocatedDocument::parse(text)?;
    document.check(SETTINGS_SCHEMA, "DaemonSettings")?;
    let settings: DaemonSettings =
        serde_json::from_value(document.value.clone()).expect("the schema admits only settings");
    let addresses = [
        ("/listen", &settings.listen),
        ("/peer_listen", &settings.peer_listen),
        ("/platform", &settings.platform),
    ];
    let faults: Vec<_> = addresses
        .into_iter()
        .filter(|(_, address)| address.parse::<std::net::SocketAddr>().is_err())
        .map(|(pointer, address)| {
            document.fault(pointer, format!("{address} isn't an IP address and port"))
        })
        .collect();
    if faults.is_empty() {
        return Ok(settings);
    }
    Err(TextFaults::new(faults))
}
