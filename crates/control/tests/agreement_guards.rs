//! The failure that each guard of the replicated log prevents. Each test runs the same sequence of
//! events twice: with all guards, where the failure must not occur, and without the one guard,
//! where it must.

mod agreement_network;

use agreement_network::TestNetwork;
use agreement_network::vm::BatchLimits;
use ragwort_control::agreement::AgreementGuard;
use ragwort_control::agreement::GuardSet;
use ragwort_types::VmIncarnation;
use std::panic;

/// A description of the failure that occurred; `None` if none did.
type ObservedFailure = Option<String>;

fn failure_if(occurred: bool, failure: &str) -> ObservedFailure {
    occurred.then(|| failure.to_owned())
}

/// Runs a sequence of events; a failed check in it counts as a failure.
fn find_failure(sequence: fn(&GuardSet) -> ObservedFailure, guards: GuardSet) -> ObservedFailure {
    panic::catch_unwind(|| sequence(&guards)).unwrap_or_else(|payload| {
        let text = payload.downcast_ref::<String>().cloned();
        Some(text.unwrap_or_default())
    })
}

macro_rules! guard_tests {
    ($($(#[$doc:meta])* $name:ident: $guard:ident, $failure:literal, $sequence:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let sequence: fn(&GuardSet) -> ObservedFailure = $sequence;
            assert_eq!(sequence(&GuardSet::all()), None);
            let without = GuardSet::without(AgreementGuard::$guard);
            let failure = find_failure(sequence, without).unwrap_or_default();
            assert!(failure.contains($failure), "unexpected failure: {failure:?}");
        }
    )*};
}

