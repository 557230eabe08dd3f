//! A scan of one statement's text for what a proxy must know and a parser needn't be asked for.
//!
//! The scan skips strings, quoted names, dollar quotes and comments by PostgreSQL's lexical rules,
//! and finds the first words, the comments, the highest parameter and whether a second statement
//! follows. The text itself is forwarded unchanged.

use smallvec::SmallVec;

/// How many words from the start the scan keeps; `create global temporary table` needs three, and
/// `rollback work and no chain` five.
const KEPT_WORDS: usize = 5;

/// What a scan found in a statement's text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementScan<'a> {
    /// The first words, as written.
    pub words: SmallVec<[&'a str; KEPT_WORDS]>,
    /// The insides of block comments before the statement.
    pub leading: SmallVec<[&'a str; 1]>,
    /// The insides of block comments within the statement.
    pub inner: SmallVec<[&'a str; 1]>,
    /// The insides of block comments after the statement.
    pub trailing: SmallVec<[&'a str; 1]>,
    /// The highest `$n`, zero if none.
    pub parameters: usize,
    /// Whether there is anything but spaces, comments and semicolons.
    pub has_statement: bool,
    /// Whether another statement follows after a semicolon.
    pub has_second: bool,
}

impl<'a> StatementScan<'a> {
    /// Scans a text.
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
    /// assert!(!scan.has_second);
    /// ```
    pub fn new(text: &'a str) -> Self {
        let mut scanner = Scanner {
            text,
            place: 0,
            depth: 0,
            ended: false,
            words_done: false,
            scan: StatementScan::default(),
        };
        while scanner.place < text.len() {
            scanner.step();
        }
        scanner.scan
    }

    /// Returns a kept word in lower case, or nothing.
    pub fn word(&self, index: usize) -> String {
        self.words
            .get(index)
            .map(|word| word.to_ascii_lowercase())
            .unwrap_or_default()
    }
}

struct Scanner<'a> {
    text: &'a str,
    place: usize,
    depth: usize,
    ended: bool,
    words_done: bool,
    scan: StatementScan<'a>,
}

impl<'a> Scanner<'a> {
    fn step(&mut self) {
        let rest = &self.text.as_bytes()[self.place..];
        match rest {
            [byte, ..] if is_space(*byte) => self.place += 1,
            [b'-', b'-', ..] => self.skip_line(),
            [b'/', b'*', ..] => self.take_comment(),
            [b';', ..] if self.depth == 0 => {
                self.ended = self.scan.has_statement;
                self.place += 1;
            }
            [byte, ..] => {
                self.note_token();
                self.take_token(*byte);
            }
            [] => {}
        }
    }

    /// Notes that a token starts here: comments so far lie before or within the statement.
    fn note_token(&mut self) {
        self.scan.has_second |= self.ended;
        let comments = std::mem::take(&mut self.scan.trailing);
        if self.scan.has_statement {
            self.scan.inner.extend(comments);
        } else {
            self.scan.leading = comments;
        }
        self.scan.has_statement = true;
    }

    fn take_token(&mut self, byte: u8) {
        match byte {
            b'\'' => self.skip_string(false),
            b'"' => self.skip_quoted(b'"'),
            b'$' => self.take_dollar(),
            byte if starts_word(byte) => self.take_word(),
            byte => {
                self.words_done = true;
                self.depth = match byte {
                    b'(' => self.depth + 1,
                    b')' => self.depth.saturating_sub(1),
                    _ => self.depth,
                };
                self.place += 1;
            }
        }
    }

    fn take_word(&mut self) {
        let start = self.place;
        let bytes = self.text.as_bytes();
        while bytes
            .get(self.place)
            .is_some_and(|byte| continues_word(*byte))
        {
            self.place += 1;
        }
        let word = &self.text[start..self.place];
        if bytes.get(self.place) == Some(&b'\'') && word.eq_ignore_ascii_case("e") {
            return self.skip_string(true);
        }
        if !self.words_done && self.scan.words.len() < KEPT_WORDS {
            self.scan.words.push(word);
        }
    }

    fn skip_line(&mut self) {
        let rest = &self.text[self.place..];
        self.place += rest.find(['\n', '\r']).unwrap_or(rest.len());
    }

    /// Takes a block comment; they nest. One that doesn't end reaches to the end of the text.
    fn take_comment(&mut self) {
        let start = self.place + 2;
        let bytes = self.text.as_bytes();
        let mut nested = 1;
        self.place = start;
        while nested > 0 && self.place < bytes.len() {
            match &bytes[self.place..] {
                [b'/', b'*', ..] => {
                    nested += 1;
                    self.place += 2;
                }
                [b'*', b'/', ..] => {
                    nested -= 1;
                    self.place += 2;
                }
                _ => self.place += 1,
            }
        }
        let end = if nested == 0 {
            self.place - 2
        } else {
            self.place
        };
        self.scan.trailing.push(&self.text[start..end]);
    }

    /// Skips a string; in the `E''` form a backslash takes the next byte with it, and the form
    /// holds for segments that continue the string on further lines.
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
        self.place += 1;
        while self.place < bytes.len() {
            match &bytes[self.place..] {
                [b'\\', _, ..] if escapes => self.place += 2,
                [b'\'', b'\'', ..] => self.place += 2,
                [b'\'', ..] => {
                    self.place += 1;
                    return;
                }
                _ => self.place += 1,
            }
        }
        self.place = bytes.len();
    }

    /// Goes to the next quote if only spaces with a line break and line comments lie between.
    fn continues_on_next_line(&mut self) -> bool {
        let start = self.place;
        let bytes = self.text.as_bytes();
        let mut broken = false;
        while self.place < bytes.len() {
            match &bytes[self.place..] {
                [b'\n' | b'\r', ..] => {
                    broken = true;
                    self.place += 1;
                }
                [byte, ..] if is_space(*byte) => self.place += 1,
                [b'-', b'-', ..] => self.skip_line(),
                [b'\'', ..] if broken => return true,
                _ => break,
            }
        }
        self.place = start;
        false
    }

    fn skip_quoted(&mut self, quote: u8) {
        let bytes = self.text.as_bytes();
        self.words_done = true;
        self.place += 1;
        while self.place < bytes.len() {
            let here = bytes[self.place];
            let next = bytes.get(self.place + 1).copied();
            self.place += 1;
            if here == quote {
                if next != Some(quote) {
                    return;
                }
                self.place += 1;
            }
        }
    }

    /// Takes what a dollar sign starts: a parameter, a dollar-quoted string or a stray sign.
    fn take_dollar(&mut self) {
        self.words_done = true;
        let rest = &self.text[self.place + 1..];
        let digits = rest.bytes().take_while(u8::is_ascii_digit).count();
        if digits > 0 {
            let number = rest[..digits].parse().unwrap_or(usize::MAX);
            self.scan.parameters = self.scan.parameters.max(number);
            self.place += 1 + digits;
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
            self.place += 1;
            return;
        }
        let tag = &self.text[self.place..self.place + tag_length + 2];
        let body = self.place + tag.len();
        self.place = match self.text[body..].find(tag) {
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
