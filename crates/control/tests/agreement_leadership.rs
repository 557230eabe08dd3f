//! Leadership transfer: a planned stop of the leader leaves the log without a leader for a few
//! messages and not for an election timeout.

mod agreement_network;

use agreement_network::TestNetwork;
use agreement_network::scenario::LossLimit;
use agreement_network::scenario::RandomRun;
use agreement_network::vm::BatchLimits;
use ragwort_control::agreement::GuardSet;
use ragwort_control::agreement::VoteQuestion;

/// The number of ticks for an election whose messages take a tick each. It is below the minimum
/// election timeout, which is 10 ticks.
const ELECTION_TICKS: u64 = 6;

/// The minimum election timeout.
const MIN_ELECTION_TICKS: u64 = 10;

macro_rules! failure_tests {
    ($($(#[$doc:meta])* $name:ident => $case:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            $case();
        }
    )*};
}

failure_tests! {
    /// A leader stopped, and the others had no leader for an election timeout. No lease was renewed
    /// meanwhile.
    leader_that_stops_has_a_successor_at_once => immediate_case;
    /// The successor lacks entries when the transfer begins. It is elected only once it has them,
    /// or accepted changes would be lost.
    successor_has_all_entries => complete_log_case;
    /// A proposal during a transfer would make the successor's log incomplete again, and might be
    /// lost with the election.
    proposals_are_refused_during_a_transfer => refused_proposal_case;
    /// The successor fails before it is elected. The leader must not refuse proposals for good.
    leader_continues_if_the_successor_fails => failed_successor_case;
    /// A VM that is about to stop too would have to transfer the leadership again.
    ineligible_voter_is_not_chosen => ineligible_case;
    /// A voter that is told to start an election by a leader that was replaced meanwhile would end
    /// the healthy leader's term.
    late_request_starts_no_election => late_request_case;
    /// VMs that have just started aren't in the catalog yet. If a new leader took them for lost, it
    /// would remove them from the voters.
    voter_is_silent_only_after_a_restart_would_be_over => silence_case;
    /// A leader that has just started isn't in the catalog yet. It took itself for lost and kept
    /// asking for its own removal, so no lost voter was removed.
    leader_is_never_silent => silent_leader_case;
    /// Control VMs are replaced one after the other. Requests for votes of those of the earlier
    /// version must be read, or none of them could be elected meanwhile.
    vote_request_of_an_earlier_version_is_read => earlier_version_case;
}

fn immediate_case() {
    for seed in 0..20 {
        let (mut network, leader) = TestNetwork::with_leader(5, seed);
        let successor = network.transfer_leadership();
        assert!(successor.is_some_and(|number| number != leader));
        network.run(ELECTION_TICKS);
        assert_eq!(network.find_leader(), successor, "seed {seed}");
        assert!(!network.vms[leader].node().is_leader());
        network.crash(leader);
        network.commit_at(successor.unwrap(), 3);
    }
}

fn silence_case() {
    for seed in 0..20 {
        let (mut network, leader) = TestNetwork::with_leader(3, seed);
        let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
        let ids = [lost, other].map(|number| network.vms[number].node().id().clone());
        let list_silent = |network: &TestNetwork| {
            let node = network.vms[leader].node();
            ids.each_ref().map(|id| node.is_silent(id))
        };
        assert_eq!(list_silent(&network), [false, false], "seed {seed}");
        network.crash(lost);
        network.run(MIN_ELECTION_TICKS);
        assert_eq!(list_silent(&network), [false, false], "seed {seed}");
        network.run(MIN_ELECTION_TICKS * 20);
        assert_eq!(list_silent(&network), [true, false], "seed {seed}");
    }
}

fn silent_leader_case() {
    let (mut network, leader) = TestNetwork::with_leader(3, 1);
    network.run(MIN_ELECTION_TICKS * 20);
    let node = network.vms[leader].node();
    assert!(!node.is_silent(node.id()));
}

fn complete_log_case() {
    for seed in 0..20 {
        let mut network = TestNetwork::formed(3, seed, &GuardSet::all());
        network.limit_batches(BatchLimits {
            in_flight: 1,
            ..BatchLimits::default()
        });
        let leader = network.wait_for_leader();
        let last = (0..2).map(|_| network.propose_at(leader)).last().unwrap();
        let successor = network.transfer_leadership().unwrap();
        network.run_until(20, "the successor leads", |network| {
            network.vms[successor].node().is_leader()
        });
        let node = network.vms[successor].node();
        assert!(node.last_entry().index > last.index, "seed {seed}");
        network.commit_at(successor, 1);
    }
}

fn refused_proposal_case() {
    let (mut network, leader) = TestNetwork::with_leader(3, 1);
    network.transfer_leadership().unwrap();
    let node = network.vms[leader].node_mut();
    assert!(node.is_transferring_leadership());
    assert!(node.propose("late".to_owned()).is_err());
    assert!(node.admit_vm("vm-9".into()).is_err());
}

fn failed_successor_case() {
    let (mut network, leader) = TestNetwork::with_leader(3, 1);
    let term = network.vms[leader].node().term();
    let successor = network.transfer_leadership().unwrap();
    network.crash(successor);
    network.run(11);
    assert!(!network.vms[leader].node().is_transferring_leadership());
    assert_eq!(network.vms[leader].node().term(), term);
    network.commit_at(leader, 1);
}

fn ineligible_case() {
    for seed in 0..20 {
        let (mut network, leader) = TestNetwork::with_leader(3, seed);
        let others: Vec<usize> = (0..3).filter(|number| *number != leader).collect();
        let stays = network.vms[others[0]].name.clone();
        let node = network.vms[leader].node_mut();
        let successor = node.transfer_leadership(|vm| *vm == stays);
        assert_eq!(successor.map(|id| id.vm), Some(stays));
        assert!(node.transfer_leadership(|_| false).is_none());
    }
}

fn late_request_case() {
    let (mut network, leader) = TestNetwork::with_leader(3, 1);
    let successor = network.transfer_leadership().unwrap();
    let third = (0..3).find(|number| ![leader, successor].contains(number));
    // The request is on its way while the leader is replaced by the third VM.
    network.drop_messages();
    network.isolate(leader);
    network.elect(third.unwrap(), &[successor]);
    let term = network.vms[third.unwrap()].node().term();
    network.heal_cuts();
    network.run(50);
    assert_eq!(network.find_leader(), third);
    assert_eq!(network.vms[third.unwrap()].node().term(), term);
}

fn earlier_version_case() {
    let text = r#"{"term":7,"last":[6,40]}"#;
    let question: VoteQuestion = serde_json::from_str(text).unwrap();
    assert!(!question.by_leader);
    assert_eq!(serde_json::to_string(&question).unwrap(), text);
}

macro_rules! random_transfers {
    ($($name:ident: $vms:expr, $steps:expr, $limit:expr, $seeds:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in $seeds {
                println!("seed {seed}");
                let mut run = RandomRun::new($vms, $steps, seed, $limit);
                run.transfer_interval = Some(1 + (seed % 7) as usize);
                run.execute();
            }
        }
    )*};
}

// The random runs with their faults and invariants, in which leaders transfer their leadership.
random_transfers! {
    three_vms_with_transfers: 3, 100, LossLimit::Repairable, 4000..4150;
    five_vms_with_transfers: 5, 100, LossLimit::Repairable, 5000..5100;
    three_vms_with_transfers_and_any_losses: 3, 200, LossLimit::Unlimited, 6000..6100;
}
