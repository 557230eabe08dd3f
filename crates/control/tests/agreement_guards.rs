//! What each guard of the agreed log prevents: the same course of events with all guards, where
//! the harm must not come about, and without that one guard, where it must.

mod agreement_network;

use agreement_network::TestNetwork;
use agreement_network::vm::BatchLimits;
use ragwort_control::agreement::AgreementGuard;
use ragwort_control::agreement::GuardSet;
use ragwort_types::VmIncarnation;
use std::panic;

/// The harm that came about, in words.
type Harm = Option<String>;

fn harm_when(seen: bool, harm: &str) -> Harm {
    seen.then(|| harm.to_owned())
}

/// Runs a course of events; a check that fails in it is the harm.
fn find_harm(course: fn(&GuardSet) -> Harm, guards: GuardSet) -> Harm {
    panic::catch_unwind(|| course(&guards)).unwrap_or_else(|payload| {
        let text = payload.downcast_ref::<String>().cloned();
        Some(text.unwrap_or_default())
    })
}

macro_rules! guard_tests {
    ($($(#[$doc:meta])* $name:ident: $guard:ident, $harm:literal, $course:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let course: fn(&GuardSet) -> Harm = $course;
            assert_eq!(course(&GuardSet::all()), None);
            let without = GuardSet::without(AgreementGuard::$guard);
            let harm = find_harm(course, without).unwrap_or_default();
            assert!(harm.contains($harm), "another harm than expected: {harm:?}");
        }
    )*};
}

guard_tests! {
    /// A VM sits behind a cut for many election times and then comes back. Its vain elections
    /// have raised its term, so that the leader has to be elected anew the moment the network
    /// heals; operators see changes and reads refused.
    pre_vote: PreVote, "the healthy leader's term ended", |guards| {
        let mut network = TestNetwork::formed(3, 1, guards);
        let leader = network.wait_for_leader();
        let term = network.vms[leader].node().term();
        let silent = (leader + 1) % 3;
        network.isolate(silent);
        network.run(300);
        network.reconnect(silent);
        network.run(100);
        let node = network.vms[leader].node();
        harm_when(node.term() != term, "the healthy leader's term ended")
    };

    /// A VM can be heard but doesn't hear the leader. Its log is as good as any, so the others
    /// would elect it over and over; each time the present leader's reads are lost.
    vote_stickiness: VoteStickiness, "the healthy leader was replaced", |guards| {
        let mut network = TestNetwork::formed(3, 2, guards);
        let leader = network.wait_for_leader();
        let deaf = (leader + 1) % 3;
        network.cut_link(leader, deaf);
        network.run(200);
        let leads = network.vms[leader].node().is_leader();
        harm_when(!leads, "the healthy leader was replaced")
    };

    /// A leader is cut off. It goes on taking proposals that can't be committed, and its callers
    /// wait until their deadlines instead of being refused at once.
    quorum_check: QuorumCheck, "a leader without followers takes proposals", |guards| {
        let mut network = TestNetwork::formed(3, 3, guards);
        let leader = network.wait_for_leader();
        network.isolate(leader);
        network.run(40);
        let proposed = network.vms[leader].node_mut().propose("late".to_owned());
        harm_when(proposed.is_ok(), "a leader without followers takes proposals")
    };

    /// An entry of an old term comes to lie on a majority, while another VM holds a later entry
    /// and can still be elected. Counted as committed, the entry is replaced: an accepted change
    /// is gone.
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
        // The old entry reaches the third VM, and the link is cut before the leader's own does.
        network.run_until(30, "the old entry lies on a majority", |network| {
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

    /// A leader's process freezes, another is elected and commits changes; then the first thaws
    /// and is asked for a contract before it has noticed. It answers with the old one.
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
    /// next leader holds the change but doesn't know so, and answers without it.
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

    /// A change waits behind a VM that was admitted but has hardly begun to fetch the log. With
    /// one VM of the others lost, two of three would do; with the empty one counted, three of four
    /// are needed, and nothing can be committed until it has everything.
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
        harm_when(!network.checker.is_committed(mark), "nothing can be committed")
    };

    /// A VM starts while its disk isn't mounted, and is replaced by its new incarnation in one
    /// step. Then the old disk is back. The old incarnation and a third VM that missed the change
    /// are a majority of the old voters, the leader and the new incarnation one of the new voters:
    /// both go on, and one's accepted changes are lost.
    single_voter_change: SingleVoterChange, "commits another entry", |guards| {
        let mut network = TestNetwork::formed(3, 8, guards);
        network.elect(0, &[1, 2]);
        network.mend_cuts();
        network.commit_at(0, 2);
        network.unmount_disk(1);
        network.cut_link(0, 1);
        network.run_until(100, "the empty VM is a learner", |network| {
            !network.vms[2].node().learners().is_empty()
        });
        network.run(3);
        network.isolate(2);
        network.mend_cuts();
        network.cut_link(0, 2);
        network.cut_link(2, 0);
        network.cut_link(2, 1);
        network.cut_link(1, 2);
        network.run(9);
        network.propose_everywhere();
        network.run(9);
        network.mend_cuts();
        network.isolate(0);
        network.remount_disk(1);
        network.run(60);
        network.propose_everywhere();
        network.run(60);
        network.expect_recovery();
        None
    };

    /// A leader that is cut off is asked to remove both other VMs, which look lost from there.
    /// With both changes under way at once it is a majority by itself and accepts changes, while
    /// the others elect a leader and accept theirs.
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

/// A VM loses its disk, and its empty process goes on under the old identity: it has forgotten
/// that it acknowledged a change, and helps to elect a VM that never had it. The change, which an
/// operator was told is accepted, is gone.
#[test]
fn lost_disk_under_the_old_identity() {
    let course = |guards: &GuardSet, incarnation: u64| {
        let mut network = TestNetwork::formed(3, 10, guards);
        network.elect(0, &[1, 2]);
        network.deliver(6);
        network.isolate(2);
        network.commit_at(0, 1);
        network.vms[1].next_incarnation = VmIncarnation(incarnation);
        network.lose_disk(1);
        network.crash(0);
        network.mend_cuts();
        network.run(60);
        network.propose_everywhere();
        network.run(20);
        harm_when(
            network.find_leader().is_some(),
            "a VM without the change leads",
        )
    };
    let voting = GuardSet::without(AgreementGuard::ConfiguredVote);
    let old_identity = panic::catch_unwind(|| course(&voting, 1));
    let payload = old_identity.expect_err("the accepted change is replaced");
    let harm = payload.downcast_ref::<String>().expect("a check failed");
    assert!(
        harm.contains("commits another entry"),
        "another harm: {harm}"
    );
    assert_eq!(course(&voting, 2), None);
    assert_eq!(course(&GuardSet::all(), 1), None);
    assert_eq!(course(&GuardSet::all(), 2), None);
}
