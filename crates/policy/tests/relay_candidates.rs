//! Candidates of a cut-off gateway: how soon a working one is found, how evenly the working ones
//! are used, and what happens when they fail.

use ragwort_policy::ClockTime;
use ragwort_policy::MAX_RELAY_CANDIDATES;
use ragwort_policy::MAX_RELAY_TRIES;
use ragwort_policy::OwnLease;
use ragwort_policy::RelayCandidates;
use ragwort_policy::RelayChange;
use ragwort_policy::RelayOutcome;
use ragwort_policy::RelaySearch;
use ragwort_policy::RelayStep;
use ragwort_policy::WANTED_RELAYS;
use ragwort_types::DomainName;
use ragwort_types::GroupName;
use ragwort_types::VmName;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

const GATEWAYS: usize = 63;

/// A deadline that no case comes near.
const LATE: ClockTime = ClockTime(u64::MAX);

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(10_000 + millis)
}

fn vm(index: usize) -> VmName {
    VmName::from(format!("gateway-{index}"))
}

fn domain(index: usize) -> DomainName {
    DomainName::from(["north", "east", "south"][index % 3])
}

fn led() -> GroupName {
    GroupName::from("led")
}

/// Creates the state of a gateway among [`GATEWAYS`].
fn create_state(own: usize) -> RelayCandidates {
    let mut state = RelayCandidates::new(vm(own), domain(own));
    let gateways: Vec<_> = (0..GATEWAYS)
        .map(|index| (vm(index), domain(index)))
        .collect();
    state.set_candidates(gateways.iter().map(|(vm, domain)| (vm, domain)));
    state
}

fn search(group: &GroupName) -> RelaySearch {
    RelaySearch::new(group.clone(), LATE, false)
}

/// Runs one statement at one moment; returns the candidates that it was sent to and its last step.
fn run(
    state: &mut RelayCandidates,
    now: ClockTime,
    group: &GroupName,
    outcome: impl Fn(&VmName) -> RelayOutcome,
) -> (Vec<VmName>, Result<VmName, RelayStep>) {
    let mut search = search(group);
    let mut tried = Vec::new();
    loop {
        let vm = match state.next_step(now, OwnLease::Ended, &mut search) {
            RelayStep::Try(vm) | RelayStep::TryIfConnected(vm) => vm,
            step => return (tried, Err(step)),
        };
        tried.push(vm.clone());
        let outcome = outcome(&vm);
        state.note_outcome(now, &vm, &mut search, outcome);
        if outcome == RelayOutcome::Forwarded {
            return (tried, Ok(vm));
        }
    }
}

fn no_lease(_: &VmName) -> RelayOutcome {
    RelayOutcome::NoLease
}

fn forwarded(_: &VmName) -> RelayOutcome {
    RelayOutcome::Forwarded
}

/// A statement of the simulated load.
struct Statement {
    gateway: usize,
    search: RelaySearch,
}

/// The result of the simulated load.
struct LoadResult {
    refused: usize,
    statements: usize,
    /// The greatest number of candidates that any gateway asked until one worked.
    most_asked: usize,
    /// When the last gateway found a working candidate, in milliseconds.
    all_found: u64,
    /// The number of statements that each working gateway forwarded in the second half.
    forwarded: BTreeMap<VmName, usize>,
}

