//! Session state that is replayed on shared connections, and its cost.

use ragwort_policy::ConnectionImage;
use ragwort_policy::ReplayStep;
use ragwort_types::AccessMode;
use ragwort_types::PreparedDefinition;
use ragwort_types::SessionValues;

macro_rules! replay_cases {
    ($($(#[$doc:meta])* $name:ident $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() $body
    )*};
}

fn values(pairs: &[(&str, &str)]) -> SessionValues {
    let pairs = pairs.iter();
    pairs
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
        .collect()
}

fn definition(text: &str) -> PreparedDefinition {
    PreparedDefinition {
        access: AccessMode::Read,
        shape: text.to_owned(),
    }
}

fn set(name: &str, value: &str) -> ReplayStep {
    ReplayStep::Set {
        name: name.to_owned(),
        value: value.to_owned(),
    }
}

/// Returns a connection on which a session with these values and statements has run.
fn used(pairs: &[(&str, &str)], shapes: &[PreparedDefinition]) -> ConnectionImage {
    let mut image = ConnectionImage::default();
    for (name, value) in pairs {
        image.note_done(&set(name, value));
    }
    for definition in shapes {
        image.note_done(&ReplayStep::Prepare(definition.clone()));
    }
    image
}

replay_cases! {
    /// A session without values uses a connection after one that has set some. If the connection
    /// weren't cleared, its statement would run with the other session's values.
    foreign_values_are_cleared {
        let image = used(&[("zone", "a")], &[]);
        let steps = image.plan(&values(&[]), None);
        assert_eq!(steps.as_slice(), [ReplayStep::Reset]);
    }

    /// A session's values differ from the connection's in one value. Only that one is set.
    only_what_differs_is_set {
        let image = used(&[("zone", "a"), ("lang", "en")], &[]);
        let steps = image.plan(&values(&[("zone", "b"), ("lang", "en")]), None);
        assert_eq!(steps.as_slice(), [set("zone", "b")]);
        assert_eq!(image.cost(&values(&[("zone", "a"), ("lang", "en")]), None), 0);
    }

    /// Clearing the values also drops the prepared statements. The one that is about to run must be
    /// prepared again, or the endpoint wouldn't know it.
    clearing_drops_prepared_statements {
        let image = used(&[("zone", "a")], &[definition("q1")]);
        let steps = image.plan(&values(&[("lang", "en")]), Some(&definition("q1")));
        let expected = [ReplayStep::Reset, set("lang", "en"), ReplayStep::Prepare(definition("q1"))];
        assert_eq!(steps.as_slice(), expected);
    }

    /// Two sessions prepare the same statement under different names. The second one finds it
    /// prepared.
    prepared_statements_are_shared {
        let image = used(&[], &[definition("q1")]);
        assert_eq!(image.cost(&values(&[]), Some(&definition("q1"))), 0);
        assert_eq!(image.cost(&values(&[]), Some(&definition("q2"))), 1);
    }

    /// A transaction without an owner was left open. The next statement would run inside it.
    leftover_transaction_is_rolled_back_first {
        let mut image = used(&[("zone", "a")], &[]);
        image.set_in_transaction(true);
        let steps = image.plan(&values(&[]), None);
        assert_eq!(steps.as_slice(), [ReplayStep::Rollback, ReplayStep::Reset]);
    }

    /// Sessions prepare thousands of statements. A connection keeps a bounded number of them,
    /// because the endpoint holds them in its memory.
    prepared_statements_are_bounded {
        let mut image = ConnectionImage::default();
        for number in 0..10_000 {
            let next = definition(&format!("q{number}"));
            for step in image.plan(&values(&[]), Some(&next)) {
                image.note_done(&step);
            }
        }
        let kept = (0..10_000).filter(|number| {
            image.cost(&values(&[]), Some(&definition(&format!("q{number}")))) == 0
        });
        assert!(kept.count() <= 256);
    }

    /// The endpoint reports that it doesn't know a statement. It is prepared again before it runs.
    forgotten_statement_is_prepared_again {
        let mut image = used(&[], &[definition("q1")]);
        image.forget_prepared(&definition("q1"));
        let steps = image.plan(&values(&[]), Some(&definition("q1")));
        assert_eq!(steps.as_slice(), [ReplayStep::Prepare(definition("q1"))]);
    }
}
