//! Interpreter for state charts that are defined in YAML files.
//!
//! A chart lists, for each state and event, the transitions or that the event is ignored. The code
//! implements the guards and actions that a chart names. A missing transition is found when the
//! chart is checked, rather than as a promotion that hangs when two failures coincide.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Debug;

/// The states, events, guards and actions of one chart.
pub trait ChartVocabulary: Debug {
    /// The states.
    type State: ChartName;
    /// The events.
    type Event: ChartName;
    /// The guards.
    type Guard: ChartName;
    /// The actions.
    type Action: ChartName;
}

/// A closed set of names, written in snake case in a chart.
pub trait ChartName: Copy + Debug + Ord + for<'de> Deserialize<'de> + 'static {
    /// All names of the set.
    const ALL: &'static [Self];
}

/// Defines the enum of a closed set of chart names.
macro_rules! chart_names {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident,)* }) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(rename_all = "snake_case")]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl $crate::chart::ChartName for $name {
            const ALL: &'static [Self] = &[$(Self::$variant,)*];
        }
    };
}

pub(crate) use chart_names;

/// A state chart.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, bound = "")]
pub struct StateChart<V: ChartVocabulary> {
    /// The states in which a machine may start.
    entry: Vec<V::State>,
    states: BTreeMap<V::State, StateRules<V>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, bound = "")]
struct StateRules<V: ChartVocabulary> {
    #[serde(default = "BTreeMap::new")]
    on: BTreeMap<V::Event, Vec<ChartBranch<V>>>,
    #[serde(default = "Vec::new")]
    ignore: Vec<V::Event>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, bound = "")]
struct ChartBranch<V: ChartVocabulary> {
    /// The branch is taken only if the guard holds; branches are tried in order.
    guard: Option<V::Guard>,
    /// The next state; the same state if absent.
    target: Option<V::State>,
    #[serde(default = "Vec::new")]
    actions: Vec<V::Action>,
}

/// The result of an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChartStep<V: ChartVocabulary> {
    /// The next state.
    pub target: V::State,
    /// The actions, in the order in which they must be carried out.
    pub actions: Vec<V::Action>,
}

impl<V: ChartVocabulary> StateChart<V> {
    /// Parses a chart.
    ///
    /// # Panics
    ///
    /// Panics if the text isn't a chart of this vocabulary. Charts are part of the program, and a
    /// test parses each of them.
    pub fn from_yaml(text: &str) -> Self {
        match serde_saphyr::from_str(text) {
            Ok(chart) => chart,
            Err(error) => panic!("malformed state chart: {error}"),
        }
    }

    /// Returns the result of an event; the same state and no actions if it is ignored.
    ///
    /// `holds` evaluates the guards.
    pub fn step(
        &self,
        state: V::State,
        event: V::Event,
        mut holds: impl FnMut(V::Guard) -> bool,
    ) -> ChartStep<V> {
        let rules = self.states.get(&state);
        let branches = rules.and_then(|rules| rules.on.get(&event));
        let mut branches = branches.into_iter().flatten();
        let taken = branches.find(|branch| branch.guard.is_none_or(&mut holds));
        ChartStep {
            target: taken.and_then(|branch| branch.target).unwrap_or(state),
            actions: taken.map_or(Vec::new(), |branch| branch.actions.clone()),
        }
    }

    /// Describes what the chart lacks; an empty list means that it is complete.
    ///
    /// In a complete chart, each state either handles or ignores each event, the last branch of an
    /// event has no guard, each guard and action is used, and each state is reachable.
    pub fn find_gaps(&self) -> Vec<String> {
        let mut gaps = Vec::new();
        for state in V::State::ALL {
            match self.states.get(state) {
                None => gaps.push(format!("{state:?} is missing")),
                Some(rules) => rules.find_gaps(*state, &mut gaps),
            }
        }
        self.find_unreachable(&mut gaps);
        self.find_unused(&mut gaps);
        gaps
    }

    fn branches(&self) -> impl Iterator<Item = &ChartBranch<V>> {
        self.states
            .values()
            .flat_map(|rules| rules.on.values().flatten())
    }

    fn find_unreachable(&self, gaps: &mut Vec<String>) {
        let mut reached: BTreeSet<V::State> = BTreeSet::new();
        let mut open = self.entry.clone();
        while let Some(state) = open.pop() {
            if !reached.insert(state) {
                continue;
            }
            let rules = self.states.get(&state).into_iter();
            let branches = rules.flat_map(|rules| rules.on.values().flatten());
            open.extend(branches.filter_map(|branch| branch.target));
        }
        for state in V::State::ALL {
            if !reached.contains(state) {
                gaps.push(format!("{state:?} is unreachable"));
            }
        }
    }

    fn find_unused(&self, gaps: &mut Vec<String>) {
        let guards: BTreeSet<V::Guard> =
            self.branches().filter_map(|branch| branch.guard).collect();
        for guard in V::Guard::ALL {
            if !guards.contains(guard) {
                gaps.push(format!("guard {guard:?} is unused"));
            }
        }
        let actions: BTreeSet<V::Action> = self
            .branches()
            .flat_map(|branch| branch.actions.iter().copied())
            .collect();
        for action in V::Action::ALL {
            if !actions.contains(action) {
                gaps.push(format!("action {action:?} is unused"));
            }
        }
    }
}

impl<V: ChartVocabulary> StateRules<V> {
    fn find_gaps(&self, state: V::State, gaps: &mut Vec<String>) {
        for event in V::Event::ALL {
            let ignored = self.ignore.iter().filter(|name| *name == event).count();
            match (self.on.get(event), ignored) {
                (None, 0) => gaps.push(format!("{state:?} neither handles nor ignores {event:?}")),
                (None, 1) => {}
                (Some(branches), 0) => {
                    if branches.last().is_none_or(|branch| branch.guard.is_some()) {
                        gaps.push(format!(
                            "{state:?} has no unconditional last branch for {event:?}"
                        ));
                    }
                }
                _ => gaps.push(format!("{state:?} lists {event:?} more than once")),
            }
        }
    }
}
