//! Tests of the failure detector: crashed, lost, hung, slow and merely unreachable primaries.

use ragwort_control::ClockTime;
use ragwort_control::DetectorAction;
use ragwort_control::PROBE_TIMEOUT;
use ragwort_control::PrimaryDetector;
use ragwort_control::PrimaryVerdict;
use ragwort_control::ProbeOutcome;
use ragwort_control::ProbeView;
use ragwort_control::UNREACHABLE_TIMEOUT;
use ragwort_control::UNRESPONSIVE_TIMEOUT;
use ragwort_types::VmName;

/// How a primary reacts to probes, and what a standby reports, during one run.
struct PrimaryBehaviour {
    open: Option<ProbeOutcome>,
    new: Option<ProbeOutcome>,
    standby: Option<bool>,
}

/// Runs the detector in steps of 10 ms until it suspects the primary or redirects the group, and
/// returns the time and the verdict.
fn run_until_verdict(behaviour: &PrimaryBehaviour, limit_ms: u64) -> (u64, PrimaryVerdict) {
    let standby = VmName::from("vm-2");
    let mut detector =
        PrimaryDetector::new(ClockTime::from_millis(0), std::slice::from_ref(&standby));
    for millis in (10..=limit_ms).step_by(10) {
        let now = ClockTime::from_millis(millis);
        for action in detector.tick(now) {
            let (view, outcome) = match action {
                DetectorAction::ProbeOpen => (ProbeView::OpenConnection, behaviour.open),
                DetectorAction::ProbeNew => (ProbeView::NewConnection, behaviour.new),
                DetectorAction::AskStandbys => {
                    if let Some(reachable) = behaviour.standby {
                        detector.note_standby(now, &standby, reachable);
                    }
                    continue;
                }
            };
            if let Some(outcome) = outcome {
                detector.note_probe(now, view, outcome);
            }
        }
        let verdict = detector.verdict(now);
        if !matches!(verdict, PrimaryVerdict::Alive | PrimaryVerdict::Doubtful) {
            return (millis, verdict);
        }
    }
    (limit_ms, detector.verdict(ClockTime::from_millis(limit_ms)))
}

/// Runs the detector only when it is due, and every 10 ms while the primary is doubtful, until it
/// suspects the primary, which answers up to `end`. Returns the time and the number of runs up to
/// `end`.
fn run_when_due(end: ClockTime) -> (ClockTime, usize) {
    let mut detector = PrimaryDetector::new(ClockTime::default(), &[VmName::from("vm-2")]);
    let mut now = ClockTime::default();
    let mut runs = 0;
    loop {
        for action in detector.tick(now) {
            match action {
                DetectorAction::ProbeOpen if now <= end => {
                    detector.note_probe(now, ProbeView::OpenConnection, ProbeOutcome::Answered);
                }
                DetectorAction::ProbeNew => {
                    detector.note_probe(now, ProbeView::NewConnection, ProbeOutcome::Refused);
                }
                DetectorAction::ProbeOpen | DetectorAction::AskStandbys => {}
            }
        }
        runs += usize::from(now <= end);
        if matches!(detector.verdict(now), PrimaryVerdict::Suspected(_)) {
            return (now, runs);
        }
        let tick = now + std::time::Duration::from_millis(10);
        now = detector.next_probe().map_or(tick, |due| due.max(tick));
    }
}

fn millis(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap()
}

case! {
    /// The detector of an idle group runs only when a probe is due. It must not run every 10 ms, and
    /// must suspect a crashed primary as early as if it did.
    detector_that_runs_when_due_finds_a_crash_as_early {
        let end = ClockTime::from_millis(10_000);
        let (suspected, runs) = run_when_due(end);
        assert!(runs <= 101, "{runs}");
        let (after, _) = run_until_verdict(&PrimaryBehaviour {
            open: None,
            new: Some(ProbeOutcome::Refused),
            standby: None,
        }, 1_000);
        assert_eq!(millis(suspected.since(end)), after);
    }
}

case! {
    /// The primary's process crashes and its operating system refuses connections. Writes fail
    /// until it is replaced, so two refusals suffice.
    crashed_primary_is_suspected_after_two_refusals {
        let (after, verdict) = run_until_verdict(&PrimaryBehaviour {
            open: Some(ProbeOutcome::Refused),
            new: Some(ProbeOutcome::Refused),
            standby: Some(false),
        }, 5_000);
        assert!(matches!(verdict, PrimaryVerdict::Suspected(_)), "{verdict:?}");
        assert!(after <= 300, "{after}");
    }
}

