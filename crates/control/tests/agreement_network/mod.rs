//! A simulated network of agreement nodes in one thread, with fault injection and invariant checks.

#![expect(dead_code, reason = "each test file uses a part of the network")]

pub mod checker;
pub mod scenario;
pub mod vm;

use checker::LogChecker;
use ragwort_control::agreement::AgreementMessage;
use ragwort_control::agreement::EntryMark;
use ragwort_control::agreement::GuardSet;
use ragwort_control::agreement::VoterId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeSet;
use vm::BatchLimits;
use vm::CrashPoint;
use vm::TestVm;

/// The interval, in ticks, between ticks whose messages are encoded and decoded; encoding all
/// messages takes too long.
const ENCODED_TICK_INTERVAL: u64 = 8;

/// The faults that the network applies to messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageFaults {
    /// The percentage of messages that are lost.
    pub lost_percent: u32,
    /// The percentage of messages that are delivered twice.
    pub duplicated_percent: u32,
    /// The maximum delay in ticks, in addition to the one tick that each message takes.
    pub max_delay_ticks: u64,
}

/// A message that hasn't arrived yet.
struct MessageInFlight {
    due_at: u64,
    from: usize,
    to: usize,
    message: AgreementMessage,
}

/// Simulated VMs with disks, and the network between them.
pub struct TestNetwork {
    pub vms: Vec<TestVm>,
    pub checker: LogChecker,
    pub message_faults: MessageFaults,
    pub clock: u64,
    cut_links: BTreeSet<(usize, usize)>,
    in_flight: Vec<MessageInFlight>,
    random: StdRng,
    proposals: u64,
}

impl TestNetwork {
    /// Creates VMs with empty disks and no log.
    pub fn unformed(count: usize, seed: u64, guards: &GuardSet) -> Self {
        let names: Vec<String> = (1..=count).map(|number| format!("vm-{number}")).collect();
        let vms = names
            .iter()
            .map(|name| TestVm::new(name, &names, seed, guards.clone()))
            .collect();
        Self {
            vms,
            checker: LogChecker::default(),
            message_faults: MessageFaults::default(),
            clock: 0,
            cut_links: BTreeSet::new(),
            in_flight: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            proposals: 0,
        }
    }

    /// Creates VMs that have formed a log.
    pub fn formed(count: usize, seed: u64, guards: &GuardSet) -> Self {
        let mut network = Self::unformed(count, seed, guards);
        let voters: Vec<VoterId> = network
            .vms
            .iter()
            .map(|vm| vm.node().id().clone())
            .collect();
        for number in 0..count {
            let node = network.vms[number].node_mut();
            node.form(voters.clone()).expect("an empty node forms");
            network.process_output(number);
        }
        network
    }

    /// Sets the message limits of all VMs, and restarts them so that the limits apply.
    pub fn limit_batches(&mut self, limits: BatchLimits) {
        for number in 0..self.vms.len() {
            self.vms[number].limits = limits;
            self.crash(number);
            self.restart(number);
        }
    }

    /// Creates VMs that have formed a log and elected a leader; also returns the leader's number.
    pub fn with_leader(count: usize, seed: u64) -> (Self, usize) {
        let mut network = Self::formed(count, seed, &GuardSet::all());
        let leader = network.wait_for_leader();
        (network, leader)
    }

