//! Failures of control VMs, their disks and the network between them, one at a time.

mod agreement_network;

use agreement_network::TestNetwork;
use agreement_network::vm::CrashPoint;
use ragwort_control::agreement::AgreementNode;
use ragwort_control::agreement::AgreementRole;
use ragwort_control::agreement::AgreementSettings;
use ragwort_control::agreement::DiskWrite;
use ragwort_control::agreement::DurableState;
use ragwort_control::agreement::ElectionTerm;
use ragwort_control::agreement::GuardSet;
use ragwort_control::agreement::HardState;
use ragwort_control::agreement::RepairStage;
use ragwort_control::agreement::VoterId;
use ragwort_control::encode_record;
use ragwort_types::VmIncarnation;

/// An hour of ticks of 100 ms.
const HOUR: u64 = 36_000;

macro_rules! failure_tests {
    ($($(#[$doc:meta])* $name:ident($network:ident, $leader:ident) of $count:literal $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let (mut $network, $leader) = TestNetwork::led($count, 41);
            $body
        }
    )*};
}

failure_tests! {
    /// A control VM sits behind a cut for an hour while changes are accepted, and then returns.
    /// Nobody notices: the leader and its term stay, and the VM catches up without having
    /// answered anything from its old state.
    silent_hour(network, leader) of 3 {
        let silent = (leader + 1) % 3;
        network.commit_at(leader, 3);
        let term = network.vms[leader].node().term();
        network.isolate(silent);
        network.commit_at(leader, 100);
        network.run(HOUR);
        assert!(network.vms[silent].node_mut().confirm_read().is_err());
        assert!(network.vms[silent].node().term() <= term);
        network.reconnect(silent);
        network.run(50);
        assert_eq!(network.find_leader(), Some(leader));
        assert_eq!(network.vms[leader].node().term(), term);
        network.expect_recovery();
    }

    /// All control VMs lose power and return together. Until one of them leads no lease is granted
    /// and every caller is refused, so they don't wait for the heartbeats of a leader that none of
    /// them has heard of.
    power_returns_everywhere(network, _leader) of 5 {
        for number in 0..5 {
            network.crash(number);
        }
        for number in 0..5 {
            network.restart(number);
        }
        // The usual election time is 10 to 20 ticks.
        network.run(10);
        assert!(network.find_leader().is_some(), "{}", network.describe());
    }

    /// A control VM restarts while the others follow a leader. It asks early who leads, and must
    /// not unseat the leader by it.
    restarted_vm_leaves_the_leader_in_place(network, leader) of 5 {
        let term = network.vms[leader].node().term();
        for round in 1..=4 {
            let number = (leader + round) % 5;
            network.crash(number);
            network.run(3);
            network.restart(number);
            network.run(20);
            assert_eq!(network.find_leader(), Some(leader));
            assert_eq!(network.vms[leader].node().term(), term);
        }
    }

    /// A leader sits behind a cut for an hour. Its callers are refused within an election time,
    /// its open reads too; the others go on with a new leader, which the old one follows on return.
    silent_leader(network, leader) of 3 {
        network.isolate(leader);
        network.read_everywhere();
        network.propose_at(leader);
        network.run(30);
        assert!(!network.vms[leader].node().is_leader());
        assert_eq!(network.vms[leader].lost_reads, 1);
        let successor = network.wait_for_leader();
        assert_ne!(successor, leader);
        network.commit_at(successor, 5);
        network.run(HOUR);
        network.reconnect(leader);
        network.run(50);
        assert_eq!(network.find_leader(), Some(successor));
        network.expect_recovery();
    }

    /// A VM won its pre-votes and raised its term, and a cut fell before its vote requests went
    /// out. On its return the leader must neither lose its place to another nor leave the VM
    /// hanging in the higher term: changes go on, on all three VMs.
    higher_term_returns(network, leader) of 3 {
        let higher = (leader + 1) % 3;
        network.crash(higher);
        let hard = HardState { term: ElectionTerm(50), vote: None };
        let record = encode_record(&[DiskWrite::HardState(hard)]);
        network.vms[higher].disk.extend_from_slice(&record);
        network.restart(higher);
        network.run(30);
        assert_eq!(network.find_leader(), Some(leader));
        assert!(network.vms[leader].node().term() > ElectionTerm(50));
        let leaders = network.checker.leader_count();
        network.run(200);
        assert_eq!(network.checker.leader_count(), leaders, "no further elections");
        network.expect_recovery();
    }

    /// A leader's process freezes and thaws after its successor has accepted changes. A read that
    /// was open at the first one is refused rather than answered with what has changed since.
    frozen_leader(network, leader) of 3 {
        network.read_everywhere();
        network.vms[leader].freeze();
        network.run(60);
        let successor = network.wait_for_leader();
        network.commit_at(successor, 3);
        network.vms[leader].thaw();
        network.run(20);
        assert_eq!(network.vms[leader].confirmed_reads, 0);
        assert_eq!(network.vms[leader].lost_reads, 1);
        network.expect_recovery();
    }

    /// The leader can be heard but hears nobody. It would keep everyone from electing another for
    /// as long as its heartbeats arrive, while no change is accepted; so it steps down by itself.
    deaf_leader(network, leader) of 3 {
        for other in [(leader + 1) % 3, (leader + 2) % 3] {
            network.cut_link(other, leader);
        }
        network.run(60);
        let successor = network.wait_for_leader();
        assert_ne!(successor, leader);
        network.commit_at(successor, 3);
        network.expect_recovery();
    }

    /// A VM loses its disk. It comes back empty under a new incarnation, fetches the log, and the
    /// old incarnation is removed before the new one votes; the repair is reported until then.
    lost_disk(network, leader) of 3 {
        let lost = (leader + 1) % 3;
        network.commit_at(leader, 20);
        network.lose_disk(lost);
        assert_eq!(network.vms[lost].node().role(), AgreementRole::Joining);
        let mut stages = Vec::new();
        let mut sizes = Vec::new();
        for _ in 0..100 {
            network.run(1);
            let node = network.vms[leader].node();
            stages.extend(node.repairs_pending().iter().map(|repair| repair.stage));
            sizes.push(node.voters().len());
        }
        stages.dedup();
        sizes.dedup();
        let expected = [RepairStage::CatchingUp, RepairStage::OldRemoved, RepairStage::Settling];
        assert_eq!(stages, expected);
        assert_eq!(sizes, [3, 2, 3]);
        assert!(network.is_whole());
        network.expect_recovery();
    }

    /// A second VM is lost for good the moment a repair is reported as done. The two that remain,
    /// one of them just repaired, hold every accepted change and go on accepting.
    second_loss_after_repair(network, leader) of 3 {
        network.commit_at(leader, 20);
        network.lose_disk((leader + 1) % 3);
        network.run(20);
        network.run_until(300, "the repair is done", TestNetwork::is_whole);
        network.crash(leader);
        let successor = network.wait_for_leader();
        network.commit_at(successor, 5);
        let reached = network.vms[successor].state.applied;
        assert_eq!(network.checker.last_committed(), reached);
        network.expect_recovery();
    }

    /// One disk after the other is lost, each right after the former's repair, until none of the
    /// first disks is left. Nothing accepted is lost.
    every_disk_in_turn(network, leader) of 3 {
        network.commit_at(leader, 10);
        for lost in [0, 1, 2, 0, 1, 2] {
            network.lose_disk(lost);
            network.run_until(500, "the repair is done", TestNetwork::is_whole);
            let present = network.wait_for_leader();
            network.commit_at(present, 2);
        }
        network.expect_recovery();
    }

    /// A VM is lost in the middle of a repair, between the removal of the old incarnation and the
    /// vote of the new one. The next leader finds in the log what remains to be done.
    leader_lost_in_repair(network, leader) of 5 {
        network.lose_disk((leader + 1) % 5);
        network.run_until(200, "the old incarnation is removed", |network| {
            network.vms[leader].node().voters().len() == 4
        });
        network.run(2);
        network.crash(leader);
        let successor = network.wait_for_leader();
        network.run_until(200, "the repair is done", |network| {
            let node = network.vms[successor].node();
            node.repairs_pending().is_empty() && node.voters().len() == 5
        });
        network.expect_recovery();
    }

    /// The repaired VM loses its disk again while it is being caught up. The repair goes on with
    /// the latest incarnation, and the one in between never votes.
    lost_disk_in_repair(network, leader) of 3 {
        let lost = (leader + 1) % 3;
        network.commit_at(leader, 30);
        network.lose_disk(lost);
        network.run_until(200, "it is a learner", |network| {
            !network.vms[leader].node().learners().is_empty()
        });
        network.lose_disk(lost);
        network.run_until(500, "the repair is done", TestNetwork::is_whole);
        let incarnation = network.vms[lost].node().id().incarnation;
        assert_eq!(incarnation, VmIncarnation(3));
        network.expect_recovery();
    }

    /// A VM starts before its disk is mounted and is replaced by an empty incarnation; later the
    /// old disk is back. The old incarnation is told that it is out of date and stays quiet,
    /// and the operator can read so.
    remounted_disk(network, leader) of 3 {
        let moved = (leader + 1) % 3;
        network.unmount_disk(moved);
        network.run_until(500, "the repair is done", TestNetwork::is_whole);
        network.remount_disk(moved);
        network.run(60);
        let outdated = network.vms[moved].node().outdated_by();
        assert_eq!(outdated, Some(VmIncarnation(2)));
        let term = network.vms[leader].node().term();
        network.run(500);
        assert_eq!(network.vms[leader].node().term(), term);
        network.expect_recovery();
    }

    /// A VM starts before its disk is mounted, and the disk is back before the repair has begun in
    /// earnest. The old incarnation is still a voter and goes on; the repair is given up.
    remounted_disk_in_time(network, leader) of 3 {
        let moved = (leader + 1) % 3;
        network.unmount_disk(moved);
        network.run_until(200, "it is a learner", |network| {
            !network.vms[leader].node().learners().is_empty()
        });
        network.remount_disk(moved);
        network.run(300);
        assert_eq!(network.vms[moved].node().outdated_by(), None);
        assert!(network.vms[leader].node().repairs_pending().is_empty());
        assert!(network.is_whole());
        network.expect_recovery();
    }

    /// A VM was away for so long that it was removed from the voters; its disk is whole. It still
    /// believes to be a voter and asks for votes, which nobody gives. Once the leader lets its VM
    /// join again it must be caught up and vote, or the log would go on with one voter less for good.
    removed_voter_returns_with_its_disk(network, leader) of 5 {
        let away = (leader + 1) % 5;
        let vm = network.vms[away].name.clone();
        network.commit_at(leader, 5);
        network.crash(away);
        network.run(40);
        network.vms[leader].node_mut().remove_vm(&vm).unwrap();
        network.run(20);
        network.commit_at(leader, 20);
        network.restart(away);
        network.run(60);
        assert!(!network.vms[leader].node().is_member(&vm));
        network.vms[leader].node_mut().admit_vm(vm).unwrap();
        network.run_until(300, "it votes again", |network| {
            let node = network.vms[leader].node();
            node.voters().len() == 5 && node.repairs_pending().is_empty()
        });
        let present = network.wait_for_leader();
        network.commit_at(present, 3);
        network.expect_recovery();
    }

    /// The clock of a VM that lost its disk has gone back, so that its new incarnation is lower
    /// than the lost one. It learns the latest and takes a later one, instead of being taken for a
    /// leftover and refused for good.
    clock_went_back(network, leader) of 3 {
        let lost = (leader + 1) % 3;
        network.vms[lost].next_incarnation = VmIncarnation(7);
        network.lose_disk(lost);
        network.run_until(500, "the repair is done", TestNetwork::is_whole);
        network.vms[lost].next_incarnation = VmIncarnation(3);
        network.lose_disk(lost);
        network.run(20);
        network.run_until(500, "the repair is done", TestNetwork::is_whole);
        assert_eq!(network.vms[lost].node().id().incarnation, VmIncarnation(8));
        network.expect_recovery();
    }

    /// A VM is down while hundreds of changes are accepted. It catches up from the log in bounded
    /// batches, and no other VM waits for it.
    hundreds_of_changes_missed(network, leader) of 3 {
        let down = (leader + 1) % 3;
        network.crash(down);
        network.commit_at(leader, 400);
        network.restart(down);
        network.run(150);
        assert_eq!(network.vms[down].state.applied, network.checker.last_committed());
        assert!(network.vms[down].read_disk().snapshot().is_none());
        network.expect_recovery();
    }

    /// A VM is down while hundreds of changes are accepted and the others compact their logs. It
    /// catches up by the snapshot, in bounded parts.
    compacted_changes_missed(network, leader) of 3 {
        let down = (leader + 1) % 3;
        network.crash(down);
        network.commit_at(leader, 400);
        for up in [leader, (leader + 2) % 3] {
            network.vms[up].compact(true);
            network.settle(up);
        }
        network.commit_at(leader, 3);
        network.restart(down);
        network.run(60);
        assert_eq!(network.vms[down].state.applied, network.checker.last_committed());
        assert!(network.vms[down].read_disk().snapshot().is_some());
        network.expect_recovery();
    }

    /// All VMs are restarted at once after hundreds of changes and a compaction. Each goes on from
    /// its disk, and all that was accepted is there.
    all_restarted(network, leader) of 3 {
        network.commit_at(leader, 200);
        network.vms[leader].compact(false);
        network.settle(leader);
        network.commit_at(leader, 50);
        let reached = network.checker.last_committed();
        for number in 0..3 {
            network.crash(number);
        }
        network.drop_messages();
        for number in 0..3 {
            network.restart(number);
        }
        network.expect_recovery();
        assert!(network.checker.last_committed() > reached);
    }

    /// A VM crashes at its sync, time after time: before the write, in it and after it. What was
    /// not synced was never acknowledged, so nothing is lost.
    crashes_at_sync(network, leader) of 3 {
        let victim = (leader + 1) % 3;
        let points = [
            CrashPoint::BeforeWrite,
            CrashPoint::InWrite(0),
            CrashPoint::InWrite(50),
            CrashPoint::InWriteZeros(30),
            CrashPoint::AfterSync,
        ];
        for point in points {
            network.crash_at_sync(victim, point);
            network.commit_at(leader, 3);
            assert!(!network.vms[victim].is_running());
            network.restart(victim);
            network.run(30);
        }
        network.expect_recovery();
    }

    /// An operator lets a fourth VM join and later removes one. The empty VM votes only after it
    /// has the log, and the removed one asks in vain.
    grown_and_shrunk(network, leader) of 4 {
        let moved = (leader + 1) % 4;
        let vm = network.vms[moved].name.clone();
        network.vms[leader].node_mut().remove_vm(&vm).expect("the change is due");
        network.run(40);
        assert_eq!(network.vms[leader].node().voters().len(), 3);
        network.lose_disk(moved);
        network.run(60);
        assert_eq!(network.vms[moved].node().role(), AgreementRole::Joining);
        network.vms[leader].node_mut().admit_vm(vm).expect("the change is due");
        network.run(60);
        assert_eq!(network.vms[leader].node().voters().len(), 4);
        network.expect_recovery();
    }
}

