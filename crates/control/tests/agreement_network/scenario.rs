//! Random runs of the simulated network: random actions and faults, then recovery.

use super::MessageFaults;
use super::TestNetwork;
use super::vm::BatchLimits;
use super::vm::CrashPoint;
use super::vm::TestVm;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use ragwort_control::agreement::GuardSet;

/// The VM to which an action applies.
#[derive(Clone, Copy, Debug)]
pub enum VmChoice {
    /// The VM with this number, modulo the number of VMs.
    Number(u8),
    /// The leader with the highest term; faults of leaders have the most consequences.
    Leader,
}

/// One action of a random run.
#[derive(Clone, Debug)]
pub enum NetworkAction {
    Run(u8),
    Propose(u8),
    Read,
    Crash(VmChoice),
    Reboot(VmChoice),
    CrashAtSync(VmChoice, CrashPoint),
    Restart(VmChoice),
    RestartAll,
    Freeze(VmChoice),
    Thaw(VmChoice),
    Isolate(VmChoice),
    CutLink(VmChoice, VmChoice),
    Split(u8),
    HealCuts,
    IsolateForLong(VmChoice),
    LoseDisk(VmChoice),
    LoseDiskAfterRepair(VmChoice),
    UnmountDisk(VmChoice),
    RemountDisk(VmChoice),
    RemoveVm(VmChoice),
    AdmitVm(VmChoice),
    Compact(VmChoice),
    SetMessageFaults(MessageFaults),
}

impl Arbitrary for VmChoice {
    fn arbitrary(gen_: &mut Gen) -> Self {
        if u8::arbitrary(gen_) % 3 == 0 {
            Self::Leader
        } else {
            Self::Number(u8::arbitrary(gen_))
        }
    }
}

impl Arbitrary for CrashPoint {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let percent = u8::arbitrary(gen_) % 100;
        let points = [
            Self::BeforeWrite,
            Self::InWrite(percent),
            Self::InWriteZeros(percent),
            Self::AfterSync,
        ];
        *gen_.choose(&points).expect("there are points")
    }
}

impl Arbitrary for MessageFaults {
    fn arbitrary(gen_: &mut Gen) -> Self {
        Self {
            lost_percent: u32::arbitrary(gen_) % 40,
            duplicated_percent: u32::arbitrary(gen_) % 30,
            max_delay_ticks: u64::arbitrary(gen_) % 6,
        }
    }
}

impl Arbitrary for NetworkAction {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let vm = VmChoice::arbitrary(gen_);
        match u8::arbitrary(gen_) % 64 {
            0..=9 => Self::Run(1 + u8::arbitrary(gen_) % 4),
            10..=17 => Self::Run(5 + u8::arbitrary(gen_) % 30),
            18..=26 => Self::Propose(1 + u8::arbitrary(gen_) % 4),
            27..=31 => Self::Read,
            32 => Self::Crash(vm),
            33..=35 => Self::Reboot(vm),
            36..=37 => Self::CrashAtSync(vm, CrashPoint::arbitrary(gen_)),
            38..=39 => Self::Restart(vm),
            40..=42 => Self::RestartAll,
            43 => Self::Freeze(vm),
            44..=45 => Self::Thaw(vm),
            46..=47 => Self::Isolate(vm),
            48 => Self::CutLink(vm, VmChoice::arbitrary(gen_)),
            49 => Self::Split(u8::arbitrary(gen_)),
            50..=53 => Self::HealCuts,
            54 => Self::IsolateForLong(vm),
            55 => Self::LoseDisk(vm),
            56 => Self::LoseDiskAfterRepair(vm),
            57 => Self::UnmountDisk(vm),
            58 => Self::RemountDisk(vm),
            59..=60 => Self::Compact(vm),
            61 => Self::RemoveVm(vm),
            62 => Self::AdmitVm(vm),
            _ => Self::SetMessageFaults(MessageFaults::arbitrary(gen_)),
        }
    }
}

