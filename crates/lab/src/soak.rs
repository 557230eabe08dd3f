//! The soak: random faults against real processes while callers work and the oracle watches.
//!
//! The schedule of faults follows from the seed; what the processes make of it doesn't repeat
//! exactly, as they run on a real machine.

use crate::faults::FaultRequest;
use crate::lab_set::LabSet;
use crate::load::LoadSettings;
use crate::load::StopFlag;
use crate::load::run_load;
use crate::load_plan::LoadMix;
use crate::load_plan::PlanSettings;
use crate::load_report::LoadReport;
use crate::set_calls::SetFault;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// How long the group may take to be whole again after a fault.
const WHOLE_PATIENCE: Duration = Duration::from_secs(30);

/// How long daemons may take to be ready again after a fault.
const READY_PATIENCE: Duration = Duration::from_secs(30);

/// How long a daemon may take to end after SIGTERM.
const DRAIN_PATIENCE: Duration = Duration::from_secs(20);

/// The load goes on for so long after the last fault has ended.
const QUIET_END: Duration = Duration::from_secs(5);

/// A lag with which a replica is out of use for reads of the lab's age.
const LONG_LAG_MS: u64 = 2_500;

/// A factor by which a slow endpoint is slower.
const SLOW_FACTOR: u32 = 25;

/// What a soak does.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakSettings {
    /// The seed of load and faults.
    pub seed: u64,
    /// How long faults go on.
    pub duration: Duration,
    /// Requests per second.
    pub rate: f64,
}

/// A fault of the soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// The endpoint is killed and replaced by an empty instance.
    KillEndpoint(usize),
    /// The endpoint leaves in good order and is replaced by an empty instance.
    LeaveEndpoint(usize),
    /// The endpoint is frozen and thawed.
    FreezeEndpoint(usize),
    /// The endpoint is cut off and joined again.
    CutEndpoint(usize),
    /// The endpoint's open connections go silent for good.
    ForgetConnections(usize),
    /// The endpoint is slow for a while.
    SlowEndpoint(usize),
    /// The replica pulls nothing for a while.
    CutReplication(usize),
    /// The replica lags for a while.
    LagReplica(usize),
    /// The daemon is killed and started again.
    KillDaemon(usize),
    /// The daemon is asked to end and started again.
    DrainDaemon(usize),
    /// The daemon is frozen and thawed.
    FreezeDaemon(usize),
    /// The control VM is killed, loses its data folder and is started again.
    LoseControlData(usize),
}

/// The result of a soak.
#[derive(Debug)]
pub struct SoakReport {
    /// The faults, in order.
    pub faults: Vec<SoakFault>,
    /// What callers received, with broken promises.
    pub load: LoadReport,
    /// Lines of daemons' logs that tell of a broken invariant or a panic.
    pub alarms: Vec<String>,
    /// Faults after which the set wasn't whole or ready in time.
    pub not_healed: Vec<String>,
}

impl SoakReport {
    /// Returns whether nothing was wrong.
    pub fn is_clean(&self) -> bool {
        self.load.violations.is_empty() && self.alarms.is_empty() && self.not_healed.is_empty()
    }
}

/// Runs a soak against a set that is up.
///
/// # Errors
///
/// Returns the [`SetFault`] of a process that can't be started, frozen or ended.
pub async fn run_soak(set: &mut LabSet, settings: &SoakSettings) -> Result<SoakReport, SetFault> {
    let group = set.group_names()[0];
    let load = LoadSettings {
        gateways: set.gateways(),
        group: group.to_owned(),
        customers: vec![set.size().customer.to_owned()],
        plan: PlanSettings {
            seed: settings.seed,
            rate: settings.rate,
            duration: Duration::MAX,
            customers: 1,
            hot_factor: 1,
            lists: 8,
            mix: LoadMix::default(),
        },
        sessions: 64,
        move_every: 20,
        run_name: format!("soak{}", settings.seed),
    };
    let stop = StopFlag::default();
    let mut driver = FaultDriver {
        set,
        group,
        random: StdRng::seed_from_u64(settings.seed),
        faults: Vec::new(),
        not_healed: Vec::new(),
    };
    let (load, driven) = tokio::join!(run_load(&load, &stop), async {
        let driven = driver.run(Instant::now() + settings.duration).await;
        sleep(QUIET_END).await;
        stop.set();
        driven
    });
    driven?;
    let (faults, not_healed) = (driver.faults, driver.not_healed);
    Ok(SoakReport {
        faults,
        not_healed,
        load,
        alarms: find_alarms(set),
    })
}

