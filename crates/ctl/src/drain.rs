//! An edit of the text that withdraws a backend server, comments kept.

use gooseberry_config::{diagnostic::TextDiagnostics, document::LocatedDocument, fleet};
use gooseberry_core::fleet::FleetTable;

/// Says why the text can't be edited.
#[derive(Debug, thiserror::Error)]
pub enum DrainError {
    #[error("the recorded text isn't valid:\n{0}")]
    InvalidText(#[from] TextDiagnostics),
    #[error("no engine or plain server is called {0}")]
    UnknownName(String),
    #[error("{0} is leaving already")]
    AlreadyLeaving(String),
    #[error("{0} can't be edited by this command; set its field leaving by hand")]
    UnusualLayout(String),
}

/// Returns the text with a backend server marked as leaving.
///
/// # Errors
///
/// Returns an error if the server is unknown, is leaving already, or stands in
/// the text in a way that a line of it can't be edited safely.
pub fn drain(text: &str, name: &str) -> Result<String, DrainError> {
    let fleet = fleet::build(1, text)?;
    let (list, index, leaving) =
        find(&fleet, name).ok_or_else(|| DrainError::UnknownName(name.to_owned()))?;
    if leaving {
        return Err(DrainError::AlreadyLeaving(name.to_owned()));
    }
    let document = LocatedDocument::parse(text)?;
    let line = document.closest_line(&format!("/{list}/{index}/name"));
    let edited = edit(text, line, document.exact_line(&format!("/{list}/{index}/leaving")));
    let drained = edited.filter(|edited| is_drained(edited, name));
    drained.ok_or_else(|| DrainError::UnusualLayout(name.to_owned()))
}

fn find(fleet: &FleetTable, name: &str) -> Option<(&'static str, usize, bool)> {
    let engines = fleet.engines.iter().map(|(_, row)| (&row.name, row.withdrawn));
    let servers = fleet.plain_servers.iter().map(|(_, row)| (&row.name, row.withdrawn));
    let engine = engines.enumerate().find(|(_, (known, _))| *known == name);
    let server = servers.enumerate().find(|(_, (known, _))| *known == name);
    engine
        .map(|(index, (_, leaving))| ("engines", index, leaving))
        .or(server.map(|(index, (_, leaving))| ("plain_servers", index, leaving)))
}

/// Sets the field on the line of the name, or on its own line.
fn edit(text: &str, name_line: usize, leaving_line: Option<usize>) -> Option<String> {
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    if let Some(line) = leaving_line {
        let line = lines.get_mut(line - 1)?;
        *line = line.replacen("leaving: false", "leaving: true", 1);
        return Some(lines.join("\n") + "\n");
    }
    let line = lines.get_mut(name_line - 1)?;
    let start = line.find("name:")?;
    if line[..start].contains('{') {
        line.insert_str(start, "leaving: true, ");
    } else {
        let indent = " ".repeat(line[..start].chars().count());
        lines.insert(name_line, format!("{indent}leaving: true"));
    }
    Some(lines.join("\n") + "\n")
}

fn is_drained(text: &str, name: &str) -> bool {
    let fleet = fleet::build(1, text);
    fleet.is_ok_and(|fleet| find(&fleet, name).is_some_and(|(_, _, leaving)| leaving))
}