case! {
    /// The primary's machine is lost, and neither this VM nor the standby gets a response.
    lost_machine_is_suspected_after_its_silence {
        let (after, verdict) = run_until_verdict(&PrimaryBehaviour {
            open: None,
            new: Some(ProbeOutcome::Silent),
            standby: Some(false),
        }, 5_000);
        let PrimaryVerdict::Suspected(grounds) = verdict else {
            panic!("{verdict:?}");
        };
        assert_eq!(grounds.agreeing.len(), 1);
        assert_eq!(after, millis(UNREACHABLE_TIMEOUT));
    }
}

case! {
    /// The primary's process hangs while its operating system continues to accept connections.
    hung_primary_is_suspected_after_a_longer_silence {
        let (after, verdict) = run_until_verdict(&PrimaryBehaviour {
            open: None,
            new: Some(ProbeOutcome::Accepted),
            standby: Some(false),
        }, 5_000);
        assert!(matches!(verdict, PrimaryVerdict::Suspected(_)), "{verdict:?}");
        assert_eq!(after, millis(UNRESPONSIVE_TIMEOUT));
    }
}

case! {
    /// A network partition separates only this VM from the primary. Replacing a primary that is
    /// reachable for others would pause every caller; instead, the standby that reaches it takes
    /// the group over.
    primary_that_a_standby_reaches_is_not_suspected {
        let (_, verdict) = run_until_verdict(&PrimaryBehaviour {
            open: None,
            new: Some(ProbeOutcome::Silent),
            standby: Some(true),
        }, 5_000);
        assert_eq!(verdict, PrimaryVerdict::ReachableFrom("vm-2".into()));
    }
}

case! {
    /// A middlebox has dropped the state of the open connections. New connections work, so only the
    /// connections must be replaced.
    silent_open_connections_are_replaced {
        let (after, verdict) = run_until_verdict(&PrimaryBehaviour {
            open: None,
            new: Some(ProbeOutcome::Answered),
            standby: Some(true),
        }, 5_000);
        assert_eq!(verdict, PrimaryVerdict::OpenConnectionsDead);
        assert!(after < 2 * millis(PROBE_TIMEOUT), "{after}");
    }
}

case! {
    /// The primary is overloaded and answers each probe 400 ms late. Replacing it would only move
    /// the load and add a pause.
    slow_primary_is_not_suspected {
        let mut detector = PrimaryDetector::new(ClockTime::from_millis(0), &[]);
        let mut answers: Vec<u64> = Vec::new();
        for millis in (10..10_000).step_by(10) {
            let now = ClockTime::from_millis(millis);
            for action in detector.tick(now) {
                match action {
                    DetectorAction::ProbeOpen => answers.push(millis + 400),
                    DetectorAction::ProbeNew => {
                        detector.note_probe(now, ProbeView::NewConnection, ProbeOutcome::Accepted);
                    }
                    DetectorAction::AskStandbys => {}
                }
            }
            if answers.contains(&millis) {
                detector.note_probe(now, ProbeView::OpenConnection, ProbeOutcome::Answered);
            }
            let verdict = detector.verdict(now);
            assert!(!matches!(verdict, PrimaryVerdict::Suspected(_)), "{millis}: {verdict:?}");
        }
    }
}

case! {
    /// The leaseholder's own process was suspended for three seconds. It must not count the answers
    /// that it missed as the primary's silence.
    own_suspension_is_not_the_primarys_silence {
        let mut detector = PrimaryDetector::new(ClockTime::from_millis(0), &[]);
        detector.tick(ClockTime::from_millis(100));
        let woken = ClockTime::from_millis(3_100);
        detector.tick(woken);
        assert_eq!(detector.verdict(woken), PrimaryVerdict::Alive);
    }
}

case! {
    /// A VM without free descriptors can't send probes. It must not suspect a primary that it never
    /// asked.
    primary_that_could_not_be_asked_is_not_suspected {
        let (_, verdict) = run_until_verdict(&PrimaryBehaviour {
            open: Some(ProbeOutcome::Untried),
            new: Some(ProbeOutcome::Untried),
            standby: None,
        }, 5_000);
        assert_eq!(verdict, PrimaryVerdict::Doubtful);
    }
}
