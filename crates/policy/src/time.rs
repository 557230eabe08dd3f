//! Spans of time as numbers.

use std::time::Duration;

/// Returns a span as whole microseconds.
pub(crate) fn to_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