/// Cuts off two thirds of the gateways at once and runs a statement every `interval` milliseconds
/// on each for four seconds. A candidate that is cut off too refuses after 6 ms; one that works
/// answers after 30 ms. Every other statement may be repeated.
fn simulate_load(interval: u64) -> LoadResult {
    // 20 of 21 gateways of one failure domain, 15 and 7 of the others.
    let is_cut = |index: &usize| index / 3 < [20, 15, 7][index % 3];
    let cut: BTreeSet<usize> = (0..GATEWAYS).filter(is_cut).collect();
    let mut states: BTreeMap<usize, RelayCandidates> =
        cut.iter().map(|own| (*own, create_state(*own))).collect();
    let cut_vms: BTreeSet<VmName> = cut.iter().map(|index| vm(*index)).collect();
    let mut result = LoadResult {
        refused: 0,
        statements: 0,
        most_asked: 0,
        all_found: 0,
        forwarded: BTreeMap::new(),
    };
    let mut asked = [0; GATEWAYS];
    let mut found = [false; GATEWAYS];
    let mut due: BTreeMap<u64, Vec<(VmName, Statement)>> = BTreeMap::new();
    for millis in 0..4_000 {
        let now = at(millis);
        let mut ready: Vec<Statement> = Vec::new();
        for (vm, mut statement) in due.remove(&millis).unwrap_or_default() {
            let state = states.get_mut(&statement.gateway).unwrap();
            let outcome = match cut_vms.contains(&vm) {
                true => RelayOutcome::NoLease,
                false => RelayOutcome::Forwarded,
            };
            state.note_outcome(now, &vm, &mut statement.search, outcome);
            if outcome == RelayOutcome::NoLease {
                ready.push(statement);
                continue;
            }
            if !found[statement.gateway] {
                found[statement.gateway] = true;
                result.most_asked = result.most_asked.max(asked[statement.gateway]);
                result.all_found = millis;
            }
            if millis >= 2_000 {
                *result.forwarded.entry(vm).or_default() += 1;
            }
        }
        if millis.is_multiple_of(interval) {
            let deadline = now + Duration::from_secs(1);
            ready.extend(cut.iter().map(|gateway| Statement {
                gateway: *gateway,
                search: RelaySearch::new(led(), deadline, (millis / interval).is_multiple_of(2)),
            }));
            result.statements += cut.len();
        }
        for mut statement in ready {
            let state = states.get_mut(&statement.gateway).unwrap();
            match state.next_step(now, OwnLease::Ended, &mut statement.search) {
                RelayStep::Try(vm) | RelayStep::TryIfConnected(vm) => {
                    if !found[statement.gateway] {
                        asked[statement.gateway] += 1;
                    }
                    let takes = if cut_vms.contains(&vm) { 6 } else { 30 };
                    due.entry(millis + takes).or_default().push((vm, statement));
                }
                RelayStep::NoLease | RelayStep::NoLeaseholder => result.refused += 1,
            }
        }
    }
    assert!(cut.iter().all(|gateway| found[*gateway]));
    result
}

/// Two thirds of 63 gateways are cut off at once, with 350 or 16 statements a second each. Each
/// must find a working candidate within the time of a few statements, none of its statements be
/// refused, and the 21 working gateways share the load of 42: if all used the same few, these would
/// harm their own callers.
#[test]
fn cut_off_gateways_find_working_ones_and_spread_over_them() {
    for (interval, most_asked, all_found) in [(3, 48, 100), (60, 16, 120)] {
        let result = simulate_load(interval);
        println!(
            "refused {} of {}, asked at most {}, all found after {} ms, forwarded {:?}",
            result.refused,
            result.statements,
            result.most_asked,
            result.all_found,
            result.forwarded.values().collect::<Vec<_>>(),
        );
        assert_eq!(result.refused, 0);
        assert!(result.most_asked <= most_asked, "{}", result.most_asked);
        assert!(result.all_found <= all_found, "{}", result.all_found);
        let mean = result.forwarded.values().sum::<usize>() / 21;
        let most = *result.forwarded.values().max().unwrap();
        assert_eq!(result.forwarded.len(), 21);
        assert!(most <= mean * 2, "{most} against a mean of {mean}");
    }
}

/// Several statements arrive while the first one awaits its reply. If all asked the same candidate,
/// they would learn nothing more than the first one.
#[test]
fn concurrent_statements_ask_different_candidates() {
    let mut state = create_state(0);
    let chosen: BTreeSet<_> = (0..10)
        .map(|_| state.next_step(at(0), OwnLease::Ended, &mut search(&led())))
        .map(|step| match step {
            RelayStep::Try(vm) => vm,
            step => panic!("{step:?}"),
        })
        .collect();
    assert_eq!(chosen.len(), 10);
}

/// One statement finds a working candidate while another one's first candidate has no lease. The
/// second must use what the first has learned, not go on through the untried ones.
#[test]
fn statement_uses_the_candidate_that_another_one_found() {
    let mut state = create_state(0);
    let (mut first, mut second) = (search(&led()), search(&led()));
    let next = |state: &mut RelayCandidates, search: &mut RelaySearch| match state.next_step(
        at(0),
        OwnLease::Ended,
        search,
    ) {
        RelayStep::Try(vm) => vm,
        step => panic!("{step:?}"),
    };
    let found = next(&mut state, &mut first);
    let useless = next(&mut state, &mut second);
    let change = state.note_outcome(at(6), &found, &mut first, RelayOutcome::Forwarded);
    assert_eq!(change, Some(RelayChange::Found { failed: 0 }));
    state.note_outcome(at(6), &useless, &mut second, RelayOutcome::NoLease);
    assert_eq!(next(&mut state, &mut second), found);
}

