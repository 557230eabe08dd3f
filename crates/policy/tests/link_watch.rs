//! Failure detection on a link: when it is probed, and when it is given up.

use ragwort_policy::ClockTime;
use ragwort_policy::LINK_PROBE_AFTER;
use ragwort_policy::LINK_PROBE_TIMEOUT;
use ragwort_policy::LinkFailureDetector;
use ragwort_policy::LinkStep;
use std::time::Duration;

const START: ClockTime = ClockTime(1_000_000);

fn after(millis: u64) -> ClockTime {
    START + Duration::from_millis(millis)
}

/// A leaseholder's VM loses power with statements under way. Their callers must learn so within
/// half a second rather than at their deadlines.
#[test]
fn silent_link_is_probed_and_given_up() {
    let mut detector = LinkFailureDetector::new(START);
    let mut now = START;
    let mut steps = Vec::new();
    loop {
        match detector.judge(now, START) {
            LinkStep::WaitUntil(moment) => now = moment,
            step => steps.push((step, now.since(START))),
        }
        if steps
            .last()
            .is_some_and(|(step, _)| *step == LinkStep::GiveUp)
        {
            break;
        }
    }
    let lost = LINK_PROBE_AFTER + LINK_PROBE_TIMEOUT;
    assert_eq!(
        steps,
        [
            (LinkStep::Probe, LINK_PROBE_AFTER),
            (LinkStep::GiveUp, lost)
        ]
    );
    assert!(lost < Duration::from_millis(500));
}

/// A leaseholder is cut off. Calls must be held back from its link soon after the probe, long
/// before the link is given up, or each of them would be in doubt; an answer must end that.
#[test]
fn unanswered_probe_makes_a_link_suspect() {
    let mut detector = LinkFailureDetector::new(START);
    assert_eq!(detector.judge(after(200), START), LinkStep::Probe);
    assert!(!detector.is_suspect(after(249)));
    let next = detector.judge(after(201), START);
    assert_eq!(next, LinkStep::WaitUntil(after(250)));
    assert!(detector.is_suspect(after(250)));
    let next = detector.judge(after(250), START);
    assert_eq!(next, LinkStep::WaitUntil(after(450)));
    detector.note_received(after(260));
    assert!(!detector.is_suspect(after(260)));
}

/// A link has been idle for long when its other side is cut off. A probe that is sent before a
/// statement must find that out as soon as one that is sent for an unanswered statement, and
/// several statements must not send a probe each.
#[test]
fn idle_link_is_probed_before_it_is_used() {
    let mut detector = LinkFailureDetector::new(START);
    let late = after(5_000);
    assert!(detector.is_quiet_for(late, Duration::from_millis(20)));
    assert!(detector.begin_probe(late));
    assert!(!detector.begin_probe(after(5_010)));
    assert_eq!(detector.probed_at(), Some(late));
    assert!(detector.is_suspect(after(5_050)));
    assert_eq!(detector.judge(after(5_250), late), LinkStep::GiveUp);
    detector.note_received(after(5_251));
    assert!(!detector.is_quiet_for(after(5_252), Duration::from_millis(20)));
    assert_eq!(detector.probed_at(), None);
}

/// A slow statement keeps a link quiet for a second, and the leaseholder answers the probes. If the
/// link were given up, the outcome of writes that run well would be unknown.
#[test]
fn link_that_answers_probes_stays() {
    let mut detector = LinkFailureDetector::new(START);
    let mut probes = Vec::new();
    for millis in 0..1_000 {
        match detector.judge(after(millis), START) {
            LinkStep::WaitUntil(_) => {}
            LinkStep::Probe => probes.push(millis),
            LinkStep::GiveUp => panic!("given up after {millis} ms"),
        }
        // The answer arrives after 3 ms.
        if probes.last() == Some(&millis.saturating_sub(3)) {
            detector.note_received(after(millis));
        }
    }
    assert_eq!(probes, [200, 403, 606, 809]);
}

/// A link was idle for an hour. The silence before its first statement must not count against it.
#[test]
fn idle_time_is_no_silence() {
    let mut detector = LinkFailureDetector::new(START);
    let later = START + Duration::from_secs(3_600);
    assert_eq!(
        detector.judge(later, later),
        LinkStep::WaitUntil(later + LINK_PROBE_AFTER)
    );
}

/// This process itself was stopped for some seconds. The replies are in its socket's buffer, so it
/// must probe and read before it treats the link as lost.
#[test]
fn own_stop_is_no_silence_of_the_other() {
    let mut detector = LinkFailureDetector::new(START);
    assert_eq!(detector.judge(after(9_000), START), LinkStep::Probe);
    detector.note_received(after(9_001));
    let next = detector.judge(after(9_002), START);
    assert_eq!(next, LinkStep::WaitUntil(after(9_001) + LINK_PROBE_AFTER));
}
