//! Outcomes of commands, with their text output, JSON output and exit codes.

use serde_json::Value;
use serde_json::json;
use std::process::ExitCode;

/// The class of an outcome, which decides the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeClass {
    /// The command is done.
    Done,
    /// The command was refused; nothing was changed.
    Refused,
    /// The command line is invalid.
    Usage,
    /// The command may or may not be done.
    Unknown,
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandOutcome {
    class: OutcomeClass,
    text: String,
    value: Value,
}

impl CommandOutcome {
    /// Returns the outcome of a command that is done.
    pub fn done(text: impl Into<String>, value: Value) -> Self {
        Self::new(OutcomeClass::Done, text, value)
    }

    /// Returns the outcome of a command that was refused for the given reason.
    pub fn refused(reason: impl Into<String>) -> Self {
        let reason = reason.into();
        let value = json!({ "refused": reason });
        Self::new(OutcomeClass::Refused, reason, value)
    }

    /// Returns the outcome of an invalid command line.
    pub fn usage(reason: impl Into<String>) -> Self {
        let reason = reason.into();
        let value = json!({ "usage": reason });
        Self::new(OutcomeClass::Usage, reason, value)
    }

    /// Returns the outcome of a command that may or may not be done.
    pub fn unknown(reason: impl Into<String>) -> Self {
        let reason = reason.into();
        let value = json!({ "unknown": reason });
        Self::new(OutcomeClass::Unknown, reason, value)
    }

    /// Replaces the JSON output.
    pub fn with_value(mut self, value: Value) -> Self {
        self.value = value;
        self
    }

    fn new(class: OutcomeClass, text: impl Into<String>, value: Value) -> Self {
        Self {
            class,
            text: text.into(),
            value,
        }
    }

    /// Prints the outcome. Text goes to standard output if the command is done, and to standard
    /// error otherwise; JSON always goes to standard output.
    pub fn print(&self, json: bool) {
        if json {
            println!("{}", self.value);
        } else if self.class == OutcomeClass::Done {
            println!("{}", self.text);
        } else {
            eprintln!("{}", self.text);
        }
    }

    /// Returns the exit code.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self.class {
            OutcomeClass::Done => 0,
            OutcomeClass::Refused => 1,
            OutcomeClass::Usage => 2,
            OutcomeClass::Unknown => 3,
        })
    }
}
