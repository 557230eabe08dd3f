//! A YAML tree that records the position of each value, and a reader that collects faults.
//!
//! A derived deserializer stops at its first fault, so an operator would correct a file one fault
//! at a time, with a start of the daemon after each. Here the parser builds a tree, and a
//! [`SectionReader`] takes typed values out of it and collects every fault on the way.

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_saphyr::Location;
use serde_saphyr::Spanned;
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

/// A fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// The line, counted from 1; zero if the fault has no position, as for a missing file.
    pub line: u64,
    /// The column, counted from 1.
    pub column: u64,
    /// The description of the fault and of what was expected.
    pub message: String,
}

impl SettingFault {
    /// Creates a fault without a position in the file.
    pub fn without_position(message: impl Into<String>) -> Self {
        Self {
            line: 0,
            column: 0,
            message: message.into(),
        }
    }

    pub(crate) fn at(location: Location, message: impl Into<String>) -> Self {
        Self {
            line: location.line(),
            column: location.column(),
            message: message.into(),
        }
    }
}

impl fmt::Display for SettingFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return formatter.write_str(&self.message);
        }
        write!(
            formatter,
            "line {} column {}: {}",
            self.line, self.column, self.message
        )
    }
}

/// A value of the tree with its position.
pub(crate) type TreeNode = Spanned<TreeValue>;

/// A value of the tree, without its position.
#[derive(Clone, Debug)]
pub(crate) enum TreeValue {
    Empty,
    Scalar(String),
    List(Vec<TreeNode>),
    Map(Vec<TreeEntry>),
}

/// A key and its value.
#[derive(Clone, Debug)]
pub(crate) struct TreeEntry {
    key: Spanned<String>,
    value: TreeNode,
}

struct TreeVisitor;