/// Only the gateways of the own failure domain are cut off. The first candidate must be one of
/// another domain, and all domains be tried in turn.
#[test]
fn own_domain_that_is_cut_off_costs_no_attempt() {
    for own in 0..GATEWAYS {
        let mut state = create_state(own);
        let (tried, last) = run(&mut state, at(0), &led(), forwarded);
        let used = last.unwrap();
        let index: usize = used
            .as_str()
            .trim_start_matches("gateway-")
            .parse()
            .unwrap();
        assert_ne!(domain(index), domain(own));
        assert_eq!(tried.len(), 1);
        let upcoming = state.upcoming(OwnLease::Ended);
        let domains: BTreeSet<_> = upcoming[..3]
            .iter()
            .map(|vm| vm.as_str().trim_start_matches("gateway-").parse().unwrap())
            .map(domain)
            .collect();
        assert_eq!(domains.len(), 3);
    }
}

/// The working candidate is cut off in turn, and the ones after it, until half of all are gone.
/// Each statement must go on to the next one; none is refused while one is untried.
#[test]
fn next_candidate_is_used_when_the_chosen_one_is_cut_off() {
    let mut state = create_state(0);
    let mut lost = BTreeSet::new();
    for round in 0..GATEWAYS / 2 {
        let outcome = |vm: &VmName| match lost.contains(vm) {
            true => RelayOutcome::Unreachable,
            false => RelayOutcome::Forwarded,
        };
        let (tried, used) = run(&mut state, at(round as u64), &led(), outcome);
        assert!(tried.len() <= 2, "{tried:?}");
        assert!(!state.is_isolated(at(round as u64)));
        lost.insert(used.unwrap());
    }
}

/// All candidates fail; after the next outage one is found and lost again. Operators must learn of
/// each change once, however many statements notice it.
#[test]
fn changes_are_reported_once() {
    let mut state = create_state(0);
    let mut change = Vec::new();
    for millis in 0..200 {
        let mut search = search(&led());
        while let RelayStep::Try(vm) = state.next_step(at(millis), OwnLease::Ended, &mut search) {
            let outcome = RelayOutcome::Unreachable;
            change.extend(state.note_outcome(at(millis), &vm, &mut search, outcome));
        }
    }
    assert_eq!(change, [RelayChange::NoneLeft { failed: 62 }]);
    state.forget();
    change.clear();
    for outcome in [RelayOutcome::Forwarded, RelayOutcome::Unreachable] {
        for _ in 0..5 {
            let mut search = search(&led());
            let RelayStep::Try(vm) = state.next_step(at(300), OwnLease::Ended, &mut search) else {
                panic!("no candidate");
            };
            change.extend(state.note_outcome(at(300), &vm, &mut search, outcome));
        }
    }
    let found = RelayChange::Found { failed: 0 };
    assert_eq!(change, [found, RelayChange::Lost { failed: 1 }]);
}

/// A lost reply ends dozens of statements at one moment. They must not lengthen the pause of the
/// candidate as often, or a short break would rule it out for seconds.
#[test]
fn statements_lost_together_count_once() {
    let mut state = RelayCandidates::new(vm(0), domain(0));
    let (only, north) = (vm(1), domain(0));
    state.set_candidates([(&only, &north)].into_iter());
    let mut searches: Vec<_> = (0..50).map(|_| search(&led())).collect();
    for search in &mut searches {
        let step = state.next_step(at(0), OwnLease::Ended, search);
        assert_eq!(step, RelayStep::Try(only.clone()));
    }
    for search in &mut searches {
        state.note_outcome(at(450), &only, search, RelayOutcome::Unreachable);
    }
    let (_, early) = run(&mut state, at(649), &led(), forwarded);
    assert_eq!(early, Err(RelayStep::NoLease));
    let (_, used) = run(&mut state, at(650), &led(), forwarded);
    assert_eq!(used, Ok(only));
}