struct FaultDriver<'a> {
    set: &'a mut LabSet,
    group: &'static str,
    random: StdRng,
    faults: Vec<SoakFault>,
    not_healed: Vec<String>,
}

impl FaultDriver<'_> {
    async fn run(&mut self, end: Instant) -> Result<(), SetFault> {
        while Instant::now() < end {
            self.heal(None).await;
            let first = self.pick_endpoint_fault().await;
            let second = self.pick_daemon_fault();
            let (first, second) = match self.random.random_range(0..4) {
                0 => (Some(first), Some(second)),
                1 => (None, Some(second)),
                _ => (Some(first), None),
            };
            let both = [first, second].into_iter().flatten();
            for fault in both.clone() {
                log::info!("event=soak_fault fault={fault:?}");
                self.faults.push(fault);
                self.begin(fault).await?;
            }
            let hold = self.random.random_range(100..3_000);
            sleep(Duration::from_millis(hold)).await;
            for fault in both {
                self.end(fault).await?;
            }
            self.heal(self.faults.last().copied()).await;
            let pause = self.random.random_range(200..1_500);
            sleep(Duration::from_millis(pause)).await;
        }
        Ok(())
    }

    /// Waits until the set is whole. Two instances that lose their data at once take acknowledged
    /// writes with them whatever the proxy does, so the next fault comes only then.
    async fn heal(&mut self, after: Option<SoakFault>) {
        let ready = self.set.wait_until_ready(READY_PATIENCE).await;
        let whole = self.set.wait_until_whole(self.group, WHOLE_PATIENCE).await;
        for fault in [ready.err(), whole.err()].into_iter().flatten() {
            log::warn!("event=soak_not_healed after={after:?} seen=\"{fault}\"");
            self.not_healed.push(format!("after {after:?}: {fault}"));
        }
    }

    async fn pick_endpoint_fault(&mut self) -> SoakFault {
        let endpoints = self.set.endpoints_of(self.group);
        let primary = self.set.find_primary(self.group).await;
        let any = endpoints[self.random.random_range(0..endpoints.len())];
        // Faults of primaries matter most, so half of the faults are theirs.
        let target = match self.random.random_bool(0.5) {
            true => primary.unwrap_or(any),
            false => any,
        };
        match self.random.random_range(0..8) {
            0 => SoakFault::KillEndpoint(target),
            1 => SoakFault::LeaveEndpoint(target),
            2 => SoakFault::FreezeEndpoint(target),
            3 => SoakFault::CutEndpoint(target),
            4 => SoakFault::ForgetConnections(target),
            5 => SoakFault::SlowEndpoint(target),
            6 => SoakFault::CutReplication(any),
            _ => SoakFault::LagReplica(any),
        }
    }

    fn pick_daemon_fault(&mut self) -> SoakFault {
        let any = self.random.random_range(0..self.set.daemons.len());
        let control = self.random.random_range(0..self.set.size().control_vms());
        match self.random.random_range(0..5) {
            0 => SoakFault::KillDaemon(any),
            1 => SoakFault::DrainDaemon(any),
            2 => SoakFault::FreezeDaemon(any),
            3 => SoakFault::KillDaemon(control),
            _ => SoakFault::LoseControlData(control),
        }
    }

    async fn begin(&mut self, fault: SoakFault) -> Result<(), SetFault> {
        match fault {
            SoakFault::KillEndpoint(index) => self.set.kill_endpoint(index),
            SoakFault::LeaveEndpoint(index) => {
                if let Some(child) = self.set.endpoint_child(index) {
                    child.terminate()?;
                }
            }
            SoakFault::FreezeEndpoint(index) => {
                if let Some(child) = self.set.endpoint_child(index) {
                    child.freeze()?;
                }
            }
            SoakFault::CutEndpoint(index) => self.set.set_cut(index, true).await,
            SoakFault::ForgetConnections(index) => self.set.forget_connections(index),
            SoakFault::SlowEndpoint(index) => {
                let slow = FaultRequest::Slow(SLOW_FACTOR);
                self.set.set_fault(index, slow).await;
            }
            SoakFault::CutReplication(index) => {
                let cut = FaultRequest::CutReplication(true);
                self.set.set_fault(index, cut).await;
            }
            SoakFault::LagReplica(index) => {
                let lag = FaultRequest::Lag(LONG_LAG_MS);
                self.set.set_fault(index, lag).await;
            }
            SoakFault::KillDaemon(index) => self.set.kill_daemon(index),
            SoakFault::DrainDaemon(index) => {
                if let Some(child) = self.set.daemon_child(index) {
                    child.terminate()?;
                }
            }
            SoakFault::FreezeDaemon(index) => {
                if let Some(child) = self.set.daemon_child(index) {
                    child.freeze()?;
                }
            }
            SoakFault::LoseControlData(index) => {
                self.set.kill_daemon(index);
                self.set.lose_data(index)?;
            }
        }
        Ok(())
    }

    async fn end(&mut self, fault: SoakFault) -> Result<(), SetFault> {
        match fault {
            SoakFault::KillEndpoint(index) | SoakFault::LeaveEndpoint(index) => {
                self.set.replace_endpoint(index).await?;
            }
            SoakFault::FreezeEndpoint(index) => {
                if let Some(child) = self.set.endpoint_child(index) {
                    child.thaw()?;
                }
            }
            SoakFault::CutEndpoint(index) => self.set.set_cut(index, false).await,
            SoakFault::ForgetConnections(_) => {}
            SoakFault::SlowEndpoint(index) => {
                let normal = FaultRequest::Slow(1);
                self.set.set_fault(index, normal).await;
            }
            SoakFault::CutReplication(index) => {
                let joined = FaultRequest::CutReplication(false);
                self.set.set_fault(index, joined).await;
            }
            SoakFault::LagReplica(index) => {
                let lag_ms = self.set.size().replica_lag().as_millis() as u64;
                let normal = FaultRequest::Lag(lag_ms);
                self.set.set_fault(index, normal).await;
            }
            SoakFault::KillDaemon(index) | SoakFault::LoseControlData(index) => {
                self.set.start_daemon(index)?;
            }
            SoakFault::DrainDaemon(index) => self.end_drain(index).await?,
            SoakFault::FreezeDaemon(index) => {
                if let Some(child) = self.set.daemon_child(index) {
                    child.thaw()?;
                }
            }
        }
        Ok(())
    }

    /// Waits for the drained daemon's end, which must be a good one, and starts it again.
    async fn end_drain(&mut self, index: usize) -> Result<(), SetFault> {
        if let Some(child) = self.set.daemon_child(index) {
            let status = child.wait_for_end(DRAIN_PATIENCE).await?;
            if !status.is_some_and(|status| status.success()) {
                let fault = format!("{} ended badly after SIGTERM: {status:?}", child.name());
                self.not_healed.push(fault);
            }
        }
        self.set.kill_daemon(index);
        self.set.start_daemon(index)
    }
}

fn find_alarms(set: &mut LabSet) -> Vec<String> {
    let mut alarms = Vec::new();
    for index in 0..set.daemons.len() {
        let Some(child) = set.daemon_child(index) else {
            continue;
        };
        let text = child.read_log().unwrap_or_default();
        let bad = text
            .lines()
            .filter(|line| line.contains("panicked at") || line.contains("event=invariant"));
        alarms.extend(bad.map(|line| format!("{}: {line}", child.name())));
    }
    alarms
}