/// The number of ticks for which a VM is isolated: many election timeouts.
const LONG_ISOLATION_TICKS: u64 = 300;

impl TestNetwork {
    /// Carries out one action of a random run.
    pub fn apply_action(&mut self, action: &NetworkAction, limit: LossLimit) {
        match *action {
            NetworkAction::Run(ticks) => self.run(u64::from(ticks)),
            NetworkAction::Propose(count) => {
                for _ in 0..count {
                    self.propose_everywhere();
                }
            }
            NetworkAction::Read => self.read_everywhere(),
            NetworkAction::Crash(vm) => self.crash(self.resolve(vm)),
            NetworkAction::Reboot(vm) => {
                let number = self.resolve(vm);
                self.crash(number);
                self.restart(number);
            }
            NetworkAction::CrashAtSync(vm, point) => self.crash_at_sync(self.resolve(vm), point),
            NetworkAction::Restart(vm) => self.restart(self.resolve(vm)),
            NetworkAction::RestartAll => {
                for number in 0..self.vms.len() {
                    self.vms[number].thaw();
                    self.restart(number);
                }
            }
            NetworkAction::Freeze(vm) => self.resolve_vm(vm).freeze(),
            NetworkAction::Thaw(vm) => self.resolve_vm(vm).thaw(),
            NetworkAction::Isolate(vm) => self.isolate(self.resolve(vm)),
            NetworkAction::CutLink(from, to) => self.cut_link(self.resolve(from), self.resolve(to)),
            NetworkAction::Split(sides) => self.split(sides),
            NetworkAction::HealCuts => self.heal_cuts(),
            NetworkAction::IsolateForLong(vm) => {
                let number = self.resolve(vm);
                self.isolate(number);
                self.run(LONG_ISOLATION_TICKS);
                self.reconnect(number);
            }
            NetworkAction::LoseDisk(vm) => {
                if limit.allows(self) {
                    self.lose_disk(self.resolve(vm));
                }
            }
            NetworkAction::LoseDiskAfterRepair(vm) => self.lose_two_disks(self.resolve(vm)),
            NetworkAction::UnmountDisk(vm) => {
                if limit.allows(self) {
                    self.unmount_disk(self.resolve(vm));
                }
            }
            NetworkAction::RemountDisk(vm) => {
                let number = self.resolve(vm);
                let current = self.vms[number].disk_id();
                let needed = current.is_some_and(|id| self.is_voter_anywhere(&id));
                if !needed || limit.allows(self) {
                    self.remount_disk(number);
                }
            }
            NetworkAction::RemoveVm(vm) => {
                if limit == LossLimit::Unlimited {
                    self.remove_everywhere(self.resolve(vm));
                }
            }
            NetworkAction::AdmitVm(vm) => {
                if limit == LossLimit::Unlimited {
                    self.admit_everywhere(self.resolve(vm));
                }
            }
            NetworkAction::Compact(vm) => {
                let number = self.resolve(vm);
                let rewrite = self.clock.is_multiple_of(2);
                self.vms[number].compact(rewrite);
                self.process_output(number);
            }
            NetworkAction::SetMessageFaults(message_faults) => self.message_faults = message_faults,
        }
    }

    fn resolve(&self, vm: VmChoice) -> usize {
        match vm {
            VmChoice::Number(number) => usize::from(number) % self.vms.len(),
            VmChoice::Leader => self.find_latest_leader().unwrap_or_default(),
        }
    }

    fn resolve_vm(&mut self, vm: VmChoice) -> &mut TestVm {
        let number = self.resolve(vm);
        &mut self.vms[number]
    }

    /// Asks every running node to remove a VM; any of them may refuse.
    fn remove_everywhere(&mut self, removed: usize) {
        let vm = self.vms[removed].name.clone();
        for number in 0..self.vms.len() {
            if self.vms[number].is_running() {
                let _ = self.vms[number].node_mut().remove_vm(&vm);
                self.process_output(number);
            }
        }
    }

