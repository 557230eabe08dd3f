//! The customer contract of the load tools: request kinds, their deadlines and limits.

use ragwort_types::AccessMode;
use ragwort_types::CallerRule;
use ragwort_types::CustomerContract;
use ragwort_types::CustomerName;
use ragwort_types::GroupName;
use ragwort_types::KindTerms;
use ragwort_types::LengthClass;
use ragwort_types::RepeatRule;
use ragwort_types::UrgencyClass;
use std::collections::BTreeMap;

/// The kind of urgent writes that must not be repeated.
pub const URGENT_KIND: &str = "urgent_issue";
/// The kind of ordinary writes that must not be repeated.
pub const GRANT_KIND: &str = "grant";
/// The kind of idempotent writes.
pub const UPDATE_KIND: &str = "update";
/// The kind of reads that accept data of [`STATUS_AGE_MS`].
pub const STATUS_KIND: &str = "status";
/// The kind of reads that accept no stale data.
pub const FRESH_KIND: &str = "fresh";
/// The kind of long-running reads.
pub const REPORT_KIND: &str = "report";

/// The maximum age of the data that a status read accepts, in milliseconds.
pub const STATUS_AGE_MS: u64 = 2_000;

/// Builds a customer's contract with all kinds above; [`GRANT_KIND`] is the default kind.
pub fn build_contract(customer: CustomerName, groups: Vec<GroupName>) -> CustomerContract {
    let read = KindTerms {
        access: AccessMode::Read,
        repeat: RepeatRule::Idempotent,
        urgency: UrgencyClass::Ordinary,
        length: LengthClass::Short,
        max_age_ms: 0,
        deadline_ms: 1_000,
        target_ms: None,
        priority: None,
    };
    let write = KindTerms {
        access: AccessMode::Write,
        repeat: RepeatRule::Never,
        ..read
    };
    let kinds = [
        (
            URGENT_KIND,
            KindTerms {
                urgency: UrgencyClass::Urgent,
                deadline_ms: 500,
                ..write
            },
        ),
        (GRANT_KIND, write),
        (
            UPDATE_KIND,
            KindTerms {
                repeat: RepeatRule::Idempotent,
                ..write
            },
        ),
        (
            STATUS_KIND,
            KindTerms {
                max_age_ms: STATUS_AGE_MS,
                ..read
            },
        ),
        (FRESH_KIND, read),
        (
            REPORT_KIND,
            KindTerms {
                length: LengthClass::Long,
                max_age_ms: 5_000,
                deadline_ms: 5_000,
                ..read
            },
        ),
    ];
    let kinds: BTreeMap<_, _> = kinds
        .into_iter()
        .map(|(name, terms)| (name.into(), terms))
        .collect();
    CustomerContract {
        customer,
        groups,
        kinds,
        default_kind: GRANT_KIND.into(),
        slot_share: 1,
        connection_limit: 4,
        queue_limit: 64,
        session_limit: 512,
        callers: CallerRule::default(),
        share_group: None,
    }
}
