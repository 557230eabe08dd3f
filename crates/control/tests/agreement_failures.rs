//! Failures of control VMs, their disks and the network between them, one scenario at a time.

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
use std::collections::BTreeSet;

/// One hour, in ticks of 100 ms.
const HOUR_TICKS: u64 = 36_000;

macro_rules! failure_tests {
    ($($(#[$doc:meta])* $name:ident($network:ident, $leader:ident) of $count:literal $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let (mut $network, $leader) = TestNetwork::with_leader($count, 41);
            $body
        }
    )*};
}

/// Returns the length of a log file with entries of 1,000 bytes.
fn file_length(node: &AgreementNode) -> u64 {
    let state = node.durable_state();
    let snapshot = state.snapshot().map_or(0, |snapshot| snapshot.data.len());
    (snapshot + 1_000 * state.entries().len()) as u64
}

failure_tests! {
    /// A control VM is partitioned for an hour while changes are accepted, and then returns. The
    /// leader and its term must stay, and the VM must catch up without having answered a read from
    /// its stale state.
    isolated_vm_returns_after_an_hour(network, leader) of 3 {
        let isolated = (leader + 1) % 3;
        network.commit_at(leader, 3);
        let term = network.vms[leader].node().term();
        network.isolate(isolated);
        network.commit_at(leader, 100);
        network.run(HOUR_TICKS);
        assert!(network.vms[isolated].node_mut().confirm_read().is_err());
        assert!(network.vms[isolated].node().term() <= term);
        network.reconnect(isolated);
        network.run(50);
        assert_eq!(network.find_leader(), Some(leader));
        assert_eq!(network.vms[leader].node().term(), term);
        network.expect_recovery();
    }

    /// Many changes are committed, as after the loss of a VM. If all control VMs wrote their
    /// snapshots at the same entry, none would have the processor time to answer the others, and
    /// they would elect another leader.
    members_compact_at_different_entries(network, leader) of 5 {
        let mut indexes: Vec<BTreeSet<u64>> = vec![BTreeSet::new(); 5];
        let mut last_index = 0;
        while last_index < 6_000 {
            network.commit_at(leader, 8);
            for (number, indexes) in indexes.iter_mut().enumerate() {
                let node = network.vms[number].node();
                last_index = node.commit_index().0;
                if node.compaction_due(file_length(node)) {
                    indexes.insert(last_index);
                    network.vms[number].compact(false);
                }
                let entries = network.vms[number].node().entry_count();
                assert!(entries < 2_000, "VM {number} keeps {entries} entries");
            }
        }
        assert!(indexes.iter().all(|indexes| indexes.len() >= 2), "{indexes:?}");
        let compactions: usize = indexes.iter().map(BTreeSet::len).sum();
        let different: BTreeSet<&u64> = indexes.iter().flatten().collect();
        assert_eq!(different.len(), compactions, "VMs compact at one entry: {indexes:?}");
    }

    /// A snapshot of 4 MB is followed by entries of 1,000 bytes. If it were written again for each
    /// 1,000 of them, the control VMs would spend more on snapshots than on the changes.
    large_snapshot_follows_as_many_bytes_of_entries(network, leader) of 1 {
        network.commit_at(leader, 1);
        let node = network.vms[leader].node_mut();
        node.compact(node.commit_index(), "x".repeat(4_000_000)).unwrap();
        network.commit_at(leader, 1_000);
        let node = network.vms[leader].node();
        assert!(!node.compaction_due(file_length(node)));
        assert!(!node.compaction_due(4_000_000 + 3_900 * 1_000));
        assert!(node.compaction_due(4_000_000 + 4_000 * 1_000));
    }

    /// All control VMs lose power and restart together. Until a leader is elected, no lease is
    /// granted and every caller is refused, so the VMs must not wait a full election timeout for
    /// the heartbeats of a leader that none of them has had contact with.
    power_loss_of_all_vms(network, _leader) of 5 {
        for number in 0..5 {
            network.crash(number);
        }
        for number in 0..5 {
            network.restart(number);
        }
        // The usual election timeout is 10 to 20 ticks.
        network.run(10);
        assert!(network.find_leader().is_some(), "{}", network.describe());
    }

    /// A control VM restarts while the others follow a leader. It requests pre-votes after a
    /// shortened timeout, which must not depose the leader.
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

    /// A leader is partitioned for an hour. It must step down within an election timeout and so
    /// refuse its callers and pending reads; the others elect a new leader, which the old one
    /// follows on its return.
    isolated_leader_steps_down(network, leader) of 3 {
        network.isolate(leader);
        network.read_everywhere();
        network.propose_at(leader);
        network.run(30);
        assert!(!network.vms[leader].node().is_leader());
        assert_eq!(network.vms[leader].lost_reads, 1);
        let successor = network.wait_for_leader();
        assert_ne!(successor, leader);
        network.commit_at(successor, 5);
        network.run(HOUR_TICKS);
        network.reconnect(leader);
        network.run(50);
        assert_eq!(network.find_leader(), Some(successor));
        network.expect_recovery();
    }

    /// A VM collected its pre-votes and raised its term, and was partitioned before its vote
    /// requests were sent. When it returns, the leader must neither be replaced nor leave the VM
    /// behind in the higher term: all three VMs must go on storing changes.
    follower_with_higher_term_returns(network, leader) of 3 {
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

    /// A leader's process freezes and resumes after its successor has accepted changes. A read that
    /// was pending at the first leader must be refused, not answered from its stale state.
    frozen_leader_refuses_pending_read(network, leader) of 3 {
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

    /// The leader can send but not receive. As long as its heartbeats arrive, the others elect no
    /// new leader, and no change can be accepted; so the leader must step down by itself.
    leader_that_receives_nothing_steps_down(network, leader) of 3 {
        for other in [(leader + 1) % 3, (leader + 2) % 3] {
            network.cut_link(other, leader);
        }
        network.run(60);
        let successor = network.wait_for_leader();
        assert_ne!(successor, leader);
        network.commit_at(successor, 3);
        network.expect_recovery();
    }

    /// A VM loses its disk. It restarts empty under a new incarnation and receives the log, and the
    /// old incarnation is removed before the new one votes. The repair is reported until then.
    lost_disk_is_repaired(network, leader) of 3 {
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
        assert!(network.is_fully_repaired());
        network.expect_recovery();
    }

    /// A second VM is lost for good as soon as a repair is reported as complete. The remaining two,
    /// one of them just repaired, must have every accepted change and accept further ones.
    second_loss_after_repair(network, leader) of 3 {
        network.commit_at(leader, 20);
        network.lose_disk((leader + 1) % 3);
        network.run(20);
        network.run_until(300, "the repair is done", TestNetwork::is_fully_repaired);
        network.crash(leader);
        let successor = network.wait_for_leader();
        network.commit_at(successor, 5);
        let reached = network.vms[successor].state.applied;
        assert_eq!(network.checker.last_committed(), reached);
        network.expect_recovery();
    }

    /// The disks are lost one after the other, each right after the previous repair, until none of
    /// the original disks is left. No accepted change may be lost.
    every_disk_lost_in_turn(network, leader) of 3 {
        network.commit_at(leader, 10);
        for lost in [0, 1, 2, 0, 1, 2] {
            network.lose_disk(lost);
            network.run_until(500, "the repair is done", TestNetwork::is_fully_repaired);
            let current_leader = network.wait_for_leader();
            network.commit_at(current_leader, 2);
        }
        network.expect_recovery();
    }

    /// The leader is lost during a repair, between the removal of the old incarnation and the
    /// addition of the new one. The next leader must complete the repair from the configuration in
    /// the log.
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

    /// A VM under repair loses its disk again while it receives the log. The repair must continue
    /// with the latest incarnation, and the intermediate one never votes.
    disk_lost_again_in_repair(network, leader) of 3 {
        let lost = (leader + 1) % 3;
        network.commit_at(leader, 30);
        network.lose_disk(lost);
        network.run_until(200, "it is a learner", |network| {
            !network.vms[leader].node().learners().is_empty()
        });
        network.lose_disk(lost);
        network.run_until(500, "the repair is done", TestNetwork::is_fully_repaired);
        let incarnation = network.vms[lost].node().id().incarnation;
        assert_eq!(incarnation, VmIncarnation(3));
        network.expect_recovery();
    }

    /// A VM starts before its disk is mounted and is replaced by an empty incarnation; later the
    /// old disk is mounted again. The old incarnation must be notified that it is outdated, start
    /// no elections, and report this to the operator.
    old_disk_remounted_after_repair(network, leader) of 3 {
        let affected = (leader + 1) % 3;
        network.unmount_disk(affected);
        network.run_until(500, "the repair is done", TestNetwork::is_fully_repaired);
        network.remount_disk(affected);
        network.run(60);
        let outdated = network.vms[affected].node().outdated_by();
        assert_eq!(outdated, Some(VmIncarnation(2)));
        let term = network.vms[leader].node().term();
        network.run(500);
        assert_eq!(network.vms[leader].node().term(), term);
        network.expect_recovery();
    }

    /// A VM starts before its disk is mounted, and the disk is mounted before the old incarnation
    /// has been removed. The old incarnation is still a voter and continues; the repair must be
    /// abandoned.
    old_disk_remounted_during_repair(network, leader) of 3 {
        let affected = (leader + 1) % 3;
        network.unmount_disk(affected);
        network.run_until(200, "it is a learner", |network| {
            !network.vms[leader].node().learners().is_empty()
        });
        network.remount_disk(affected);
        network.run(300);
        assert_eq!(network.vms[affected].node().outdated_by(), None);
        assert!(network.vms[leader].node().repairs_pending().is_empty());
        assert!(network.is_fully_repaired());
        network.expect_recovery();
    }

    /// A VM was stopped for so long that it was removed from the voters; its disk is intact. It
    /// still has the configuration in which it is a voter and requests votes, which no other node
    /// grants. Once an operator admits the VM again, it must receive the log and vote; otherwise
    /// the log would have one voter less for good.
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
        network.run_until(300, "the VM is a voter again", |network| {
            let node = network.vms[leader].node();
            node.voters().len() == 5 && node.repairs_pending().is_empty()
        });
        let current_leader = network.wait_for_leader();
        network.commit_at(current_leader, 3);
        network.expect_recovery();
    }

    /// The clock of a VM that lost its disk has gone back, so that its new incarnation is lower
    /// than the lost one. It must learn the latest incarnation and change to a later one; otherwise
    /// it would be considered outdated and refused for good.
    clock_went_back(network, leader) of 3 {
        let lost = (leader + 1) % 3;
        network.vms[lost].next_incarnation = VmIncarnation(7);
        network.lose_disk(lost);
        network.run_until(500, "the repair is done", TestNetwork::is_fully_repaired);
        network.vms[lost].next_incarnation = VmIncarnation(3);
        network.lose_disk(lost);
        network.run(20);
        network.run_until(500, "the repair is done", TestNetwork::is_fully_repaired);
        assert_eq!(network.vms[lost].node().id().incarnation, VmIncarnation(8));
        network.expect_recovery();
    }

    /// A VM is down while hundreds of changes are accepted. It must catch up from the log in
    /// bounded batches, without delaying the other VMs.
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
    /// must catch up by the snapshot, in bounded parts.
    compacted_changes_missed(network, leader) of 3 {
        let down = (leader + 1) % 3;
        network.crash(down);
        network.commit_at(leader, 400);
        for up in [leader, (leader + 2) % 3] {
            network.vms[up].compact(true);
            network.process_output(up);
        }
        network.commit_at(leader, 3);
        network.restart(down);
        network.run(60);
        assert_eq!(network.vms[down].state.applied, network.checker.last_committed());
        assert!(network.vms[down].read_disk().snapshot().is_some());
        network.expect_recovery();
    }

    /// All VMs are restarted at once after hundreds of changes and a compaction. Each must recover
    /// from its disk, with every accepted change.
    all_vms_restarted(network, leader) of 3 {
        network.commit_at(leader, 200);
        network.vms[leader].compact(false);
        network.process_output(leader);
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

    /// A VM crashes repeatedly at its sync: before, during and after the write. Entries that
    /// weren't synced were never acknowledged, so no accepted change may be lost.
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

    /// An operator removes a VM and later admits it again with an empty disk. While it is removed
    /// its join requests have no effect; after its admission it becomes a voter once it has the
    /// log.
    vm_removed_and_admitted_again(network, leader) of 4 {
        let affected = (leader + 1) % 4;
        let vm = network.vms[affected].name.clone();
        network.vms[leader].node_mut().remove_vm(&vm).expect("the change is due");
        network.run(40);
        assert_eq!(network.vms[leader].node().voters().len(), 3);
        network.lose_disk(affected);
        network.run(60);
        assert_eq!(network.vms[affected].node().role(), AgreementRole::Joining);
        network.vms[leader].node_mut().admit_vm(vm).expect("the change is due");
        network.run(60);
        assert_eq!(network.vms[leader].node().voters().len(), 4);
        network.expect_recovery();
    }
}

/// An operator's call to form the log reaches only two of three VMs. The third must receive the log
/// from the others, and the repeated call must have no effect.
#[test]
fn form_call_lost_on_one_vm() {
    let mut network = TestNetwork::unformed(3, 43, &GuardSet::all());
    let voters: Vec<VoterId> = network
        .vms
        .iter()
        .map(|vm| vm.node().id().clone())
        .collect();
    for number in [0, 1] {
        let formed = network.vms[number].node_mut().form(voters.clone());
        assert_eq!(formed, Ok(()));
        network.process_output(number);
    }
    network.wait_for_leader();
    network.run(30);
    assert_eq!(network.vms[2].node_mut().form(voters), Ok(()));
    network.process_output(2);
    network.expect_recovery();
}

/// An operator forms a second log by mistake, on a VM that had lost its disk. Nodes of the first
/// log must drop the second log's messages, whose terms and entries would mix with their own.
#[test]
fn messages_of_another_formation_are_dropped() {
    let (mut network, leader) = TestNetwork::with_leader(3, 44);
    let first = network.vms[leader].node().id().clone();
    let own = VoterId::new("vm-9".into(), VmIncarnation(1));
    let settings = AgreementSettings::new(own.clone(), Vec::new(), 1);
    let second_log = AgreementNode::start(settings, DurableState::default());
    let mut second_log = second_log.expect("an empty node starts");
    assert_eq!(second_log.form(vec![own, first]), Ok(()));
    let mut sent_count = 0;
    for _ in 0..100 {
        second_log.tick();
        for outbound in second_log.take_output().messages {
            sent_count += 1;
            network.vms[leader].node_mut().receive(outbound.message);
            let output = network.vms[leader].node_mut().take_output();
            assert!(output.is_empty());
        }
    }
    assert!(sent_count > 0, "the second log sends messages");
    network.expect_recovery();
}

/// Returns the number of ticks after which five control VMs that restart together have a leader.
fn count_ticks_to_a_leader(seed: u64) -> u64 {
    let (mut network, _) = TestNetwork::with_leader(5, seed);
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
    panic!("no leader:\n{}", network.describe());
}

/// All control VMs were killed and restart at the same time. There is no service until a leader is
/// elected, so the voters request pre-votes in turn from the first tick on. Half of the runs have a
/// leader within 7 ticks; with a random timeout of 4 to 8 ticks before the first request, none has.
#[test]
fn killed_vms_elect_at_their_first_ticks() {
    let mut ticks: Vec<u64> = (0..100).map(count_ticks_to_a_leader).collect();
    ticks.sort_unstable();
    assert!(ticks[50] <= 7, "{ticks:?}");
    assert!(ticks[99] <= 9, "{ticks:?}");
}