/// Control is lost to all gateways. Each candidate may be asked once; after that only a few are
/// asked each second, or the requests would hinder the recovery of all. Sessions are refused
/// meanwhile, and sent away after a while.
#[test]
fn total_loss_adds_little_traffic() {
    let mut state = create_state(0);
    let mut asked = 0;
    let mut asked_in_first_second = 0;
    for millis in 0..11_000 {
        let (tried, last) = run(&mut state, at(millis), &led(), no_lease);
        assert_eq!(last, Err(RelayStep::NoLease));
        assert!(tried.len() <= MAX_RELAY_TRIES);
        asked += tried.len();
        if millis == 1_000 {
            asked_in_first_second = asked;
        }
        if millis >= 100 {
            assert!(state.is_isolated(at(millis)));
        }
    }
    assert!(asked_in_first_second <= 62 + 9, "{asked_in_first_second}");
    let later = asked - asked_in_first_second;
    assert!(later <= 80, "{later} in ten seconds");
    assert!(state.is_isolated_for(at(11_000), Duration::from_secs(10)));
}

/// All candidates had failed; then a third of them get a lease again. One of them must be found
/// soon, and no callers be refused after that.
#[test]
fn returning_candidates_are_found() {
    let mut state = create_state(0);
    for millis in 0..3_000 {
        run(&mut state, at(millis), &led(), no_lease).1.unwrap_err();
    }
    let some = |vm: &VmName| match vm.as_str().len() == "gateway-1".len() {
        true => RelayOutcome::Forwarded,
        false => RelayOutcome::NoLease,
    };
    let found = (3_000..).find(|millis| run(&mut state, at(*millis), &led(), some).1.is_ok());
    let found = found.unwrap();
    assert!(found < 7_000, "after {found} ms");
    assert!(!state.is_isolated(at(found)));
    assert_eq!(run(&mut state, at(found), &led(), some).0.len(), 1);
}

/// One group has lost its leaseholder. Its statements must pause after few attempts, the others go
/// on through the same candidates, and none of this may count as isolation.
#[test]
fn group_without_a_leaseholder_pauses_alone() {
    let mut state = create_state(0);
    let lost = GroupName::from("lost");
    run(&mut state, at(0), &led(), forwarded).1.unwrap();
    let mut asked = 0;
    for millis in 1..1_000 {
        let no_leaseholder = |_: &VmName| RelayOutcome::NoLeaseholder;
        let (tried, last) = run(&mut state, at(millis), &lost, no_leaseholder);
        asked += tried.len();
        assert_eq!(last, Err(RelayStep::NoLeaseholder));
        assert_eq!(run(&mut state, at(millis), &led(), forwarded).0.len(), 1);
        assert!(!state.is_isolated(at(millis)));
    }
    // As many as when three candidates were asked after each pause of 200 ms.
    assert!(asked <= 15, "{asked}");
}

/// Two thirds of the gateways were cut off a moment ago and don't know it yet: they answer that the
/// group has no leaseholder. While the own heartbeats go unanswered, more of them are asked before
/// the group pauses.
#[test]
fn more_candidates_are_asked_while_the_lease_is_in_doubt() {
    let count = |lease| {
        let mut state = create_state(0);
        let mut search = search(&led());
        let mut asked = 0;
        while let RelayStep::Try(vm) = state.next_step(at(0), lease, &mut search) {
            state.note_outcome(at(0), &vm, &mut search, RelayOutcome::NoLeaseholder);
            asked += 1;
        }
        asked
    };
    assert_eq!(count(OwnLease::Held), 3);
    assert_eq!(count(OwnLease::InDoubt), 6);
    assert_eq!(count(OwnLease::Ended), 3);
}

/// A statement whose deadline is near must be refused in time rather than sent to one candidate
/// after the other.
#[test]
fn deadline_ends_a_search() {
    let mut state = create_state(0);
    let mut search = RelaySearch::new(led(), at(20), false);
    let RelayStep::Try(first) = state.next_step(at(0), OwnLease::Ended, &mut search) else {
        panic!("no candidate");
    };
    state.note_outcome(at(15), &first, &mut search, RelayOutcome::NoLease);
    let step = state.next_step(at(15), OwnLease::Ended, &mut search);
    assert_eq!(step, RelayStep::NoLease);
    // Others are untried, so neither statements nor sessions are refused for that.
    assert!(!state.is_isolated(at(15)));
    run(&mut state, at(16), &led(), forwarded).1.unwrap();
}

