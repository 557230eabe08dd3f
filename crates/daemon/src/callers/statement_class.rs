//! Classifies statements by their first words: transaction control, ordinary, or unsupported.
//!
//! Endpoint connections are shared between sessions (transaction pooling), so a statement that
//! changes the state of its connection is refused before it runs. The next customer on the
//! connection would find the setting, prepared statement or subscription, and the caller itself
//! would not find it again.

use crate::callers::StatementScan;

/// The class of a statement, which decides how the gateway handles it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementClass {
    /// The text contains no statement.
    Empty,
    /// The statement opens a transaction.
    Begin,
    /// The statement commits the transaction.
    Commit,
    /// The statement rolls back the whole transaction.
    Rollback,
    /// Any other statement.
    Ordinary,
    /// A statement that can't run on a shared connection; contains the error message.
    Unsupported(&'static str),
}

impl StatementClass {
    /// Classifies a statement.
    ///
    /// # Examples
    ///
    /// ```
    /// use ragwortgated::callers::StatementClass;
    /// use ragwortgated::callers::StatementScan;
    ///
    /// let class = StatementClass::of(&StatementScan::new("START TRANSACTION"));
    /// assert_eq!(class, StatementClass::Begin);
    /// let class = StatementClass::of(&StatementScan::new("rollback to savepoint a"));
    /// assert_eq!(class, StatementClass::Ordinary);
    /// ```
    pub fn of(scan: &StatementScan<'_>) -> Self {
        if !scan.has_statement {
            return Self::Empty;
        }
        if scan.has_second_statement {
            return Self::Unsupported("expected one statement in a message");
        }
        let second = scan.word(1);
        match scan.word(0).as_str() {
            "begin" => Self::Begin,
            "start" if second == "transaction" => Self::Begin,
            "commit" | "end" => classify_end(scan, Self::Commit),
            "rollback" | "abort" => classify_end(scan, Self::Rollback),
            "set" if matches!(second.as_str(), "local" | "transaction" | "constraints") => {
                Self::Ordinary
            }
            "set" | "reset" | "discard" => {
                Self::Unsupported("settings of a connection aren't kept; use SET LOCAL")
            }
            "prepare" | "execute" | "deallocate" => Self::Unsupported(
                "prepared statements of a connection aren't kept; use the extended protocol",
            ),
            "listen" | "unlisten" => Self::Unsupported("subscriptions aren't kept"),
            "copy" => Self::Unsupported("COPY isn't supported"),
            "create" if creates_temporary(scan) => {
                Self::Unsupported("temporary objects aren't kept")
            }
            _ => Self::Ordinary,
        }
    }
}

fn classify_end(scan: &StatementScan<'_>, class: StatementClass) -> StatementClass {
    let words: Vec<String> = (1..scan.words.len())
        .map(|index| scan.word(index))
        .collect();
    let has = |word: &str| words.iter().any(|other| other == word);
    if has("prepared") {
        return StatementClass::Unsupported("two-phase commit isn't supported");
    }
    if has("chain") && !has("no") {
        return StatementClass::Unsupported("AND CHAIN isn't supported");
    }
    if has("to") {
        return StatementClass::Ordinary;
    }
    class
}

fn creates_temporary(scan: &StatementScan<'_>) -> bool {
    (1..scan.words.len()).any(|index| matches!(scan.word(index).as_str(), "temp" | "temporary"))
}

/// Returns the command tag of a completed statement, in PostgreSQL's form.
///
/// `count` is the number of affected or returned rows.
pub(crate) fn command_tag(scan: &StatementScan<'_>, count: u64, has_rows: bool) -> String {
    match scan.word(0).as_str() {
        "insert" => format!("INSERT 0 {count}"),
        word @ ("update" | "delete" | "merge") => {
            format!("{} {count}", word.to_ascii_uppercase())
        }
        _ if has_rows => format!("SELECT {count}"),
        "select" | "with" | "values" | "table" => format!("SELECT {count}"),
        "start" => "START TRANSACTION".to_owned(),
        "end" => "COMMIT".to_owned(),
        "abort" => "ROLLBACK".to_owned(),
        word @ ("create" | "alter" | "drop") => {
            let object = scan.word(1).to_ascii_uppercase();
            format!("{} {object}", word.to_ascii_uppercase())
        }
        word => word.to_ascii_uppercase(),
    }
}
