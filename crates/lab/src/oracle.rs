//! The consistency check of a load run. It compares the outcomes that callers were told with what
//! reads returned and with the final content of the database.
//!
//! Callers write to *cells* by `put`, with consecutively numbered values from a single writer, and
//! to *lists* by `append`, with unique tokens. From these the check detects lost and duplicated
//! writes, writes that took effect although they were answered "not run", values under a wrong key,
//! violations of read-your-writes, and reads that are staler than allowed. Times are in
//! microseconds since the start of the load, and are given by the caller.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

/// The outcome of a write, as its caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write ran; the caller was told at this time.
    Acknowledged(u64),
    /// The write did not run.
    NotRun,
    /// The write may have run, or there was no answer.
    MayHaveRun,
}

/// A unique list element that names the list and the session it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListToken {
    /// The key of the list.
    pub list: String,
    /// The session that appends the token.
    pub session: String,
    /// The number of the token within the session.
    pub number: u64,
}

impl ListToken {
    /// Parses a token of the form `LIST=SESSION=NUMBER`; returns `None` for any other text.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('=');
        let token = Self {
            list: parts.next()?.to_owned(),
            session: parts.next()?.to_owned(),
            number: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(token)
    }
}

impl fmt::Display for ListToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}={}={}", self.list, self.session, self.number)
    }
}

/// A read of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListRead {
    /// The key of the list.
    pub list: String,
    /// The session that read.
    pub session: String,
    /// The time at which the read began.
    pub start_us: u64,
    /// The maximum age of the data that the read accepts, in microseconds.
    pub max_age_us: u64,
    /// The answer: the list's text, or `None` if the list has no value.
    pub answer: Option<String>,
}

/// An action of a caller, or an answer it received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OracleEvent {
    /// An append is about to be sent.
    StartAppend(ListToken),
    /// The caller of an append was told its outcome.
    EndAppend(ListToken, WriteOutcome),
    /// The writer of a cell is about to put its next value; see [`cell_value`].
    StartPut(String),
    /// The caller of the cell's last put was told its outcome.
    ///
    /// After [`WriteOutcome::MayHaveRun`] the writer must not use the cell again, as the put may
    /// still take effect at any later time.
    EndPut(String, WriteOutcome),
    /// The writer of a cell read it; `None` means that the cell has no value.
    ReadCell(String, Option<String>),
    /// A session read a list.
    ReadList(ListRead),
    /// A list was read after all requests had ended; `None` means that it has no value.
    ReadFinalList(String, Option<String>),
}

/// Returns the value of the put with this number to a cell, counted from 1.
pub fn cell_value(key: &str, number: usize) -> String {
    format!("{key}={number}")
}

/// A violated consistency guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OracleViolation {
    /// An acknowledged append is missing from the final list.
    Lost(ListToken),
    /// A list contains an append more than once.
    Doubled(ListToken),
    /// A write that was answered "not run" took effect.
    RefusedButRun(String),
    /// An answer contains a value of another key, or one that was never written.
    ForeignValue {
        /// The key that was read.
        key: String,
        /// The unexpected value.
        value: String,
    },
    /// A read doesn't reflect an earlier acknowledged write of the same session.
    OwnWriteUnseen {
        /// The key that was read.
        key: String,
        /// The value of the missing write.
        missing: String,
        /// The answer.
        found: String,
    },
    /// A read returned data that is staler than it accepts.
    StaleRead {
        /// The token of the missing write.
        missing: ListToken,
        /// The time from the write's acknowledgement to the start of the read, in microseconds.
        acknowledged_before_us: u64,
        /// The maximum age that the read accepts, in microseconds.
        max_age_us: u64,
    },
}