    /// Runs `ticks` ticks.
    pub fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.step();
        }
    }

    /// Runs until `done` is true; panics after `limit` ticks.
    pub fn run_until(&mut self, limit: u64, wanted: &str, done: impl Fn(&Self) -> bool) {
        for _ in 0..limit {
            if done(self) {
                return;
            }
            self.step();
        }
        panic!("not within {limit} ticks: {wanted}");
    }

    /// Makes a VM the leader with the votes of `voters`, while all others are isolated.
    ///
    /// The candidate and the voters are restarted, so that they know of no previous leader, and
    /// only the candidate's clock advances. The links stay cut afterwards.
    pub fn elect(&mut self, number: usize, voters: &[usize]) {
        self.drop_messages();
        self.heal_cuts();
        for other in 0..self.vms.len() {
            if other == number || voters.contains(&other) {
                self.crash(other);
                self.restart(other);
            } else {
                self.isolate(other);
            }
        }
        for _ in 0..200 {
            if self.vms[number].node().is_leader() {
                return;
            }
            self.clock += 1;
            self.vms[number].node_mut().tick();
            self.process_output(number);
            self.deliver_due();
        }
        panic!("VM {number} isn't elected:\n{}", self.describe());
    }

    /// Advances the network for `rounds` ticks without a tick on any VM.
    pub fn deliver(&mut self, rounds: u64) {
        for _ in 0..rounds {
            self.clock += 1;
            self.deliver_due();
        }
    }

    /// Runs one tick: advances all clocks, then delivers the messages that are due in random order.
    fn step(&mut self) {
        self.clock += 1;
        for number in 0..self.vms.len() {
            if self.vms[number].is_running() {
                self.vms[number].node_mut().tick();
                self.process_output(number);
            }
        }
        self.deliver_due();
    }

    fn deliver_due(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) = self
            .in_flight
            .drain(..)
            .partition(|message| message.due_at <= self.clock);
        self.in_flight = later;
        self.deliver_in_random_order(due);
    }

    fn deliver_in_random_order(&mut self, mut due: Vec<MessageInFlight>) {
        while !due.is_empty() {
            let place = self.random.random_range(0..due.len());
            let message = due.swap_remove(place);
            if self.cut_links.contains(&(message.from, message.to)) {
                continue;
            }
            if self.vms[message.to].is_frozen() {
                self.in_flight.push(message);
            } else if self.vms[message.to].is_running() {
                let to = message.to;
                self.vms[to].node_mut().receive(message.message);
                self.process_output(to);
            }
        }
    }

    /// Carries out a node's output and puts its messages on the network.
    pub fn process_output(&mut self, number: usize) {
        let sent = self.vms[number].process_output(&mut self.checker);
        for outbound in sent {
            let receiver = self.vms.iter().position(|vm| vm.name == outbound.to);
            if let Some(to) = receiver {
                self.put_in_flight(number, to, outbound.message);
            }
        }
    }

    fn put_in_flight(&mut self, from: usize, to: usize, message: AgreementMessage) {
        if self.clock.is_multiple_of(ENCODED_TICK_INTERVAL) {
            let decoded = AgreementMessage::from_text(&message.to_text());
            assert_eq!(decoded.as_ref(), Ok(&message), "a message survives as text");
        }
        let copies = if self.chance(self.message_faults.duplicated_percent) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if self.chance(self.message_faults.lost_percent) {
                continue;
            }
            let due_at = self.clock
                + self
                    .random
                    .random_range(0..=self.message_faults.max_delay_ticks);
            self.in_flight.push(MessageInFlight {
                due_at: due_at + 1,
                from,
                to,
                message: message.clone(),
            });
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.random.random_range(0..100) < percent
    }

    /// Proposes a new command at every node that considers itself the leader.
    pub fn propose_everywhere(&mut self) -> Vec<EntryMark> {
        let mut marks = Vec::new();
        for number in 0..self.vms.len() {
            let node = self.vms[number]
                .is_running()
                .then(|| self.vms[number].node());
            if node.is_some_and(|node| node.is_leader() && !node.is_transferring_leadership()) {
                marks.push(self.propose_at(number));
            }
        }
        marks
    }

    /// Makes the latest leader transfer its leadership; returns the successor's number.
    pub fn transfer_leadership(&mut self) -> Option<usize> {
        let leader = self.find_latest_leader()?;
        let successor = self.vms[leader].node_mut().transfer_leadership(|_| true);
        self.process_output(leader);
        self.number_of(&successor?)
    }

    /// Proposes a new command at a leader.
    pub fn propose_at(&mut self, number: usize) -> EntryMark {
        self.proposals += 1;
        let data = format!("command {}", self.proposals);
        let mark = self.vms[number].node_mut().propose(data);
        let mark = mark.expect("the node is the leader");
        self.process_output(number);
        mark
    }

    /// Proposes `count` commands at a leader, and runs until each of them is committed.
    pub fn commit_at(&mut self, number: usize, count: usize) {
        for _ in 0..count {
            let mark = self.propose_at(number);
            self.run_until(200, "a command is committed", |network| {
                network.checker.is_committed(mark)
            });
        }
    }

    /// Begins a read at every node that considers itself the leader.
    pub fn read_everywhere(&mut self) {
        for number in 0..self.vms.len() {
            if self.vms[number].is_running() && self.vms[number].node().is_leader() {
                self.vms[number].begin_read(&self.checker);
                self.process_output(number);
            }
        }
    }

    /// Cuts both directions between a VM and all others.
    pub fn isolate(&mut self, number: usize) {
        for other in 0..self.vms.len() {
            if other != number {
                self.cut_link(number, other);
                self.cut_link(other, number);
            }
        }
    }

    /// Cuts one direction between two VMs.
    pub fn cut_link(&mut self, from: usize, to: usize) {
        self.cut_links.insert((from, to));
    }

    /// Partitions the VMs whose bit is set in `sides` from the others.
    pub fn split(&mut self, sides: u8) {
        let side = |number: usize| sides >> number & 1;
        for from in 0..self.vms.len() {
            for to in 0..self.vms.len() {
                if side(from) != side(to) {
                    self.cut_link(from, to);
                }
            }
        }
    }

    /// Restores all links of a VM.
    pub fn reconnect(&mut self, number: usize) {
        self.cut_links
            .retain(|(from, to)| *from != number && *to != number);
    }

    /// Restores all links.
    pub fn heal_cuts(&mut self) {
        self.cut_links.clear();
    }

    /// Drops all messages that haven't arrived yet.
    pub fn drop_messages(&mut self) {
        self.in_flight.clear();
    }

    /// Kills a VM's process.
    pub fn crash(&mut self, number: usize) {
        self.vms[number].stop();
    }

    /// Starts a stopped VM's process from its disk.
    pub fn restart(&mut self, number: usize) {
        self.vms[number].start();
        self.process_output(number);
    }

    /// Stops a VM's process, empties its disk and starts it again.
    pub fn lose_disk(&mut self, number: usize) {
        self.vms[number].stop();
        self.vms[number].disk.clear();
        self.restart(number);
    }

    /// Makes a VM crash at its next sync.
    pub fn crash_at_sync(&mut self, number: usize, point: CrashPoint) {
        self.vms[number].crash_at = Some(point);
    }

    /// Returns the number of the leader that a majority follows, if there is one.
    pub fn find_leader(&self) -> Option<usize> {
        let latest = self.find_latest_leader()?;
        let followed = self.vms[latest].node().majority_answered_within(5);
        followed.then_some(latest)
    }

    /// Returns the number of the leader with the highest term, if there is one.
    pub fn find_latest_leader(&self) -> Option<usize> {
        let leads = |vm: &TestVm| vm.is_running() && vm.node().is_leader();
        let leaders = (0..self.vms.len()).filter(|number| leads(&self.vms[*number]));
        leaders.max_by_key(|number| self.vms[*number].node().term())
    }

    /// Runs until there is a leader that has committed an entry of its own term.
    pub fn wait_for_leader(&mut self) -> usize {
        self.run_until(
            500,
            "a leader that has committed its own entry",
            |network| {
                let leader = network.find_leader();
                let node = leader.map(|number| network.vms[number].node());
                node.is_some_and(|node| node.commit_index() >= node.last_entry().index)
            },
        );
        self.find_leader().expect("the wait ended with a leader")
    }

    /// Returns the number of the VM with this identity's name.
    pub fn number_of(&self, id: &VoterId) -> Option<usize> {
        self.vms.iter().position(|vm| vm.name == id.vm)
    }

    /// Returns whether the leader reports no pending repair, all VMs are voters, and each voter's
    /// identity is the one on its VM's disk.
    pub fn is_fully_repaired(&self) -> bool {
        let Some(leader) = self.find_leader() else {
            return false;
        };
        let node = self.vms[leader].node();
        let intact = |voter: &VoterId| {
            let number = self.number_of(voter);
            number.is_some_and(|number| self.vms[number].disk_id().as_ref() == Some(voter))
        };
        node.repairs_pending().is_empty()
            && node.voters().len() == self.vms.len()
            && node.voters().iter().all(intact)
    }

    /// Returns whether any VM's log contains a configuration with this identity as a voter.
    pub fn is_voter_anywhere(&self, id: &VoterId) -> bool {
        let names = |vm: &TestVm| {
            let state = vm.read_disk();
            let node = state.snapshot().map(|snapshot| &snapshot.configuration);
            let held = state.entries().iter().filter_map(checker::configuration_of);
            node.into_iter().chain(held).any(|known| known.is_voter(id))
        };
        self.vms.iter().any(names)
    }

    /// Stops all faults, and expects all VMs to become voters again and to have every committed
    /// entry.
    pub fn expect_recovery(&mut self) {
        self.message_faults = MessageFaults::default();
        self.heal_cuts();
        for number in 0..self.vms.len() {
            self.vms[number].crash_at = None;
            self.vms[number].thaw();
            if !self.vms[number].is_running() {
                self.restart(number);
            }
        }
        // Acts as the operator who empties the disk of a node that reports to be outdated.
        for _ in 0..200 {
            self.run(10);
            for number in 0..self.vms.len() {
                if self.vms[number].node().outdated_by().is_some() {
                    self.lose_disk(number);
                }
            }
            if self.is_fully_repaired() {
                break;
            }
        }
        assert!(
            self.is_fully_repaired(),
            "the log isn't fully repaired: {}",
            self.describe()
        );
        let leader = self.wait_for_leader();
        let mark = self.propose_at(leader);
        self.run_until(300, "all VMs hold the last command", |network| {
            let applied = |vm: &TestVm| vm.state.applied >= mark.index;
            network.vms.iter().all(applied)
        });
        self.checker.expect_consistent(&self.vms);
    }

    /// Returns a line of state for each node.
    pub fn describe(&self) -> String {
        let lines = self.vms.iter().map(TestVm::describe);
        lines.collect::<Vec<_>>().join("\n")
    }
}
