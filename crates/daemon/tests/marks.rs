//! Tests of request marks, of the scan of a statement's text, and of its class.

use quickcheck::Gen;
use quickcheck::QuickCheck;
use ragwort_types::RequestMarks;
use ragwortgated::callers::MarkFault;
use ragwortgated::callers::StatementClass;
use ragwortgated::callers::StatementScan;
use ragwortgated::callers::read_marks;

const KEY: &str = "0193a3f2-7c00-7000-8000-000000000001";

fn marks_of(text: &str) -> Result<RequestMarks, MarkFault> {
    read_marks(&StatementScan::new(text))
}

#[test]
fn all_marks_are_read() {
    let text = format!(
        "/*kind='grant',key='{KEY}',deadline_ms='500',urgent='1',max_age_ms='0'*/ select 1"
    );
    let marks = marks_of(&text).unwrap();
    assert_eq!(marks.kind.unwrap().as_str(), "grant");
    assert_eq!(marks.key.unwrap().to_string(), KEY);
    assert_eq!(marks.deadline_ms, Some(500));
    assert_eq!(marks.urgent, Some(true));
    assert_eq!(marks.max_age_ms, Some(0));
}

/// Each case is a text without marks.
macro_rules! no_marks {
    ($($name:ident: $text:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(marks_of($text), Ok(RequestMarks::default()));
        }
    )*};
}

no_marks! {
    no_comment: "select 1";
    ordinary_comment: "/* all grants of today */ select 1";
    planner_hint: "/*+ SeqScan(g) */ select 1";
    tracing_comment: "select 1 /*traceparent='00-ab-01',route='%2Fcases'*/";
    comment_in_a_string: "select '/*kind=x*/'";
    comment_in_a_dollar_quote: "select $a$/*kind=x*/$a$";
    line_comment: "select 1 -- kind='grant'";
    ordinary_inner_comment: "select /* the = sign */ 1";
}

/// Each case is a text and one of its marks.
macro_rules! has_marks {
    ($($name:ident: $text:expr => $field:ident = $value:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(marks_of($text).unwrap().$field, Some($value.into()));
        }
    )*};
}

has_marks! {
    trailing_mark: "select 1 /*deadline_ms='7'*/" => deadline_ms = 7_u64;
    trailing_mark_after_semicolon: "select 1; /*deadline_ms='7'*/" => deadline_ms = 7_u64;
    second_leading_comment: "/* a */ /*kind='grant'*/ select 1" => kind = "grant";
    mark_beside_tracing: "/*route='x',kind='grant'*/ select 1" => kind = "grant";
    spaces: "/* kind = 'grant' , urgent='0' */ select 1" => urgent = false;
    encoded_value: "/*kind='means%20test'*/ select 1" => kind = "means test";
    escaped_quote: r"/*kind='o\'x'*/ select 1" => kind = "o'x";
}

/// Each case is a text with invalid marks, and a part of the error message.
macro_rules! bad_marks {
    ($($name:ident: $text:expr => $words:expr;)*) => {$(
        #[test]
        fn $name() {
            let fault = marks_of($text).unwrap_err().to_string();
            assert!(fault.contains($words), "{fault}");
        }
    )*};
}

bad_marks! {
    value_without_quotes: "/*kind=grant*/ select 1" => "expected name='value' pairs";
    value_without_end: "/*kind='grant*/ select 1" => "expected name='value' pairs";
    trailing_comma: "/*kind='grant',*/ select 1" => "expected name='value' pairs";
    missing_comma: "/*kind='grant' urgent='1'*/ select 1" => "expected name='value' pairs";
    bad_encoding: "/*kind='%zz'*/ select 1" => "expected name='value' pairs";
    misspelt_mark: "/*kind='grant',ugrent='1'*/ select 1" => "unknown mark `ugrent`";
    mark_twice: "/*kind='a',kind='b'*/ select 1" => "kind is given twice";
    mark_before_and_after: "/*kind='a'*/ select 1 /*kind='a'*/" => "kind is given twice";
    empty_kind: "/*kind=''*/ select 1" => "kind: expected";
    key_that_is_no_uuid: "/*key='7'*/ select 1" => "key: expected a UUID of version 7";
    key_without_time: "/*key='9b2d1f0e-3c64-4a8e-9a55-0c8de7a1b2c3'*/ select 1" => "key: expected";
    deadline_zero: "/*deadline_ms='0'*/ select 1" => "deadline_ms: expected";
    deadline_too_long: "/*deadline_ms='600001'*/ select 1" => "deadline_ms: expected";
    age_below_zero: "/*max_age_ms='-1'*/ select 1" => "max_age_ms: expected";
    urgent_with_words: "/*urgent='very'*/ select 1" => "urgent: expected 1 or 0";
    mark_within_the_statement: "select /*kind='grant'*/ 1" => "not within";
}

/// Each case is a text and its class.
macro_rules! class_of {
    ($($name:ident: $text:expr => $class:ident;)*) => {$(
        #[test]
        fn $name() {
            let class = StatementClass::of(&StatementScan::new($text));
            assert!(matches!(class, StatementClass::$class { .. }), "{class:?}");
        }
    )*};
}

class_of! {
    begin: "BEGIN isolation level serializable" => Begin;
    begin_after_comment: "/* x */ begin" => Begin;
    begin_in_parentheses: "(begin)" => Ordinary;
    start_of_something_else: "start replication" => Ordinary;
    end: "end;" => Commit;
    commit_without_chain: "commit and no chain" => Commit;
    abort: "abort work" => Rollback;
    rollback_work_to_savepoint: "rollback work to savepoint a" => Ordinary;
    rollback_prepared: "rollback prepared 'x'" => Unsupported;
    quoted_word_is_no_keyword: "\"begin\"" => Ordinary;
    local_setting: "set local x = 1" => Ordinary;
    nothing: " ; -- x" => Empty;
    two_statements: "select 1; select 2" => Unsupported;
    semicolon_in_parentheses: "create rule r as on insert to g do (select 1; select 2)"
        => Ordinary;
    semicolon_in_a_string: "select 'a''; b'" => Ordinary;
    semicolon_in_an_escaped_string: r"select E'\'; begin; '" => Ordinary;
    second_after_plain_backslash: r"select '\'; begin" => Unsupported;
    second_after_continued_string: "select E'a'\n'b\\''; begin" => Unsupported;
    semicolon_in_a_dollar_quote: "do $x$ begin; end $$ ; $x$" => Ordinary;
    semicolon_in_a_nested_comment: "select /* /* ; */ ; */ 1" => Ordinary;
    dollar_in_a_name: "select a$b$; begin; select a$b$" => Unsupported;
}

#[test]
fn highest_parameter_is_found() {
    assert_eq!(
        StatementScan::new("select $2, $11, '$12' -- $13").parameters,
        11
    );
}

/// The scan doesn't panic on any text: a caller's bytes must not bring down the gateway.
#[test]
fn any_text_is_scanned() {
    fn holds(pieces: Vec<usize>) -> bool {
        const PIECES: [&str; 16] = [
            "'", "\"", "$", "$a$", "/*", "*/", "--", "\n", ";", "E'", "\\", "kind='x'", "é",
            "begin", "%4", "=",
        ];
        let text: String = pieces.iter().map(|piece| PIECES[piece % 16]).collect();
        let scan = StatementScan::new(&text);
        let _ = read_marks(&scan);
        scan.has_statement || StatementClass::of(&scan) == StatementClass::Empty
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 20_261_202))
        .tests(5_000)
        .quickcheck(holds as fn(Vec<usize>) -> bool);
}