/// An operator's call to form the log reaches two VMs of three. The third gets the log from the
/// others, and the repeated call changes nothing.
#[test]
fn lost_call_to_form() {
    let mut network = TestNetwork::unformed(3, 43, &GuardSet::all());
    let voters: Vec<VoterId> = network
        .vms
        .iter()
        .map(|vm| vm.node().id().clone())
        .collect();
    for number in [0, 1] {
        let formed = network.vms[number].node_mut().form(voters.clone());
        assert_eq!(formed, Ok(()));
        network.settle(number);
    }
    network.wait_for_leader();
    network.run(30);
    assert_eq!(network.vms[2].node_mut().form(voters), Ok(()));
    network.settle(2);
    network.expect_recovery();
}

/// An operator forms a second log by mistake, on a VM that had lost its disk. The first log takes
/// none of the stray log's messages, whose terms and entries would mix with its own.
#[test]
fn stray_formation() {
    let (mut network, leader) = TestNetwork::led(3, 44);
    let first = network.vms[leader].node().id().clone();
    let own = VoterId::new("vm-9".into(), VmIncarnation(1));
    let settings = AgreementSettings::new(own.clone(), Vec::new(), 1);
    let stray = AgreementNode::start(settings, DurableState::default());
    let mut stray = stray.expect("an empty node starts");
    assert_eq!(stray.form(vec![own, first]), Ok(()));
    let mut heard = 0;
    for _ in 0..100 {
        stray.tick();
        for outbound in stray.take_output().messages {
            heard += 1;
            network.vms[leader].node_mut().receive(outbound.message);
            let output = network.vms[leader].node_mut().take_output();
            assert!(output.is_empty());
        }
    }
    assert!(heard > 0, "the stray log asks for votes");
    network.expect_recovery();
}

/// Returns how many ticks five control VMs that start together need until one leads.
fn count_ticks_to_a_leader(seed: u64) -> u64 {
    let (mut network, _) = TestNetwork::led(5, seed);
    for number in 0..5 {
        network.crash(number);
    }
    for number in 0..5 {
        network.restart(number);
    }
    for ticks in 0..100 {
        if network.find_leader().is_some() {
            return ticks;
        }
        network.run(1);
    }
    panic!("nobody leads:\n{}", network.describe());
}

/// All control VMs were killed and start within the same moment. Each tick without a leader is one
/// without service for everybody, so the voters ask in turn from the first tick on. Half of the runs
/// have a leader within 7 ticks; with a drawn wait of 4 to 8 ticks before the first question, none
/// has.
#[test]
fn killed_vms_elect_at_their_first_ticks() {
    let mut ticks: Vec<u64> = (0..100).map(count_ticks_to_a_leader).collect();
    ticks.sort_unstable();
    assert!(ticks[50] <= 7, "{ticks:?}");
    assert!(ticks[99] <= 9, "{ticks:?}");
}
