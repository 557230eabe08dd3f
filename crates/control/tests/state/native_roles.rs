//! Tests of the choice of the primary when instances disagree.

use ragwort_control::ClockTime;
use ragwort_control::InstanceRoles;
use ragwort_control::RoleReport;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::InstanceRole;
use ragwort_types::LogPosition;

const NOW: ClockTime = ClockTime(1);

fn name(number: u64) -> InstanceName {
    InstanceName::from(format!("cases-{number}"))
}

fn report(role: InstanceRole, term: u64) -> RoleReport {
    RoleReport {
        role,
        term: GroupTerm(term),
        received: LogPosition::new(GroupTerm(term), 10),
    }
}

fn claim(roles: &mut InstanceRoles, number: u64, term: u64) {
    roles.note_announcement(NOW, &name(number), InstanceRole::Primary, false);
    roles.take_report(NOW, &name(number), report(InstanceRole::Primary, term));
}

fn primary(roles: &InstanceRoles) -> Option<(InstanceName, u64)> {
    let found = roles.primary();
    found.map(|(instance, term)| (instance.clone(), term.0))
}

case! {
    /// A partitioned former primary still claims to be the primary, and its announcements arrive by
    /// another path. Writes must go to the primary of the later term.
    later_term_decides {
        let mut roles = InstanceRoles::default();
        claim(&mut roles, 1, 3);
        claim(&mut roles, 2, 4);
        assert_eq!(primary(&roles), Some((name(2), 4)));
        roles.note_announcement(NOW, &name(1), InstanceRole::Primary, false);
        assert_eq!(primary(&roles), Some((name(2), 4)));
    }
}

case! {
    /// A new leaseholder knows the endpoints from its predecessor, and the first one that answers
    /// is a primary that was replaced while partitioned. Writes sent to it would be lost.
    predecessors_term_is_not_gone_below {
        let mut roles = InstanceRoles::new(GroupTerm(4));
        roles.add_expected(NOW, &name(1), false);
        assert!(roles.needs_report(&name(1)));
        claim(&mut roles, 1, 3);
        assert_eq!(primary(&roles), None);
        claim(&mut roles, 2, 4);
        assert_eq!(primary(&roles), Some((name(2), 4)));
    }
}

case! {
    /// An instance claims to be the primary without a known term. It may have been replaced long
    /// ago, so its data must not be considered complete.
    claim_without_a_term_counts_for_nothing {
        let mut roles = InstanceRoles::default();
        roles.note_announcement(NOW, &name(1), InstanceRole::Primary, false);
        assert_eq!(primary(&roles), None);
        assert!(roles.needs_report(&name(1)));
    }
}

case! {
    /// The primary of term 4 is gone, and that of term 3 still claims to be the primary. It lacks
    /// what was acknowledged since, so the group must have no primary.
    earlier_primary_is_not_accepted_again {
        let mut roles = InstanceRoles::default();
        claim(&mut roles, 1, 3);
        claim(&mut roles, 2, 4);
        roles.forget(&name(2));
        assert_eq!(primary(&roles), None);
    }
}

case! {
    /// The primary refuses a write: it was replaced and hasn't announced that yet. It must be asked
    /// for a report before it is used again.
    refused_write_ends_a_claim {
        let mut roles = InstanceRoles::default();
        claim(&mut roles, 1, 3);
        roles.note_refused_write(NOW, &name(1));
        assert_eq!(primary(&roles), None);
        roles.note_announcement(NOW, &name(1), InstanceRole::Primary, false);
        assert!(roles.needs_report(&name(1)));
        assert_eq!(primary(&roles), None);
    }
}