impl fmt::Display for OracleViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(token) => write!(formatter, "acknowledged append lost: {token}"),
            Self::Doubled(token) => write!(formatter, "append applied twice: {token}"),
            Self::RefusedButRun(token) => {
                write!(formatter, "answered not run, but it ran: {token}")
            }
            Self::ForeignValue { key, value } => {
                write!(formatter, "unexpected value in {key}: {value}")
            }
            Self::OwnWriteUnseen {
                key,
                missing,
                found,
            } => write!(
                formatter,
                "session does not see its own write in {key}: expected {missing}, found {found}",
            ),
            Self::StaleRead {
                missing,
                acknowledged_before_us,
                max_age_us,
            } => write!(
                formatter,
                "read older than allowed: {missing} was acknowledged {acknowledged_before_us} us \
                 before it, {max_age_us} us were allowed",
            ),
        }
    }
}

/// The history of a load run, and the violations found in it.
#[derive(Clone, Debug, Default)]
pub struct LoadOracle {
    /// The outcome of each append, by list; `None` while it is pending.
    lists: BTreeMap<String, BTreeMap<ListToken, Option<WriteOutcome>>>,
    cells: BTreeMap<String, CellHistory>,
    /// The tokens that any read has returned, by list.
    seen: BTreeMap<String, BTreeSet<ListToken>>,
    violations: Vec<OracleViolation>,
}

#[derive(Clone, Debug, Default)]
struct CellHistory {
    /// The outcome of each put, in order; `None` while it is pending.
    outcomes: Vec<Option<WriteOutcome>>,
    /// Whether a read has returned the value of the put with the same index.
    seen_values: Vec<bool>,
}

impl LoadOracle {
    /// Returns the violations found so far.
    pub fn violations(&self) -> &[OracleViolation] {
        &self.violations
    }

    /// Returns the keys of all lists that were written to.
    pub fn list_names(&self) -> impl Iterator<Item = &str> {
        self.lists.keys().map(String::as_str)
    }

    /// Returns the number of acknowledged appends.
    pub fn acknowledged_appends(&self) -> usize {
        let outcomes = self.lists.values().flat_map(BTreeMap::values);
        outcomes
            .filter(|outcome| matches!(outcome, Some(WriteOutcome::Acknowledged(_))))
            .count()
    }

    /// Adds an event, and checks it if it is a read.
    pub fn observe(&mut self, event: OracleEvent) {
        match event {
            OracleEvent::StartAppend(token) => self.record_append(token, None),
            OracleEvent::EndAppend(token, outcome) => self.record_append(token, Some(outcome)),
            OracleEvent::StartPut(key) => self.start_put(key),
            OracleEvent::EndPut(key, outcome) => self.end_put(&key, outcome),
            OracleEvent::ReadCell(key, answer) => self.check_cell(&key, answer.as_deref()),
            OracleEvent::ReadList(read) => self.check_list(&read),
            OracleEvent::ReadFinalList(list, answer) => {
                self.check_final_list(&list, answer.as_deref());
            }
        }
    }

    fn record_append(&mut self, token: ListToken, outcome: Option<WriteOutcome>) {
        let tokens = self.lists.entry(token.list.clone()).or_default();
        tokens.insert(token, outcome);
    }

    fn start_put(&mut self, key: String) {
        let cell = self.cells.entry(key).or_default();
        cell.outcomes.push(None);
        cell.seen_values.push(false);
    }

    fn end_put(&mut self, key: &str, outcome: WriteOutcome) {
        let cell = self.cells.get_mut(key);
        if let Some(last) = cell.and_then(|cell| cell.outcomes.last_mut()) {
            *last = Some(outcome);
        }
    }

    fn check_cell(&mut self, key: &str, answer: Option<&str>) {
        let cell = self.cells.entry(key.to_owned()).or_default();
        let number = match answer {
            None => Some(0),
            Some(text) => parse_cell(key, text).filter(|number| *number <= cell.outcomes.len()),
        };
        let Some(number) = number else {
            return self.report_foreign(key, answer);
        };
        if let Some(seen) = number.checked_sub(1) {
            cell.seen_values[seen] = true;
        }
        let own = cell
            .outcomes
            .iter()
            .rposition(|outcome| matches!(outcome, Some(WriteOutcome::Acknowledged(_))));
        let expected = own.map_or(0, |index| index + 1);
        if number < expected {
            self.violations.push(OracleViolation::OwnWriteUnseen {
                key: key.to_owned(),
                missing: cell_value(key, expected),
                found: answer.unwrap_or("nothing").to_owned(),
            });
        }
    }

