//! Random runs of the network: faults in any order, then recovery.

use super::NetworkNoise;
use super::TestNetwork;
use super::vm::BatchLimits;
use super::vm::CrashPoint;
use super::vm::TestVm;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use ragwort_control::agreement::GuardSet;

/// Which VM a step is about.
#[derive(Clone, Copy, Debug)]
pub enum VmChoice {
    /// The one with this number, modulo their count.
    Number(u8),
    /// The latest leader; leaders are where most can go wrong.
    Leader,
}

/// One step of a random run.
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
    Mend,
    StaySilent(VmChoice),
    LoseDisk(VmChoice),
    LoseDiskAfterRepair(VmChoice),
    UnmountDisk(VmChoice),
    RemountDisk(VmChoice),
    RemoveVm(VmChoice),
    AdmitVm(VmChoice),
    Compact(VmChoice),
    SetNoise(NetworkNoise),
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

impl Arbitrary for NetworkNoise {
    fn arbitrary(gen_: &mut Gen) -> Self {
        Self {
            lost: u32::arbitrary(gen_) % 40,
            doubled: u32::arbitrary(gen_) % 30,
            delay: u64::arbitrary(gen_) % 6,
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
            50..=53 => Self::Mend,
            54 => Self::StaySilent(vm),
            55 => Self::LoseDisk(vm),
            56 => Self::LoseDiskAfterRepair(vm),
            57 => Self::UnmountDisk(vm),
            58 => Self::RemountDisk(vm),
            59..=60 => Self::Compact(vm),
            61 => Self::RemoveVm(vm),
            62 => Self::AdmitVm(vm),
            _ => Self::SetNoise(NetworkNoise::arbitrary(gen_)),
        }
    }
}

/// Ticks of a VM behind a cut: many election times.
const SILENT_TICKS: u64 = 300;

impl TestNetwork {
    /// Carries out one step of a random run.
    pub fn act(&mut self, action: &NetworkAction, limit: LossLimit) {
        match *action {
            NetworkAction::Run(ticks) => self.run(u64::from(ticks)),
            NetworkAction::Propose(count) => {
                for _ in 0..count {
                    self.propose_everywhere();
                }
            }
            NetworkAction::Read => self.read_everywhere(),
            NetworkAction::Crash(vm) => self.crash(self.choose(vm)),
            NetworkAction::Reboot(vm) => {
                let number = self.choose(vm);
                self.crash(number);
                self.restart(number);
            }
            NetworkAction::CrashAtSync(vm, point) => self.crash_at_sync(self.choose(vm), point),
            NetworkAction::Restart(vm) => self.restart(self.choose(vm)),
            NetworkAction::RestartAll => {
                for number in 0..self.vms.len() {
                    self.vms[number].thaw();
                    self.restart(number);
                }
            }
            NetworkAction::Freeze(vm) => self.choose_vm(vm).freeze(),
            NetworkAction::Thaw(vm) => self.choose_vm(vm).thaw(),
            NetworkAction::Isolate(vm) => self.isolate(self.choose(vm)),
            NetworkAction::CutLink(from, to) => self.cut_link(self.choose(from), self.choose(to)),
            NetworkAction::Split(sides) => self.split(sides),
            NetworkAction::Mend => self.mend_cuts(),
            NetworkAction::StaySilent(vm) => {
                let number = self.choose(vm);
                self.isolate(number);
                self.run(SILENT_TICKS);
                self.reconnect(number);
            }
            NetworkAction::LoseDisk(vm) => {
                if limit.allows(self) {
                    self.lose_disk(self.choose(vm));
                }
            }
            NetworkAction::LoseDiskAfterRepair(vm) => self.lose_two_disks(self.choose(vm)),
            NetworkAction::UnmountDisk(vm) => {
                if limit.allows(self) {
                    self.unmount_disk(self.choose(vm));
                }
            }
            NetworkAction::RemountDisk(vm) => {
                let number = self.choose(vm);
                let present = self.vms[number].disk_id();
                let needed = present.is_some_and(|id| self.is_voter_anywhere(&id));
                if !needed || limit.allows(self) {
                    self.remount_disk(number);
                }
            }
            NetworkAction::RemoveVm(vm) => {
                if limit == LossLimit::Unlimited {
                    self.remove_everywhere(self.choose(vm));
                }
            }
            NetworkAction::AdmitVm(vm) => {
                if limit == LossLimit::Unlimited {
                    self.admit_everywhere(self.choose(vm));
                }
            }
            NetworkAction::Compact(vm) => {
                let number = self.choose(vm);
                let rewrite = self.clock.is_multiple_of(2);
                self.vms[number].compact(rewrite);
                self.settle(number);
            }
            NetworkAction::SetNoise(noise) => self.noise = noise,
        }
    }

