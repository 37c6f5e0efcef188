//! An edit of the configuration text that withdraws a backend server and keeps all comments.

use gooseberry_config::{diagnostic::TextDiagnostics, document::LocatedDocument, fleet};
use gooseberry_core::fleet::FleetTable;

/// Describes why the text can't be edited.
#[derive(Debug, thiserror::Error)]
pub enum DrainError {
    #[error("the recorded text isn't valid:\n{0}")]
    InvalidText(#[from] TextDiagnostics),
    #[error("the recorded text has no engine or plain server with the name {0}")]
    UnknownName(String),
    #[error("{0} is already withdrawn: its field `leaving` is true")]
    AlreadyLeaving(String),
    #[error(
        "the entry of {0} has a layout that this command can't edit; \
         set its field `leaving` to true by hand"
    )]
    UnusualLayout(String),
}

/// Returns the text with a backend server marked as withdrawn (`leaving: true`).
///
/// # Errors
///
/// Returns an error if the server is unknown, is already withdrawn, or if its
/// entry has a layout in which no single line can be edited safely.
pub fn drain(text: &str, name: &str) -> Result<String, DrainError> {
    let fleet = fleet::build(1, text)?;
    let (list, index, withdrawn) =
        find(&fleet, name).ok_or_else(|| DrainError::UnknownName(name.to_owned()))?;
    if withdrawn {
        return Err(DrainError::AlreadyLeaving(name.to_owned()));
    }
    let document = LocatedDocument::parse(text)?;
    let line = document.closest_line(&format!("/{list}/{index}/name"));
    let edited = edit(text, line, document.exact_line(&format!("/{list}/{index}/leaving")));
    let checked = edited.filter(|edited| is_withdrawn(edited, name));
    checked.ok_or_else(|| DrainError::UnusualLayout(name.to_owned()))
}

/// Returns the list that has the server, its index in that list, and whether it is withdrawn.
fn find(fleet: &FleetTable, name: &str) -> Option<(&'static str, usize, bool)> {
    let engines = fleet.engines.iter().map(|(_, row)| (&row.name, row.withdrawn));
    let servers = fleet.plain_servers.iter().map(|(_, row)| (&row.name, row.withdrawn));
    let engine = engines.enumerate().find(|(_, (known, _))| *known == name);
    let server = servers.enumerate().find(|(_, (known, _))| *known == name);
    engine
        .map(|(index, (_, withdrawn))| ("engines", index, withdrawn))
        .or(server.map(|(index, (_, withdrawn))| ("plain_servers", index, withdrawn)))
}

/// Sets the field `leaving` on its own line if it is there, else on or below the line of the name.
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

fn is_withdrawn(text: &str, name: &str) -> bool {
    let fleet = fleet::build(1, text);
    fleet.is_ok_and(|fleet| find(&fleet, name).is_some_and(|(_, _, withdrawn)| withdrawn))
}