    /// Asks every running node to admit a VM; any of them may refuse.
    fn admit_everywhere(&mut self, admitted: usize) {
        let vm = self.vms[admitted].name.clone();
        for number in 0..self.vms.len() {
            if self.vms[number].is_running() {
                let _ = self.vms[number].node_mut().admit_vm(vm.clone());
                self.process_output(number);
            }
        }
    }

    /// Loses a disk, and another one as soon as the repair is reported as complete.
    fn lose_two_disks(&mut self, number: usize) {
        if !self.is_fully_repaired() {
            return;
        }
        self.lose_disk(number);
        for _ in 0..LONG_ISOLATION_TICKS {
            self.run(1);
            if self.is_fully_repaired() {
                self.lose_disk((number + 1) % self.vms.len());
                return;
            }
        }
    }

    /// Restarts a VM with an empty disk, as if its own disk weren't mounted.
    pub fn unmount_disk(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        vm.stop();
        vm.unmounted_disk = Some(std::mem::take(&mut vm.disk));
        self.restart(number);
    }

    /// Restarts a VM with the disk that was unmounted, in place of the current one.
    pub fn remount_disk(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        if let Some(disk) = vm.unmounted_disk.take() {
            vm.stop();
            vm.disk = disk;
            self.restart(number);
        }
    }
}

/// The losses of disks that a run may contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossLimit {
    /// One at a time, each only after the previous repair is complete, so that the log must
    /// recover.
    Repairable,
    /// Any: the log may become unavailable for good, but nodes must never disagree.
    Unlimited,
}

impl LossLimit {
    fn allows(self, network: &TestNetwork) -> bool {
        match self {
            Self::Repairable => network.is_fully_repaired(),
            Self::Unlimited => true,
        }
    }
}

/// A random run.
#[derive(Clone, Debug)]
pub struct RandomRun {
    pub vms: usize,
    pub steps: usize,
    pub seed: u64,
    pub limit: LossLimit,
    pub guards: GuardSet,
    /// Whether an empty disk gets the previous incarnation again, which is a fault.
    pub reuses_incarnation: bool,
    /// The number of actions after each of which the leader transfers its leadership; `None` if it
    /// never does.
    pub transfer_interval: Option<usize>,
}

impl RandomRun {
    /// Creates a run with all guards in force and a new incarnation for each empty disk.
    pub fn new(vms: usize, steps: usize, seed: u64, limit: LossLimit) -> Self {
        Self {
            vms,
            steps,
            seed,
            limit,
            guards: GuardSet::all(),
            reuses_incarnation: false,
            transfer_interval: None,
        }
    }

    /// Carries out the run, and expects the log to recover if the losses were repairable.
    pub fn execute(&self) -> TestNetwork {
        let mut source = Gen::from_size_and_seed(self.steps, self.seed);
        let mut network = TestNetwork::formed(self.vms, self.seed, &self.guards);
        if self.reuses_incarnation {
            network.vms.iter_mut().for_each(TestVm::reuse_incarnation);
        }
        network.limit_batches(self.choose_limits());
        network.run(30);
        for step in 0..self.steps {
            network.apply_action(&NetworkAction::arbitrary(&mut source), self.limit);
            let interval = self.transfer_interval;
            if interval.is_some_and(|interval| step.is_multiple_of(interval)) {
                network.transfer_leadership();
            }
        }
        if self.limit == LossLimit::Repairable {
            network.expect_recovery();
        }
        network
    }

    fn choose_limits(&self) -> BatchLimits {
        let in_flight = [1, 4, 16][(self.seed % 3) as usize];
        BatchLimits {
            entries: in_flight.min(4) as usize,
            in_flight,
            ..BatchLimits::default()
        }
    }
}
