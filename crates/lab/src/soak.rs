//! A soak test: random faults against real processes under load, with the consistency check of
//! [`crate::oracle`].
//!
//! The seed determines the random draws of faults and load. Runs with the same seed still differ in
//! detail, as the processes' timing isn't controlled.

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

/// The timeout for the group to be whole again after a fault.
const WHOLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The timeout for the daemons to be ready again after a fault.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// The timeout for a daemon to end after SIGTERM.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);

/// The time for which the load continues after the last fault has ended.
const QUIET_END: Duration = Duration::from_secs(5);

/// A replication lag, in milliseconds, longer than the age that the load's status reads accept
/// ([`crate::lab_contract::STATUS_AGE_MS`]).
const LONG_LAG_MS: u64 = 2_500;

/// The factor by which the service times of a slow endpoint are multiplied.
const SLOW_FACTOR: u32 = 25;

/// The settings of a soak.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakSettings {
    /// The seed of the load and of the faults.
    pub seed: u64,
    /// The duration of the fault injection.
    pub duration: Duration,
    /// The number of requests per second.
    pub rate: f64,
}

/// A fault, with the index of the endpoint or daemon that it affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// The endpoint is killed and replaced by an empty instance.
    KillEndpoint(usize),
    /// The endpoint shuts down gracefully and is replaced by an empty instance.
    LeaveEndpoint(usize),
    /// The endpoint is frozen and thawed.
    FreezeEndpoint(usize),
    /// The endpoint is partitioned from all other processes for some time.
    CutEndpoint(usize),
    /// The endpoint's open connections become silent for good.
    ForgetConnections(usize),
    /// The endpoint is slow for some time.
    SlowEndpoint(usize),
    /// The replica fetches no log entries for some time.
    CutReplication(usize),
    /// The replica lags for some time.
    LagReplica(usize),
    /// The daemon is killed and restarted.
    KillDaemon(usize),
    /// The daemon shuts down gracefully and is restarted.
    DrainDaemon(usize),
    /// The daemon is frozen and thawed.
    FreezeDaemon(usize),
    /// The daemon of a control VM is killed and restarted without its data folder.
    LoseControlData(usize),
}

/// The report of a soak.
#[derive(Debug)]
pub struct SoakReport {
    /// The injected faults, in order.
    pub faults: Vec<SoakFault>,
    /// The load's report, including violated consistency guarantees.
    pub load: LoadReport,
    /// The lines of the daemons' logs that report a violated invariant or a panic.
    pub alarms: Vec<String>,
    /// Descriptions of the faults after which the set wasn't whole and ready in time, or a daemon
    /// didn't shut down cleanly.
    pub not_healed: Vec<String>,
}

impl SoakReport {
    /// Returns whether there were no violations, no alarms and no timeouts.
    pub fn is_clean(&self) -> bool {
        self.load.violations.is_empty() && self.alarms.is_empty() && self.not_healed.is_empty()
    }
}

/// Runs a soak against a running set.
///
/// # Errors
///
/// Returns a [`SetFault`] if a process can't be started, frozen or terminated.
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
    let (load, driver_outcome) = tokio::join!(run_load(&load, &stop), async {
        let driver_outcome = driver.run(Instant::now() + settings.duration).await;
        sleep(QUIET_END).await;
        stop.set();
        driver_outcome
    });
    driver_outcome?;
    let (faults, not_healed) = (driver.faults, driver.not_healed);
    Ok(SoakReport {
        faults,
        not_healed,
        load,
        alarms: find_alarms(set),
    })
}

/// Draws faults, injects them and waits for the recovery.
struct FaultDriver<'a> {
    set: &'a mut LabSet,
    group: &'static str,
    random: StdRng,
    faults: Vec<SoakFault>,
    not_healed: Vec<String>,
}

impl FaultDriver<'_> {
    /// Injects one fault of an endpoint, one of a daemon, or both at a time, until the given time.
    async fn run(&mut self, end: Instant) -> Result<(), SetFault> {
        while Instant::now() < end {
            self.wait_until_healed(None).await;
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
            self.wait_until_healed(self.faults.last().copied()).await;
            let pause = self.random.random_range(200..1_500);
            sleep(Duration::from_millis(pause)).await;
        }
        Ok(())
    }

    /// Waits until the set is ready and the group whole, and records a timeout. The next fault must
    /// not come earlier: if two instances lose their data at the same time, acknowledged writes are
    /// lost whatever the proxy does.
    async fn wait_until_healed(&mut self, after: Option<SoakFault>) {
        let ready = self.set.wait_until_ready(READY_TIMEOUT).await;
        let whole = self.set.wait_until_whole(self.group, WHOLE_TIMEOUT).await;
        for fault in [ready.err(), whole.err()].into_iter().flatten() {
            log::warn!("event=soak_not_healed after={after:?} seen=\"{fault}\"");
            self.not_healed.push(format!("after {after:?}: {fault}"));
        }
    }

    async fn pick_endpoint_fault(&mut self) -> SoakFault {
        let endpoints = self.set.endpoints_of(self.group);
        let primary = self.set.find_primary(self.group).await;
        let any = endpoints[self.random.random_range(0..endpoints.len())];
        // Faults of the primary test most of the failover code, so it is selected half of the time.
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
            SoakFault::ForgetConnections(index) => self.set.silence_connections(index),
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
                self.set.delete_data(index)?;
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

    /// Waits until the draining daemon has ended, records an unsuccessful exit or a timeout, and
    /// restarts the daemon.
    async fn end_drain(&mut self, index: usize) -> Result<(), SetFault> {
        if let Some(child) = self.set.daemon_child(index) {
            let status = child.wait_for_end(DRAIN_TIMEOUT).await?;
            if !status.is_some_and(|status| status.success()) {
                let fault = format!(
                    "{} did not exit cleanly after SIGTERM: {status:?}",
                    child.name()
                );
                self.not_healed.push(fault);
            }
        }
        self.set.kill_daemon(index);
        self.set.start_daemon(index)
    }
}

/// Returns the lines of the daemons' logs that report a panic or a violated invariant.
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
