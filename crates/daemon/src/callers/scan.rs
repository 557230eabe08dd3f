//! A lexical scan of a statement's text, in place of a full parser.
//!
//! The scan skips strings, quoted identifiers, dollar-quoted strings and comments by PostgreSQL's
//! lexical rules. It finds the first words, the block comments, the highest parameter number, and
//! whether a second statement follows. The text itself is forwarded unchanged.

use smallvec::SmallVec;

/// The number of words that the scan keeps. To classify `create global temporary table` takes
/// three, and `rollback work and no chain` five.
const MAX_WORDS: usize = 5;

/// The result of scanning a statement's text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementScan<'a> {
    /// The first words before any other token, in their original case.
    pub words: SmallVec<[&'a str; MAX_WORDS]>,
    /// The contents of block comments before the statement.
    pub leading: SmallVec<[&'a str; 1]>,
    /// The contents of block comments within the statement.
    pub inner: SmallVec<[&'a str; 1]>,
    /// The contents of block comments after the statement.
    pub trailing: SmallVec<[&'a str; 1]>,
    /// The highest parameter number (`$n`); zero if there is none.
    pub parameters: usize,
    /// Whether there is any token besides comments and semicolons.
    pub has_statement: bool,
    /// Whether another statement follows a semicolon.
    pub has_second_statement: bool,
}

impl<'a> StatementScan<'a> {
    /// Scans the text of a message.
    ///
    /// # Examples
    ///
    /// ```
    /// use ragwortgated::callers::StatementScan;
    ///
    /// let scan = StatementScan::new("/*kind='status'*/ select ';', $2");
    /// assert_eq!(scan.words.as_slice(), ["select"]);
    /// assert_eq!(scan.leading.as_slice(), ["kind='status'"]);
    /// assert_eq!(scan.parameters, 2);
    /// assert!(!scan.has_second_statement);
    /// ```
    pub fn new(text: &'a str) -> Self {
        let mut scanner = Scanner {
            text,
            position: 0,
            depth: 0,
            after_semicolon: false,
            words_done: false,
            scan: StatementScan::default(),
        };
        while scanner.position < text.len() {
            scanner.step();
        }
        scanner.scan
    }

    /// Returns one of the first words in lower case; empty if there is none at `index`.
    pub fn word(&self, index: usize) -> String {
        self.words
            .get(index)
            .map(|word| word.to_ascii_lowercase())
            .unwrap_or_default()
    }
}

struct Scanner<'a> {
    text: &'a str,
    position: usize,
    depth: usize,
    after_semicolon: bool,
    words_done: bool,
    scan: StatementScan<'a>,
}

impl<'a> Scanner<'a> {
    fn step(&mut self) {
        let rest = &self.text.as_bytes()[self.position..];
        match rest {
            [byte, ..] if is_space(*byte) => self.position += 1,
            [b'-', b'-', ..] => self.skip_line(),
            [b'/', b'*', ..] => self.scan_comment(),
            [b';', ..] if self.depth == 0 => {
                self.after_semicolon = self.scan.has_statement;
                self.position += 1;
            }
            [byte, ..] => {
                self.begin_token();
                self.scan_token(*byte);
            }
            [] => {}
        }
    }

    /// Records that a token starts here, and sorts the comments found since the last one into
    /// leading and inner ones.
    fn begin_token(&mut self) {
        self.scan.has_second_statement |= self.after_semicolon;
        let comments = std::mem::take(&mut self.scan.trailing);
        if self.scan.has_statement {
            self.scan.inner.extend(comments);
        } else {
            self.scan.leading = comments;
        }
        self.scan.has_statement = true;
    }

    fn scan_token(&mut self, byte: u8) {
        match byte {
            b'\'' => self.skip_string(false),
            b'"' => self.skip_quoted(b'"'),
            b'$' => self.scan_dollar(),
            byte if starts_word(byte) => self.scan_word(),
            byte => {
                self.words_done = true;
                self.depth = match byte {
                    b'(' => self.depth + 1,
                    b')' => self.depth.saturating_sub(1),
                    _ => self.depth,
                };
                self.position += 1;
            }
        }
    }

    fn scan_word(&mut self) {
        let start = self.position;
        let bytes = self.text.as_bytes();
        while bytes
            .get(self.position)
            .is_some_and(|byte| continues_word(*byte))
        {
            self.position += 1;
        }
        let word = &self.text[start..self.position];
        if bytes.get(self.position) == Some(&b'\'') && word.eq_ignore_ascii_case("e") {
            return self.skip_string(true);
        }
        if !self.words_done && self.scan.words.len() < MAX_WORDS {
            self.scan.words.push(word);
        }
    }

    fn skip_line(&mut self) {
        let rest = &self.text[self.position..];
        self.position += rest.find(['\n', '\r']).unwrap_or(rest.len());
    }

    /// Scans a block comment. Block comments nest; an unterminated one extends to the end of the
    /// text.
    fn scan_comment(&mut self) {
        let start = self.position + 2;
        let bytes = self.text.as_bytes();
        let mut nested = 1;
        self.position = start;
        while nested > 0 && self.position < bytes.len() {
            match &bytes[self.position..] {
                [b'/', b'*', ..] => {
                    nested += 1;
                    self.position += 2;
                }
                [b'*', b'/', ..] => {
                    nested -= 1;
                    self.position += 2;
                }
                _ => self.position += 1,
            }
        }
        let end = if nested == 0 {
            self.position - 2
        } else {
            self.position
        };
        self.scan.trailing.push(&self.text[start..end]);
    }

    /// Skips a string. In an `E''` string a backslash escapes the next byte, also in the segments
    /// that continue the string on later lines.
    fn skip_string(&mut self, escapes: bool) {
        loop {
            self.skip_segment(escapes);
            if !escapes || !self.continues_on_next_line() {
                return;
            }
        }
    }

    fn skip_segment(&mut self, escapes: bool) {
        let bytes = self.text.as_bytes();
        self.words_done = true;
        self.position += 1;
        while self.position < bytes.len() {
            match &bytes[self.position..] {
                [b'\\', _, ..] if escapes => self.position += 2,
                [b'\'', b'\'', ..] => self.position += 2,
                [b'\'', ..] => {
                    self.position += 1;
                    return;
                }
                _ => self.position += 1,
            }
        }
        self.position = bytes.len();
    }

    /// Moves to the next quote and returns true if only whitespace with a line break, and line
    /// comments, lie between.
    fn continues_on_next_line(&mut self) -> bool {
        let start = self.position;
        let bytes = self.text.as_bytes();
        let mut line_break_seen = false;
        while self.position < bytes.len() {
            match &bytes[self.position..] {
                [b'\n' | b'\r', ..] => {
                    line_break_seen = true;
                    self.position += 1;
                }
                [byte, ..] if is_space(*byte) => self.position += 1,
                [b'-', b'-', ..] => self.skip_line(),
                [b'\'', ..] if line_break_seen => return true,
                _ => break,
            }
        }
        self.position = start;
        false
    }

    fn skip_quoted(&mut self, quote: u8) {
        let bytes = self.text.as_bytes();
        self.words_done = true;
        self.position += 1;
        while self.position < bytes.len() {
            let here = bytes[self.position];
            let next = bytes.get(self.position + 1).copied();
            self.position += 1;
            if here == quote {
                if next != Some(quote) {
                    return;
                }
                self.position += 1;
            }
        }
    }

    /// Scans a parameter, a dollar-quoted string, or a dollar sign that starts neither.
    fn scan_dollar(&mut self) {
        self.words_done = true;
        let rest = &self.text[self.position + 1..];
        let digits = rest.bytes().take_while(u8::is_ascii_digit).count();
        if digits > 0 {
            let number = rest[..digits].parse().unwrap_or(usize::MAX);
            self.scan.parameters = self.scan.parameters.max(number);
            self.position += 1 + digits;
            return;
        }
        let tag_length = rest
            .bytes()
            .enumerate()
            .take_while(|(index, byte)| match index {
                0 => starts_word(*byte),
                _ => continues_word(*byte) && *byte != b'$',
            })
            .count();
        if rest.as_bytes().get(tag_length) != Some(&b'$') {
            self.position += 1;
            return;
        }
        let tag = &self.text[self.position..self.position + tag_length + 2];
        let body = self.position + tag.len();
        self.position = match self.text[body..].find(tag) {
            Some(end) => body + end + tag.len(),
            None => self.text.len(),
        };
    }
}

fn is_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\n' | b'\r' | 0x0b | 0x0c)
}

fn starts_word(byte: u8) -> bool {
    byte.is_ascii_alphabetic() || byte == b'_' || byte >= 0x80
}

fn continues_word(byte: u8) -> bool {
    starts_word(byte) || byte.is_ascii_digit() || byte == b'$'
}
