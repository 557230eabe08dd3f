//! Conversion of time spans.

use std::time::Duration;

/// Returns a span in whole microseconds, saturating at [`u64::MAX`].
pub(crate) fn to_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