guard_tests! {
    /// A VM is partitioned for many election timeouts and then returns. Its failed elections have
    /// raised its term, so that a new election is needed when the network heals; operators' changes
    /// and reads are refused meanwhile.
    pre_vote: PreVote, "the healthy leader's term ended", |guards| {
        let mut network = TestNetwork::formed(3, 1, guards);
        let leader = network.wait_for_leader();
        let term = network.vms[leader].node().term();
        let isolated = (leader + 1) % 3;
        network.isolate(isolated);
        network.run(300);
        network.reconnect(isolated);
        network.run(100);
        let node = network.vms[leader].node();
        failure_if(node.term() != term, "the healthy leader's term ended")
    };

    /// A VM can send to all others but doesn't receive the leader's messages. Its log is up to
    /// date, so the others would elect it repeatedly; each time the current leader's reads are
    /// lost.
    vote_stickiness: VoteStickiness, "the healthy leader was replaced", |guards| {
        let mut network = TestNetwork::formed(3, 2, guards);
        let leader = network.wait_for_leader();
        let deaf = (leader + 1) % 3;
        network.cut_link(leader, deaf);
        network.run(200);
        let leads = network.vms[leader].node().is_leader();
        failure_if(!leads, "the healthy leader was replaced")
    };

    /// A leader is partitioned. It goes on taking proposals that can't be committed, and its
    /// callers wait until their deadlines instead of being refused at once.
    quorum_check: QuorumCheck, "a leader without followers takes proposals", |guards| {
        let mut network = TestNetwork::formed(3, 3, guards);
        let leader = network.wait_for_leader();
        network.isolate(leader);
        network.run(40);
        let proposed = network.vms[leader].node_mut().propose("late".to_owned());
        failure_if(proposed.is_ok(), "a leader without followers takes proposals")
    };

    /// An entry of an old term is stored by a majority while another VM has an entry of a later
    /// term and can still be elected. If the old entry counts as committed, it is later replaced,
    /// and an accepted change is lost.
    own_term_commit: OwnTermCommit, "commits another entry", |guards| {
        let mut network = TestNetwork::formed(5, 4, guards);
        let limits = BatchLimits { in_flight: 1, ..BatchLimits::default() };
        network.limit_batches(limits);
        network.elect(0, &[1, 2, 3, 4]);
        network.deliver(30);
        for other in [2, 3, 4] {
            network.cut_link(0, other);
        }
        let old = network.propose_at(0);
        network.deliver(2);
        network.elect(4, &[2, 3]);
        network.crash(4);
        network.elect(0, &[1, 2]);
        // The link is cut after the old entry reaches the third VM, and before the leader's entry
        // of the new term does.
        network.run_until(30, "a majority has stored the old entry", |network| {
            network.vms[2].node().last_entry() == old
        });
        network.cut_link(0, 2);
        network.deliver(3);
        network.crash(0);
        network.restart(4);
        network.elect(4, &[2, 3]);
        network.run(50);
        network.expect_recovery();
        None
    };

    /// A leader's process freezes, and another leader is elected and commits changes. Then the
    /// first one resumes and receives a read before it learns of its successor. It answers from
    /// stale state.
    read_confirmation: ReadConfirmation, "stale read", |guards| {
        let mut network = TestNetwork::formed(3, 5, guards);
        let frozen = network.wait_for_leader();
        network.vms[frozen].freeze();
        network.run(60);
        let leader = network.wait_for_leader();
        network.commit_at(leader, 3);
        network.vms[frozen].thaw();
        network.read_everywhere();
        network.run(20);
        assert_eq!(network.vms[frozen].confirmed_reads, 0);
        None
    };

    /// A leader commits a change and is lost before its followers learn that it is committed. The
    /// next leader has stored the change but doesn't know that it is committed, and answers a read
    /// without it.
    read_after_own_entry: ReadAfterOwnEntry, "stale read", |guards| {
        let mut network = TestNetwork::formed(3, 6, guards);
        network.elect(0, &[1, 2]);
        network.deliver(6);
        let mark = network.propose_at(0);
        while !network.checker.is_committed(mark) {
            network.deliver(1);
        }
        network.elect(1, &[2]);
        network.drop_messages();
        network.read_everywhere();
        network.run(20);
        None
    };

    /// A VM was admitted but hasn't received the log yet, and one of the three others is lost. If
    /// the empty VM already counts as a voter, a majority is three of four, and nothing can be
    /// committed until it has the whole log; otherwise the remaining two of three suffice.
    catch_up_first: CatchUpFirst, "nothing can be committed", |guards| {
        let mut network = TestNetwork::formed(4, 7, guards);
        network.crash(3);
        let leader = network.wait_for_leader();
        let vm = network.vms[3].name.clone();
        network.vms[leader].node_mut().remove_vm(&vm).expect("the change is due");
        network.run(20);
        network.vms[leader].node_mut().admit_vm(vm).expect("the change is due");
        network.commit_at(leader, 20);
        network.cut_link(leader, 3);
        network.lose_disk(3);
        network.run(60);
        network.crash((leader + 1) % 3);
        let mark = network.propose_at(leader);
        network.run(100);
        failure_if(!network.checker.is_committed(mark), "nothing can be committed")
    };

    /// A VM starts while its disk isn't mounted, and its new incarnation replaces the old one in a
    /// single change. Then the old disk is mounted again. The old incarnation and a third VM that
    /// missed the change are a majority of the old voters; the leader and the new incarnation are a
    /// majority of the new voters. Both accept changes, and those of one majority are lost.
    single_voter_change: SingleVoterChange, "commits another entry", |guards| {
        let mut network = TestNetwork::formed(3, 8, guards);
        network.elect(0, &[1, 2]);
        network.heal_cuts();
        network.commit_at(0, 2);
        network.unmount_disk(1);
        network.cut_link(0, 1);
        network.run_until(100, "the empty VM is a learner", |network| {
            !network.vms[2].node().learners().is_empty()
        });
        network.run(3);
        network.isolate(2);
        network.heal_cuts();
        network.cut_link(0, 2);
        network.cut_link(2, 0);
        network.cut_link(2, 1);
        network.cut_link(1, 2);
        network.run(9);
        network.propose_everywhere();
        network.run(9);
        network.heal_cuts();
        network.isolate(0);
        network.remount_disk(1);
        network.run(60);
        network.propose_everywhere();
        network.run(60);
        network.expect_recovery();
        None
    };

    /// An operator asks a partitioned leader to remove both other VMs, which appear to be lost. If
    /// both changes may be pending at once, the leader is a majority by itself and accepts changes,
    /// while the others elect a leader and accept theirs.
    one_change_at_a_time: OneChangeAtATime, "commits another entry", |guards| {
        let mut network = TestNetwork::formed(3, 9, guards);
        let leader = network.wait_for_leader();
        network.isolate(leader);
        for other in [(leader + 1) % 3, (leader + 2) % 3] {
            let vm = network.vms[other].name.clone();
            let _ = network.vms[leader].node_mut().remove_vm(&vm);
        }
        network.propose_at(leader);
        network.run(60);
        network.propose_everywhere();
        network.run(20);
        network.expect_recovery();
        None
    };
}

/// A VM loses its disk, and its empty process keeps the old identity. It no longer has a change
/// that it acknowledged, and helps to elect a VM that never had it. The change, which was reported
/// to an operator as accepted, is lost.
#[test]
fn lost_disk_under_the_old_identity() {
    let sequence = |guards: &GuardSet, incarnation: u64| {
        let mut network = TestNetwork::formed(3, 10, guards);
        network.elect(0, &[1, 2]);
        network.deliver(6);
        network.isolate(2);
        network.commit_at(0, 1);
        network.vms[1].next_incarnation = VmIncarnation(incarnation);
        network.lose_disk(1);
        network.crash(0);
        network.heal_cuts();
        network.run(60);
        network.propose_everywhere();
        network.run(20);
        failure_if(
            network.find_leader().is_some(),
            "a VM without the change leads",
        )
    };
    let voting = GuardSet::without(AgreementGuard::ConfiguredVote);
    let old_identity = panic::catch_unwind(|| sequence(&voting, 1));
    let payload = old_identity.expect_err("the accepted change is replaced");
    let failure = payload.downcast_ref::<String>().expect("a check failed");
    assert!(
        failure.contains("commits another entry"),
        "unexpected failure: {failure}"
    );
    assert_eq!(sequence(&voting, 2), None);
    assert_eq!(sequence(&GuardSet::all(), 1), None);
    assert_eq!(sequence(&GuardSet::all(), 2), None);
}
