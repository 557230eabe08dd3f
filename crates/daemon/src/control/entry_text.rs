//! The text of a catalog command in an entry of the replicated log.
//!
//! The leader writes an entry to its disk, sends it to each follower, and keeps it until the next
//! snapshot. Each of these escapes the entry's text once more and compresses messages anew. A
//! configuration of thousands of contracts is megabytes of JSON, so the text is compressed once,
//! when the command is proposed.

use ragwort_rpc::compact_text;
use ragwort_rpc::expand_text;
use ragwort_types::CatalogCommand;

/// Returns the entry text of a command.
///
/// # Panics
///
/// Never panics: every catalog command has a JSON form.
pub fn encode_command(command: &CatalogCommand) -> String {
    let text = serde_json::to_string(command).expect("a catalog command serializes to JSON");
    compact_text(text)
}

/// Returns the command of an entry text, compressed or not.
///
/// # Errors
///
/// Returns a message that describes why the text isn't a command.
pub fn decode_command(text: &str) -> Result<CatalogCommand, String> {
    let expanded = expand_text(text).map_err(|error| error.to_string())?;
    serde_json::from_str(&expanded).map_err(|error| error.to_string())
}