/// One candidate works. Further ones are looked for so that the load is spread, but only with
/// statements that may be repeated: a candidate that was just cut off may lose what it gets.
#[test]
fn only_repeatable_statements_look_for_further_candidates() {
    let mut state = create_state(0);
    let (_, first) = run(&mut state, at(0), &led(), forwarded);
    let first = first.unwrap();
    for millis in 0..1_000 {
        let (_, used) = run(&mut state, at(millis), &led(), forwarded);
        assert_eq!(used.as_ref(), Ok(&first));
    }
    let mut used = BTreeSet::new();
    for millis in 1_000..2_000 {
        let mut search = RelaySearch::new(led(), LATE, true);
        let step = state.next_step(at(millis), OwnLease::Ended, &mut search);
        let (RelayStep::Try(vm) | RelayStep::TryIfConnected(vm)) = step else {
            panic!("{step:?}");
        };
        state.note_outcome(at(millis), &vm, &mut search, RelayOutcome::Forwarded);
        used.insert(vm);
    }
    assert_eq!(used.len(), WANTED_RELAYS);
}

/// The lease is back and lost again later. What was learned in the first outage must not rule out
/// candidates in the second one.
#[test]
fn outcomes_are_forgotten_with_the_lease() {
    let mut state = create_state(0);
    for millis in 0..500 {
        run(&mut state, at(millis), &led(), no_lease).1.unwrap_err();
    }
    assert!(state.is_isolated(at(500)));
    state.forget();
    assert!(!state.is_isolated(at(500)));
    run(&mut state, at(500), &led(), forwarded).1.unwrap();
}

/// No statement needed another gateway for a while, though the lease never ended. The outcomes are
/// from an earlier failure and must not rule out candidates either.
#[test]
fn old_outcomes_are_forgotten() {
    let mut state = create_state(0);
    for millis in 0..500 {
        run(&mut state, at(millis), &led(), no_lease).1.unwrap_err();
    }
    let (tried, _) = run(&mut state, at(11_000), &led(), no_lease);
    assert_eq!(tried.len(), MAX_RELAY_TRIES);
}

/// The catalog has more gateways than are remembered, and some leave while statements are under
/// way. The state must stay bounded and keep what is known about those that stay.
#[test]
fn candidates_are_bounded_and_survive_changes() {
    let mut state = RelayCandidates::new(vm(0), domain(0));
    let many: Vec<_> = (0..700).map(|index| (vm(index), domain(index))).collect();
    state.set_candidates(many.iter().map(|(vm, domain)| (vm, domain)));
    let mut asked = BTreeSet::new();
    for millis in 0..100 {
        asked.extend(run(&mut state, at(millis), &led(), no_lease).0);
    }
    assert_eq!(asked.len(), MAX_RELAY_CANDIDATES);
    assert!(!asked.contains(&vm(0)));

    let mut state = create_state(0);
    let used = run(&mut state, at(0), &led(), forwarded).1.unwrap();
    let mut leaving = search(&led());
    let RelayStep::Try(left) = state.next_step(at(0), OwnLease::Ended, &mut leaving) else {
        panic!("no candidate");
    };
    assert_eq!(left, used);
    state.set_candidates([(&used, &domain(1))].into_iter());
    assert!(state.working().eq([&used]));
    state.set_candidates(std::iter::empty());
    let outcome = RelayOutcome::Unreachable;
    assert_eq!(
        state.note_outcome(at(1), &left, &mut leaving, outcome),
        None
    );
    let step = state.next_step(at(1), OwnLease::Ended, &mut leaving);
    assert_eq!(step, RelayStep::NoLease);
}

/// The only gateway loses its lease. Nobody can forward its statements, so it must turn new
/// sessions away instead of accepting them and refusing all that they send.
#[test]
fn gateway_without_candidates_is_isolated() {
    let mut state = RelayCandidates::new(vm(0), domain(0));
    state.set_candidates([(&vm(0), &domain(0))].into_iter());
    let (tried, end) = run(&mut state, at(0), &led(), no_lease);
    assert_eq!((tried.len(), end), (0, Err(RelayStep::NoLease)));
    assert!(state.is_isolated(at(1)));
}
