//! Number, timing and content of the batches in which announcements are relayed to a VM.

use ragwort_policy::AnnouncementBatches;
use ragwort_policy::AnnouncementTicket;
use ragwort_policy::ClockTime;
use ragwort_policy::GATHER_TIME;
use ragwort_policy::MAX_BATCHED_ANNOUNCEMENTS;
use ragwort_policy::MAX_WAITING_ANNOUNCEMENTS;
use ragwort_policy::WaitingAnnouncement;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceRole;
use ragwort_types::InstanceStatus;
use ragwort_types::LogPosition;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// The interval between two announcements of an endpoint, in milliseconds.
const INTERVAL_MS: u64 = 1_200;

macro_rules! load_cases {
    ($($(#[$doc:meta])* $name:ident => $case:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            $case;
        }
    )*};
}

load_cases! {
    /// Each of the announcements of 120 endpoints was a call of its own.
    repeated_announcements_share_calls => repeated_case();
    /// An endpoint that was leaving got work while its announcement waited for others.
    urgent_announcement_is_sent_at_once => urgent_case();
    /// A slow VM got more calls the slower it was.
    one_batch_is_sent_at_a_time => turn_case();
    /// Announcements to a silent VM filled the memory.
    silent_vm_has_a_bounded_queue => silent_case();
    /// A change was lost among repetitions that filled the queue to a silent VM.
    urgent_announcement_replaces_a_repetition => full_case();
    /// A batch that had grown behind a slow call took longer than the time limit of the next one.
    large_queue_is_split => split_case();
    /// An endpoint that was leaving counted as present after its earlier announcement arrived last.
    endpoint_is_sent_in_its_last_state => latest_case();
    /// A repetition made the leaseholder wait for the change that it replaced in the queue.
    replaced_change_stays_urgent => replaced_case();
}

fn announce(endpoint: usize, sequence: u64) -> Arc<EndpointAnnouncement> {
    Arc::new(EndpointAnnouncement {
        group: "cases".into(),
        instance: format!("cases-{endpoint}").into(),
        domain: "north".into(),
        data_address: "127.0.0.1:1".parse().unwrap(),
        agent_address: "127.0.0.1:1".parse().unwrap(),
        slots: 2,
        connections: 16,
        status: InstanceStatus {
            role: InstanceRole::Replica,
            fenced_term: GroupTerm(0),
            position: LogPosition::new(GroupTerm(1), sequence),
            leaving: false,
        },
        started_ms: 1,
        sequence,
    })
}

fn millis(moment: u64) -> ClockTime {
    ClockTime::from_millis(moment)
}

/// Creates an announcement whose ticket has the number of its endpoint.
fn wait_for(endpoint: usize, urgent: bool) -> WaitingAnnouncement {
    WaitingAnnouncement {
        ticket: AnnouncementTicket(u64::try_from(endpoint).unwrap()),
        announcement: announce(endpoint, 1),
        urgent,
    }
}

fn list_tickets(batch: &[WaitingAnnouncement]) -> Vec<u64> {
    batch.iter().map(|one| one.ticket.0).collect()
}

fn repeated_case() {
    let mut batches = AnnouncementBatches::new();
    let (mut added, mut sent, mut calls) = (0, 0, 0);
    for moment in 1..=60_000 {
        let now = millis(moment);
        // 120 endpoints whose announcements are spread evenly.
        if moment % (INTERVAL_MS / 120) == 0 {
            assert_eq!(batches.add(now, wait_for(added % 120, false)), None);
            added += 1;
        }
        let due = batches.due_at();
        assert!(due.is_none_or(|due| due <= now + GATHER_TIME));
        let batch = batches.take_due(now);
        if !batch.is_empty() {
            sent += batch.len();
            calls += 1;
            batches.end_batch();
        }
    }
    assert!(sent + 120 > added, "{sent} of {added}");
    assert!(calls * 10 <= added, "{calls} calls for {added}");
}

fn urgent_case() {
    let mut batches = AnnouncementBatches::new();
    batches.add(millis(1_000), wait_for(1, false));
    assert!(batches.take_due(millis(1_001)).is_empty());
    batches.add(millis(1_002), wait_for(2, true));
    let batch = batches.take_due(millis(1_002));
    assert_eq!(list_tickets(&batch), [1, 2]);
}