impl<'de> Visitor<'de> for TreeVisitor {
    type Value = TreeValue;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a value, a list or a map")
    }

    fn visit_unit<E>(self) -> Result<TreeValue, E> {
        Ok(TreeValue::Empty)
    }

    fn visit_none<E>(self) -> Result<TreeValue, E> {
        Ok(TreeValue::Empty)
    }

    fn visit_bool<E>(self, value: bool) -> Result<TreeValue, E> {
        Ok(TreeValue::Scalar(value.to_string()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<TreeValue, E> {
        Ok(TreeValue::Scalar(value.to_string()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<TreeValue, E> {
        Ok(TreeValue::Scalar(value.to_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<TreeValue, E> {
        Ok(TreeValue::Scalar(value.to_string()))
    }

    fn visit_str<E>(self, value: &str) -> Result<TreeValue, E> {
        Ok(TreeValue::Scalar(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<TreeValue, A::Error> {
        let mut nodes = Vec::new();
        while let Some(node) = list.next_element()? {
            nodes.push(node);
        }
        Ok(TreeValue::List(nodes))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<TreeValue, A::Error> {
        let mut entries = Vec::new();
        while let Some(key) = map.next_key()? {
            let value = map.next_value()?;
            entries.push(TreeEntry { key, value });
        }
        Ok(TreeValue::Map(entries))
    }
}

impl<'de> Deserialize<'de> for TreeValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(TreeVisitor)
    }
}

/// Parses a text into a tree.
///
/// # Errors
///
/// Returns the first fault if the text isn't valid YAML; the parser can't go on after it.
pub(crate) fn parse_tree(text: &str) -> Result<TreeNode, SettingFault> {
    serde_saphyr::from_str(text).map_err(|error| {
        let message = error.without_snippet().to_string();
        match error.location() {
            Some(location) => SettingFault::at(location, message),
            None => SettingFault::without_position(message),
        }
    })
}

/// Reads the entries of one map and collects the faults found in them.
///
/// Each `take_` method removes its key, so that [`SectionReader::finish`] can report the keys that
/// no setting uses.
pub(crate) struct SectionReader {
    path: String,
    location: Location,
    entries: Vec<TreeEntry>,
    known: Vec<&'static str>,
    faults: Vec<SettingFault>,
}

impl SectionReader {
    /// Creates a reader of a map; any other value is a fault and reads as an empty map.
    pub(crate) fn new(path: &str, node: TreeNode) -> Self {
        let mut reader = Self {
            path: path.to_owned(),
            location: node.referenced,
            entries: Vec::new(),
            known: Vec::new(),
            faults: Vec::new(),
        };
        match node.value {
            TreeValue::Map(entries) => reader.entries = entries,
            TreeValue::Empty => {}
            TreeValue::Scalar(_) | TreeValue::List(_) => {
                reader.add_fault(
                    reader.location,
                    format!("{path}: expected a map of settings"),
                );
            }
        }
        reader
    }

    /// Returns the position of the whole section.
    pub(crate) fn location(&self) -> Location {
        self.location
    }

    /// Records a fault at a position.
    pub(crate) fn add_fault(&mut self, location: Location, message: String) {
        self.faults.push(SettingFault::at(location, message));
    }

    /// Takes a value of any shape; an empty value counts as absent.
    pub(crate) fn take_node(&mut self, key: &'static str) -> Option<TreeNode> {
        self.known.push(key);
        let index = self
            .entries
            .iter()
            .position(|entry| entry.key.value == key)?;
        let node = self.entries.remove(index).value;
        (!matches!(node.value, TreeValue::Empty)).then_some(node)
    }

    /// Takes a section.
    pub(crate) fn take_section(&mut self, key: &'static str) -> Option<SectionReader> {
        let path = self.path_of(key);
        self.take_node(key)
            .map(|node| SectionReader::new(&path, node))
    }

    /// Takes a section that must be there.
    pub(crate) fn take_required_section(&mut self, key: &'static str) -> SectionReader {
        match self.take_section(key) {
            Some(section) => section,
            None => {
                self.add_missing_fault(key);
                self.empty_section(key)
            }
        }
    }

    /// Takes a section, or an empty one if it is absent, so that its defaults apply.
    pub(crate) fn take_optional_section(&mut self, key: &'static str) -> SectionReader {
        self.take_section(key)
            .unwrap_or_else(|| self.empty_section(key))
    }

    /// Takes a list; an absent one is empty.
    pub(crate) fn take_list(&mut self, key: &'static str) -> Vec<TreeNode> {
        let path = self.path_of(key);
        match self.take_node(key) {
            None => Vec::new(),
            Some(node) => match node.value {
                TreeValue::List(nodes) => nodes,
                TreeValue::Empty | TreeValue::Scalar(_) | TreeValue::Map(_) => {
                    self.add_fault(node.referenced, format!("{path}: expected a list"));
                    Vec::new()
                }
            },
        }
    }

    /// Takes a scalar and parses it as `T`; one that can't be parsed is a fault.
    pub(crate) fn take_scalar<T: FromStr>(
        &mut self,
        key: &'static str,
        expected: &str,
    ) -> Option<Spanned<T>> {
        let path = self.path_of(key);
        let node = self.take_node(key)?;
        let location = node.referenced;
        let TreeValue::Scalar(text) = node.value else {
            self.add_fault(location, format!("{path}: expected {expected}"));
            return None;
        };
        match text.parse() {
            Ok(value) => Some(Spanned::new(value, location, location)),
            Err(_) => {
                self.add_fault(
                    location,
                    format!("{path}: expected {expected}, found `{text}`"),
                );
                None
            }
        }
    }

    /// Takes a scalar that must be there; an absent or malformed one is a fault.
    pub(crate) fn take_required<T: FromStr>(
        &mut self,
        key: &'static str,
        expected: &str,
    ) -> Option<Spanned<T>> {
        let present = self
            .entries
            .iter()
            .any(|entry| entry.key.value == key && !matches!(entry.value.value, TreeValue::Empty));
        if !present {
            self.add_missing_fault(key);
        }
        self.take_scalar(key, expected)
    }

    /// Takes a whole number within a range, or the default when it is absent.
    pub(crate) fn take_number(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let Some(number) = self.take_scalar::<u64>(key, &expected) else {
            return default;
        };
        if !range.contains(&number.value) {
            let path = self.path_of(key);
            self.add_fault(
                number.referenced,
                format!("{path}: expected {expected}, found `{}`", number.value),
            );
            return default;
        }
        number.value
    }

    /// Ends the section: reports the unknown keys and returns all faults.
    pub(crate) fn finish(mut self) -> Vec<SettingFault> {
        let known = self.known.join(", ");
        for entry in std::mem::take(&mut self.entries) {
            let path = self.path_of(&entry.key.value);
            self.add_fault(
                entry.key.referenced,
                format!("{path}: unknown setting, expected one of {known}"),
            );
        }
        self.faults
    }

    fn add_missing_fault(&mut self, key: &'static str) {
        let path = self.path_of(key);
        self.add_fault(self.location, format!("{path}: expected, but missing"));
    }

    fn empty_section(&self, key: &str) -> SectionReader {
        let empty = Spanned::new(TreeValue::Empty, self.location, self.location);
        SectionReader::new(&self.path_of(key), empty)
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }
}
