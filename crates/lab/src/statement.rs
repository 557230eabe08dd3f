//! The command language of the endpoint stand-in, and its parser.
//!
//! A statement is a command word and its arguments, separated by white space, after any number of
//! leading `/* */` comments.

use std::fmt;

/// A parsed statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LabCommand {
    /// Replaces the value of a key.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
    /// Appends an element to the comma-separated list under a key.
    Append {
        /// The key.
        key: String,
        /// The element.
        value: String,
    },
    /// Reads a key: one row, whose value is null if the key has none.
    Get {
        /// The key.
        key: String,
    },
    /// Reads a key: one row if the key has a value, else no row.
    Find {
        /// The key.
        key: String,
    },
    /// Occupies a slot for some time.
    Sleep {
        /// The duration, in milliseconds.
        millis: u64,
    },
    /// Begins a transaction.
    Begin,
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Answers at once without a slot (`select 1`), for connection checks.
    Ping,
    /// Returns the instance's log position and role, and echoes the identifier of the query.
    ShowPosition {
        /// The identifier by which the client matches the answer to its query.
        id: String,
    },
}

/// The error for a text that isn't a valid command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownCommand {
    /// The first word of the text, or an empty string.
    pub word: String,
}

impl fmt::Display for UnknownCommand {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "unknown command or invalid arguments: {}",
            self.word
        )
    }
}

impl LabCommand {
    /// Parses a statement's text and replaces the words `$1`, `$2`, … by `parameters`.
    ///
    /// # Examples
    ///
    /// ```
    /// use ragwort_lab::statement::LabCommand;
    ///
    /// let command = LabCommand::parse("/*kind='status'*/ get $1", &["case-7".to_owned()]);
    /// assert_eq!(command, Ok(LabCommand::Get { key: "case-7".to_owned() }));
    /// ```
    ///
    /// # Errors
    ///
    /// Returns [`UnknownCommand`] if the first word is not a command or an argument is missing or
    /// invalid.
    pub fn parse(text: &str, parameters: &[String]) -> Result<Self, UnknownCommand> {
        let body = strip_comments(text).trim().trim_end_matches(';');
        let words: Vec<&str> = body
            .split_whitespace()
            .map(|word| fill_parameter(word, parameters))
            .collect();
        let first = words.first().map(|word| word.to_ascii_lowercase());
        let command = match (first.as_deref(), words.get(1..).unwrap_or_default()) {
            (Some("put"), [key, value]) => Self::Put {
                key: (*key).to_owned(),
                value: (*value).to_owned(),
            },
            (Some("append"), [key, value]) => Self::Append {
                key: (*key).to_owned(),
                value: (*value).to_owned(),
            },
            (Some("get"), [key]) => Self::Get {
                key: (*key).to_owned(),
            },
            (Some("find"), [key]) => Self::Find {
                key: (*key).to_owned(),
            },
            (Some("sleep"), [millis]) => match millis.parse() {
                Ok(millis) => Self::Sleep { millis },
                Err(_) => return Err(unknown(&words)),
            },
            (Some("begin" | "start"), _) => Self::Begin,
            (Some("commit"), _) => Self::Commit,
            (Some("rollback"), _) => Self::Rollback,
            (Some("select"), ["1"]) => Self::Ping,
            (Some("show"), ["ragwort_position", id]) => Self::ShowPosition {
                id: (*id).to_owned(),
            },
            _ => return Err(unknown(&words)),
        };
        Ok(command)
    }

    /// Returns the names of the result's columns.
    pub fn columns(&self) -> &'static [&'static str] {
        match self {
            Self::Get { .. } | Self::Find { .. } => &["value"],
            Self::Ping => &["?column?"],
            Self::ShowPosition { .. } => &["id", "term", "index", "role", "instance"],
            Self::Put { .. }
            | Self::Append { .. }
            | Self::Sleep { .. }
            | Self::Begin
            | Self::Commit
            | Self::Rollback => &[],
        }
    }
}

/// Returns the names of the result columns of a statement whose parameters aren't known yet.
///
/// # Errors
///
/// Returns [`UnknownCommand`] if the first word is not a command or an argument is missing or
/// invalid.
pub fn describe_columns(text: &str) -> Result<&'static [&'static str], UnknownCommand> {
    // Any placeholder will do; a number is accepted for every argument.
    let parameters = vec!["0".to_owned(); count_parameters(text)];
    LabCommand::parse(text, &parameters).map(|command| command.columns())
}

/// Returns the number of parameters of a statement: the highest `$N` in it.
pub fn count_parameters(text: &str) -> usize {
    strip_comments(text)
        .split_whitespace()
        .filter_map(parameter_number)
        .max()
        .unwrap_or(0)
}

/// Returns the text without its leading comments.
pub fn strip_comments(text: &str) -> &str {
    let mut rest = text.trim_start();
    while let Some(comment) = rest.strip_prefix("/*") {
        match comment.split_once("*/") {
            Some((_, after)) => rest = after.trim_start(),
            None => return "",
        }
    }
    rest
}

fn parameter_number(word: &str) -> Option<usize> {
    let digits = word.strip_prefix('$')?;
    digits.trim_end_matches(';').parse().ok()
}

fn fill_parameter<'a>(word: &'a str, parameters: &'a [String]) -> &'a str {
    let number = parameter_number(word).unwrap_or(0);
    match number
        .checked_sub(1)
        .and_then(|index| parameters.get(index))
    {
        Some(value) => value,
        None => word,
    }
}

fn unknown(words: &[&str]) -> UnknownCommand {
    UnknownCommand {
        word: words.first().copied().unwrap_or_default().to_owned(),
    }
}