fn turn_case() {
    let mut batches = AnnouncementBatches::new();
    batches.add(millis(1_000), wait_for(1, true));
    assert_eq!(batches.take_due(millis(1_000)).len(), 1);
    for endpoint in 2..=60 {
        batches.add(millis(1_010), wait_for(endpoint, true));
        assert_eq!(batches.due_at(), None);
        assert!(batches.take_due(millis(1_700)).is_empty());
    }
    assert!(!batches.is_idle());
    batches.end_batch();
    assert_eq!(batches.take_due(millis(1_700)).len(), 59);
    batches.end_batch();
    assert!(batches.is_idle());
}

fn silent_case() {
    let mut batches = AnnouncementBatches::new();
    batches.add(millis(1_000), wait_for(0, true));
    assert_eq!(batches.take_due(millis(1_000)).len(), 1);
    let mut kept = BTreeSet::new();
    for endpoint in 1..=10 * MAX_WAITING_ANNOUNCEMENTS {
        let added = wait_for(endpoint, endpoint % 3 == 0);
        kept.insert(added.ticket.0);
        if let Some(unsent) = batches.add(millis(1_001), added) {
            assert!(kept.remove(&unsent.0));
        }
        assert!(kept.len() <= MAX_WAITING_ANNOUNCEMENTS);
    }
    batches.end_batch();
    let mut sent = BTreeSet::new();
    while batches.due_at().is_some() {
        sent.extend(list_tickets(&batches.take_due(millis(2_000))));
        batches.end_batch();
    }
    assert_eq!(sent, kept);
}

fn full_case() {
    let mut batches = AnnouncementBatches::new();
    let now = millis(1_000);
    for endpoint in 0..MAX_WAITING_ANNOUNCEMENTS {
        assert_eq!(batches.add(now, wait_for(endpoint, false)), None);
    }
    let refused = batches.add(now, wait_for(5_000, false));
    assert_eq!(refused, Some(AnnouncementTicket(5_000)));
    let replaced = batches.add(now, wait_for(6_000, true));
    assert_eq!(replaced, Some(AnnouncementTicket(0)));
    assert_eq!(list_tickets(&batches.take_due(now))[0], 6_000);
}

fn split_case() {
    let mut batches = AnnouncementBatches::new();
    let now = millis(1_000);
    let count = 2 * MAX_BATCHED_ANNOUNCEMENTS;
    for endpoint in 0..count {
        batches.add(now, wait_for(endpoint, endpoint == count - 1));
    }
    let first = batches.take_due(now);
    assert_eq!(first.len(), MAX_BATCHED_ANNOUNCEMENTS);
    assert!(first[0].urgent);
    batches.end_batch();
    let second = batches.take_due(now);
    assert_eq!(second.len(), MAX_BATCHED_ANNOUNCEMENTS);
}

fn latest_case() {
    let mut batches = AnnouncementBatches::new();
    let add = |batches: &mut AnnouncementBatches, ticket, sequence| {
        let added = WaitingAnnouncement {
            ticket: AnnouncementTicket(ticket),
            announcement: announce(1, sequence),
            urgent: false,
        };
        batches.add(millis(1_000), added)
    };
    assert_eq!(add(&mut batches, 1, 7), None);
    assert_eq!(add(&mut batches, 2, 8), Some(AnnouncementTicket(1)));
    assert_eq!(add(&mut batches, 3, 6), Some(AnnouncementTicket(3)));
    let batch = batches.take_due(millis(1_000) + GATHER_TIME);
    assert_eq!(list_tickets(&batch), [2]);
    assert_eq!(batch[0].announcement.sequence, 8);
}

fn replaced_case() {
    let mut batches = AnnouncementBatches::new();
    batches.add(millis(1_000), wait_for(1, true));
    batches.take_due(millis(1_000));
    batches.add(millis(1_001), wait_for(2, true));
    batches.add(millis(1_002), wait_for(2, false));
    batches.end_batch();
    let now = millis(1_002) + Duration::from_millis(1);
    assert_eq!(batches.take_due(now).len(), 1);
}
