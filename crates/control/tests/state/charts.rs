//! Completeness checks of the state charts.

use ragwort_control::ChartName;
use ragwort_control::StateChart;
use ragwort_control::order_fence_chart;
use ragwort_control::promotion_chart;
use ragwort_control::replacement_chart;
use ragwort_control::vocabulary::ConnectionAction;
use ragwort_control::vocabulary::ConnectionEvent;
use ragwort_control::vocabulary::ConnectionGuard;
use ragwort_control::vocabulary::ConnectionState;
use ragwort_control::vocabulary::ConnectionVocabulary;
use ragwort_control::vocabulary::connection_chart;
use ragwort_control::vocabulary::drain_chart;
use ragwort_control::vocabulary::membership_chart;

case! {
    /// If a state neither handles nor ignores an event, coinciding failures leave a group without a
    /// primary, a shutdown that never ends or a connection that is never closed.
    charts_are_complete {
        let none: Vec<String> = Vec::new();
        assert_eq!(promotion_chart().find_gaps(), none);
        assert_eq!(membership_chart().find_gaps(), none);
        assert_eq!(drain_chart().find_gaps(), none);
        assert_eq!(connection_chart().find_gaps(), none);
        assert_eq!(replacement_chart().find_gaps(), none);
        assert_eq!(order_fence_chart().find_gaps(), none);
    }
}

case! {
    /// A connection whose answer is overdue must be closed. If it were returned to the pool, the
    /// late answer would reach another caller.
    connection_with_an_overdue_answer_is_closed {
        let chart = connection_chart();
        let step = chart.step(ConnectionState::Busy, ConnectionEvent::AnswerLate, |_| true);
        assert_eq!(step.target, ConnectionState::Closed);
        assert!(!step.actions.contains(&ConnectionAction::GiveBack));
        let pinned = chart.step(ConnectionState::Busy, ConnectionEvent::Answered, |guard| {
            guard == ConnectionGuard::InTransaction
        });
        assert_eq!(pinned.target, ConnectionState::Pinned);
    }
}

case! {
    /// An edited chart loses a transition, a state or an unconditional branch. The check must name
    /// what is missing, or the gap would only show as a hanging promotion.
    gaps_are_named {
        let chart: StateChart<ConnectionVocabulary> = StateChart::from_yaml(
            "entry: [idle]\nstates:\n  idle:\n    on:\n      answered:\n        - guard: retiring\n",
        );
        let gaps = chart.find_gaps();
        for expected in [
            "Idle has no unconditional last branch for Answered",
            "Idle neither handles nor ignores Lent",
            "Pinned is missing",
            "Busy is unreachable",
            "guard InTransaction is unused",
            "action Close is unused",
        ] {
            assert!(gaps.iter().any(|gap| gap == expected), "{expected}: {gaps:?}");
        }
        assert_eq!(ConnectionState::ALL.len(), 6);
    }
}
