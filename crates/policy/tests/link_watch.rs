//! Failure detection on a link: when it is probed, and when it is given up.

use ragwort_policy::ANSWER_TIME;
use ragwort_policy::ClockTime;
use ragwort_policy::LinkStep;
use ragwort_policy::LinkWatch;
use ragwort_policy::QUIET_TIME;
use std::time::Duration;

const START: ClockTime = ClockTime(1_000_000);

fn after(millis: u64) -> ClockTime {
    START + Duration::from_millis(millis)
}

/// A leaseholder's VM loses power with statements under way. Their callers must learn so within
/// half a second rather than at their deadlines.
#[test]
fn silent_link_is_asked_and_given_up() {
    let mut watch = LinkWatch::new(START);
    let mut now = START;
    let mut steps = Vec::new();
    loop {
        match watch.judge(now, START) {
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
    let lost = QUIET_TIME + ANSWER_TIME;
    assert_eq!(
        steps,
        [(LinkStep::Ask, QUIET_TIME), (LinkStep::GiveUp, lost)]
    );
    assert!(lost < Duration::from_millis(500));
}

/// A slow statement keeps a link quiet for a second, and the leaseholder answers the probes. If the
/// link were given up, the outcome of writes that run well would be unknown.
#[test]
fn link_that_answers_the_question_stays() {
    let mut watch = LinkWatch::new(START);
    let mut questions = Vec::new();
    for millis in 0..1_000 {
        match watch.judge(after(millis), START) {
            LinkStep::WaitUntil(_) => {}
            LinkStep::Ask => questions.push(millis),
            LinkStep::GiveUp => panic!("given up after {millis} ms"),
        }
        // The answer arrives after 3 ms.
        if questions.last() == Some(&millis.saturating_sub(3)) {
            watch.hear(after(millis));
        }
    }
    assert_eq!(questions, [200, 403, 606, 809]);
}

/// A link was idle for an hour. The silence before its first statement must not count against it.
#[test]
fn idle_time_is_no_silence() {
    let mut watch = LinkWatch::new(START);
    let later = START + Duration::from_secs(3_600);
    assert_eq!(
        watch.judge(later, later),
        LinkStep::WaitUntil(later + QUIET_TIME)
    );
}

/// This process itself was stopped for some seconds. The replies are in its socket's buffer, so it
/// must probe and read before it treats the link as lost.
#[test]
fn own_stop_is_no_silence_of_the_other() {
    let mut watch = LinkWatch::new(START);
    assert_eq!(watch.judge(after(9_000), START), LinkStep::Ask);
    watch.hear(after(9_001));
    let next = watch.judge(after(9_002), START);
    assert_eq!(next, LinkStep::WaitUntil(after(9_001) + QUIET_TIME));
}