    fn choose(&self, vm: VmChoice) -> usize {
        match vm {
            VmChoice::Number(number) => usize::from(number) % self.vms.len(),
            VmChoice::Leader => self.find_latest_leader().unwrap_or_default(),
        }
    }

    fn choose_vm(&mut self, vm: VmChoice) -> &mut TestVm {
        let number = self.choose(vm);
        &mut self.vms[number]
    }

    /// Asks every node that takes itself for the leader to remove a VM; it may refuse.
    fn remove_everywhere(&mut self, removed: usize) {
        let vm = self.vms[removed].name.clone();
        for number in 0..self.vms.len() {
            if self.vms[number].is_running() {
                let _ = self.vms[number].node_mut().remove_vm(&vm);
                self.settle(number);
            }
        }
    }

    /// Asks every node that takes itself for the leader to admit a VM; it may refuse.
    fn admit_everywhere(&mut self, admitted: usize) {
        let vm = self.vms[admitted].name.clone();
        for number in 0..self.vms.len() {
            if self.vms[number].is_running() {
                let _ = self.vms[number].node_mut().admit_vm(vm.clone());
                self.settle(number);
            }
        }
    }

    /// Loses a disk, and another one at the first tick at which the repair is reported as done.
    fn lose_two_disks(&mut self, number: usize) {
        if !self.is_whole() {
            return;
        }
        self.lose_disk(number);
        for _ in 0..SILENT_TICKS {
            self.run(1);
            if self.is_whole() {
                self.lose_disk((number + 1) % self.vms.len());
                return;
            }
        }
    }

    /// Restarts a VM with an empty disk, while its own disk isn't mounted.
    pub fn unmount_disk(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        vm.stop();
        vm.disk_away = Some(std::mem::take(&mut vm.disk));
        self.restart(number);
    }

    /// Restarts a VM with the disk that was not mounted, in place of the present one.
    pub fn remount_disk(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        if let Some(disk) = vm.disk_away.take() {
            vm.stop();
            vm.disk = disk;
            self.restart(number);
        }
    }
}

/// Which losses of disks a run may bring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossLimit {
    /// One at a time: the next only when the log is whole, so that it must come back whole.
    Repairable,
    /// Any: the log may stop for good, but must never disagree.
    Unlimited,
}

impl LossLimit {
    fn allows(self, network: &TestNetwork) -> bool {
        match self {
            Self::Repairable => network.is_whole(),
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
    /// Whether an empty disk gets the former incarnation again, which is a fault.
    pub repeats_incarnation: bool,
}

impl RandomRun {
    /// Creates a run that keeps to the rules.
    pub fn new(vms: usize, steps: usize, seed: u64, limit: LossLimit) -> Self {
        Self {
            vms,
            steps,
            seed,
            limit,
            guards: GuardSet::all(),
            repeats_incarnation: false,
        }
    }

    /// Carries the run out, and expects the log to recover if the losses were repairable.
    pub fn execute(&self) -> TestNetwork {
        let mut source = Gen::from_size_and_seed(self.steps, self.seed);
        let mut network = TestNetwork::formed(self.vms, self.seed, &self.guards);
        if self.repeats_incarnation {
            network.vms.iter_mut().for_each(TestVm::repeat_incarnation);
        }
        network.limit_batches(self.choose_limits());
        network.run(30);
        for _ in 0..self.steps {
            network.act(&NetworkAction::arbitrary(&mut source), self.limit);
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