    fn check_list(&mut self, read: &ListRead) {
        let tokens = self.parse_list(&read.list, read.answer.as_deref());
        for (token, outcome) in self.lists.entry(read.list.clone()).or_default() {
            let Some(WriteOutcome::Acknowledged(at)) = *outcome else {
                continue;
            };
            if at > read.start_us || tokens.contains(token) {
                continue;
            }
            let acknowledged_before_us = read.start_us - at;
            if token.session == read.session {
                self.violations.push(OracleViolation::OwnWriteUnseen {
                    key: read.list.clone(),
                    missing: token.to_string(),
                    found: read.answer.clone().unwrap_or_else(|| "nothing".to_owned()),
                });
            } else if acknowledged_before_us >= read.max_age_us {
                self.violations.push(OracleViolation::StaleRead {
                    missing: token.clone(),
                    acknowledged_before_us,
                    max_age_us: read.max_age_us,
                });
            }
        }
        self.record_seen(&read.list, tokens);
    }

    fn check_final_list(&mut self, list: &str, answer: Option<&str>) {
        let tokens = self.parse_list(list, answer);
        for (token, outcome) in self.lists.entry(list.to_owned()).or_default() {
            let is_present = tokens.contains(token);
            if !is_present && matches!(outcome, Some(WriteOutcome::Acknowledged(_))) {
                self.violations.push(OracleViolation::Lost(token.clone()));
            }
        }
        self.record_seen(list, tokens);
    }

    fn record_seen(&mut self, list: &str, tokens: BTreeSet<ListToken>) {
        self.seen.entry(list.to_owned()).or_default().extend(tokens);
    }

    /// Checks that no read has returned a write that was answered "not run". Must be called once,
    /// when the outcomes of all writes are known.
    pub fn check_refused(&mut self) {
        let refused = Some(WriteOutcome::NotRun);
        for (list, tokens) in &self.seen {
            let outcomes = self.lists.get(list);
            let run = tokens
                .iter()
                .filter(|token| outcomes.and_then(|known| known.get(token)) == Some(&refused));
            let found = run.map(|token| OracleViolation::RefusedButRun(token.to_string()));
            self.violations.extend(found);
        }
        for (key, cell) in &self.cells {
            for (index, outcome) in cell.outcomes.iter().enumerate() {
                if *outcome == refused && cell.seen_values[index] {
                    let value = cell_value(key, index + 1);
                    self.violations.push(OracleViolation::RefusedButRun(value));
                }
            }
        }
    }

    /// Parses the text of a list; reports duplicates and tokens that were never appended to it.
    fn parse_list(&mut self, list: &str, answer: Option<&str>) -> BTreeSet<ListToken> {
        let mut tokens = BTreeSet::new();
        for text in answer.iter().flat_map(|text| text.split(',')) {
            let known = self.lists.get(list);
            let token = ListToken::parse(text)
                .filter(|token| known.is_some_and(|tokens| tokens.contains_key(token)));
            let Some(token) = token else {
                self.report_foreign(list, Some(text));
                continue;
            };
            if !tokens.insert(token.clone()) {
                self.violations.push(OracleViolation::Doubled(token));
            }
        }
        tokens
    }

    fn report_foreign(&mut self, key: &str, answer: Option<&str>) {
        self.violations.push(OracleViolation::ForeignValue {
            key: key.to_owned(),
            value: answer.unwrap_or_default().to_owned(),
        });
    }
}

/// Returns the number of the put that wrote a cell's value.
fn parse_cell(key: &str, text: &str) -> Option<usize> {
    let number = text.strip_prefix(key)?.strip_prefix('=')?.parse().ok()?;
    (number > 0).then_some(number)
}
