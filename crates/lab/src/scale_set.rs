//! A set of daemon processes without delays or faults, for measuring the cost of a node.
//!
//! Each control VM is behind two relays that count traffic: one for plain members, one for the
//! other control VMs. The kernel's counters of the loopback device are no alternative, as they
//! include the traffic of all other processes on the machine.

use crate::endpoint::EndpointSettings;
use crate::endpoint::LabEndpoint;
use crate::ports::pick_address;
use crate::process::ChildProcess;
use crate::relay::FaultRelay;
use crate::relay::RelayTraffic;
use crate::scale_process::ProcessUse;
use crate::set_calls::SetFault;
use crate::set_calls::ask_node_status;
use crate::set_calls::form_control;
use crate::set_calls::is_ready;
use ragwort_types::InstanceRole;
use ragwort_types::NodeStatus;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// The number of failure domains that the users expect in two years.
const DOMAINS: usize = 5;

/// The pause between starts of plain members, so that a busy machine doesn't start all processes at
/// once.
const START_PAUSE: Duration = Duration::from_millis(20);

/// The interval at which the set's status is polled.
pub(crate) const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The timeout of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout for the set to reach a required state.
const READY_TIMEOUT: Duration = Duration::from_secs(120);

/// The timeout for all processes together to end after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The number of instances of a group.
const INSTANCES: usize = 3;

/// The ratio between an instance's connections and slots, as at the users' present sites.
const CONNECTIONS_PER_SLOT: u32 = 8;

/// The maximum number of VMs, and thus of daemon processes.
pub const MAX_VMS: usize = 200;

/// The settings of a set.
#[derive(Clone, Debug)]
pub struct ScaleSettings {
    /// The folder with the binary `ragwortgated`.
    pub binaries: PathBuf,
    /// The number of VMs.
    pub vms: usize,
    /// The number of control VMs among them.
    pub control: usize,
    /// The number of groups, each of three instances that run in this process.
    pub groups: usize,
    /// The number of statements that an instance runs concurrently.
    pub slots: u32,
    /// The time that a statement takes at an instance.
    pub service_time: Duration,
    /// The duration of each measured phase.
    pub phase_time: Duration,
    /// The interval between a member's heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// The duration of a lease, in milliseconds.
    pub lease_ms: u64,
    /// The tick interval of the control VMs' clock, in milliseconds.
    pub tick_ms: u64,
    /// Whether to keep the folder with logs when the set is dropped.
    pub keep_folder: bool,
}

/// A daemon of the set.
#[derive(Debug)]
pub struct ScaleNode {
    /// The name of the VM.
    pub vm: String,
    /// The address for other VMs and operators.
    pub peers: SocketAddr,
    /// The address for callers.
    pub callers: SocketAddr,
    platform: SocketAddr,
    child: Option<ChildProcess>,
}

impl ScaleNode {
    /// Reads the resource use of the process; `None` if it isn't running.
    pub fn read_use(&self) -> Option<ProcessUse> {
        ProcessUse::read(self.child.as_ref()?.id()).ok()
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.child = None;
    }

    /// Returns whether the process was started and not killed.
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }
}

/// A running set; dropping it kills all its processes.
#[derive(Debug)]
pub struct ScaleSet {
    /// The settings that the set was started with.
    pub settings: ScaleSettings,
    /// The daemons; control VMs first.
    pub nodes: Vec<ScaleNode>,
    folder: PathBuf,
    member_relays: Vec<FaultRelay>,
    control_relays: Vec<FaultRelay>,
    endpoints: Vec<LabEndpoint>,
}

impl ScaleSet {
    /// Starts all processes and waits until all VMs are ready and all groups are placed.
    ///
    /// # Errors
    ///
    /// Returns the first [`SetFault`].
    pub async fn start(settings: ScaleSettings) -> Result<Self, SetFault> {
        if settings.vms > MAX_VMS || settings.control == 0 || settings.control > settings.vms {
            let reason = format!("expected 1 to {MAX_VMS} VMs, at least one of them a control VM");
            return Err(SetFault::Refused(reason));
        }
        let folder = std::env::temp_dir().join(format!("ragwort-scale-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut set = Self {
            nodes: (0..settings.vms).map(prepare_node).collect(),
            settings,
            folder,
            member_relays: Vec::new(),
            control_relays: Vec::new(),
            endpoints: Vec::new(),
        };
        set.start_relays().await?;
        let control = set.settings.control;
        for index in 0..control {
            set.start_node(index)?;
        }
        form_control(set.nodes[0].peers, READY_TIMEOUT).await?;
        for index in control..set.nodes.len() {
            set.start_node(index)?;
            sleep(START_PAUSE).await;
        }
        set.wait_until_ready().await?;
        set.start_groups().await?;
        Ok(set)
    }

    /// Returns the first control VM's view of the deployment.
    ///
    /// # Errors
    ///
    /// Returns [`SetFault::Call`] if the call fails, or [`SetFault::NotReady`] if it times out.
    pub async fn control_status(&self) -> Result<NodeStatus, SetFault> {
        match timeout(STATUS_TIMEOUT, ask_node_status(self.nodes[0].peers)).await {
            Ok(status) => Ok(status?),
            Err(_) => Err(SetFault::NotReady(vec![self.nodes[0].vm.clone()])),
        }
    }

    /// Waits until a condition holds for the first control VM's view.
    ///
    /// # Errors
    ///
    /// Returns [`SetFault::NotWhole`] with the description `condition` if it doesn't hold in time.
    pub async fn wait_for(
        &self,
        condition: &str,
        holds: impl Fn(&NodeStatus) -> bool,
    ) -> Result<(), SetFault> {
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            if self
                .control_status()
                .await
                .is_ok_and(|status| holds(&status))
            {
                return Ok(());
            }
            sleep(STATUS_POLL_INTERVAL).await;
        }
        Err(SetFault::NotWhole(condition.to_owned()))
    }

    /// Returns the traffic between plain members and control VMs so far.
    pub fn member_traffic(&self) -> RelayTraffic {
        add_traffic(&self.member_relays)
    }

    /// Returns the traffic between control VMs so far.
    pub fn control_traffic(&self) -> RelayTraffic {
        add_traffic(&self.control_relays)
    }

    /// Returns the data address of a group's primary, if it has one.
    pub fn primary_address(&self, group: usize) -> Option<SocketAddr> {
        let instances = self
            .endpoints
            .iter()
            .skip(group * INSTANCES)
            .take(INSTANCES);
        let mut primaries =
            instances.filter(|one| one.shared().instance.status().role == InstanceRole::Primary);
        primaries.next().map(LabEndpoint::data_address)
    }

    /// Shuts all processes down gracefully.
    ///
    /// # Errors
    ///
    /// Returns [`SetFault::BadEnd`] with the processes that didn't exit with status 0 in time.
    pub async fn stop(mut self) -> Result<(), SetFault> {
        let running = self.nodes.iter_mut().map(|node| node.child.take());
        let mut children: Vec<ChildProcess> = running.flatten().collect();
        // Plain members come first, as they need the control VMs to leave the membership.
        children.reverse();
        for child in &mut children {
            child.terminate()?;
        }
        let end = Instant::now() + EXIT_TIMEOUT;
        let mut faults = Vec::new();
        for child in &mut children {
            let left = end.saturating_duration_since(Instant::now());
            match child.wait_for_end(left).await? {
                Some(status) if status.success() => {}
                Some(status) => faults.push(format!("{}: {status}", child.name())),
                None => faults.push(format!("{}: still running", child.name())),
            }
        }
        for endpoint in std::mem::take(&mut self.endpoints) {
            endpoint.stop().await;
        }
        for relay in self
            .member_relays
            .drain(..)
            .chain(self.control_relays.drain(..))
        {
            relay.stop().await;
        }
        match faults.is_empty() {
            true => Ok(()),
            false => Err(SetFault::BadEnd(faults)),
        }
    }

    async fn start_relays(&mut self) -> Result<(), SetFault> {
        for node in &self.nodes[..self.settings.control] {
            let member_relay = FaultRelay::start(node.peers, Duration::ZERO).await?;
            self.member_relays.push(member_relay);
            let control_relay = FaultRelay::start(node.peers, Duration::ZERO).await?;
            self.control_relays.push(control_relay);
        }
        Ok(())
    }

    fn start_node(&mut self, index: usize) -> Result<(), SetFault> {
        let file = self.folder.join(format!("{}.yaml", self.nodes[index].vm));
        fs::write(&file, self.write_settings(index))?;
        let arguments = ["--settings".to_owned(), file.display().to_string()];
        let program = self.settings.binaries.join("ragwortgated");
        let node = &mut self.nodes[index];
        let child = ChildProcess::spawn(&node.vm, &program, &arguments, &self.folder)?;
        node.child = Some(child);
        Ok(())
    }

    /// Returns the text of a daemon's settings file.
    fn write_settings(&self, index: usize) -> String {
        let node = &self.nodes[index];
        let is_control = index < self.settings.control;
        let mut text = format!(
            "vm: {}\ndomain: {}\nroles: {{ gateway: true, control: {is_control} }}\n\
             listen: {{ callers: {}, peers: {}, platform: {} }}\n\
             timing: {{ heartbeat_ms: {}, lease_ms: {}, tick_ms: {} }}\ncontrol:\n",
            node.vm,
            domain_name(index),
            node.callers,
            node.peers,
            node.platform,
            self.settings.heartbeat_ms,
            self.settings.lease_ms,
            self.settings.tick_ms,
        );
        for other in 0..self.settings.control {
            let address = match other {
                _ if other == index => node.peers,
                _ if is_control => self.control_relays[other].address(),
                _ => self.member_relays[other].address(),
            };
            text += &format!(
                "  - {{ vm: {}, address: {address} }}\n",
                self.nodes[other].vm
            );
        }
        if is_control {
            let folder = self.folder.join(format!("{}-data", node.vm));
            text += &format!("data_folder: {}\n", folder.display());
        }
        text
    }

    fn describe_endpoint(
        &self,
        group: usize,
        number: usize,
        daemon_address: SocketAddr,
    ) -> EndpointSettings {
        let name = group_name(group);
        EndpointSettings {
            group: name.as_str().into(),
            domain: domain_name(group + number).as_str().into(),
            announce: vec![daemon_address],
            slots: self.settings.slots,
            connections: self.settings.slots * CONNECTIONS_PER_SLOT,
            service_time: self.settings.service_time,
            ..EndpointSettings::quick(&format!("{name}-{}", number + 1), number == 0)
        }
    }

    async fn wait_until_ready(&self) -> Result<(), SetFault> {
        let end = Instant::now() + READY_TIMEOUT;
        let mut waiting: Vec<&ScaleNode> = self.nodes.iter().collect();
        while !waiting.is_empty() {
            let mut unready = Vec::new();
            for node in waiting {
                if !matches!(
                    timeout(STATUS_TIMEOUT, is_ready(node.platform)).await,
                    Ok(true)
                ) {
                    unready.push(node);
                }
            }
            if !unready.is_empty() && Instant::now() >= end {
                let names = unready.iter().map(|node| node.vm.clone());
                return Err(SetFault::NotReady(names.collect()));
            }
            waiting = unready;
            sleep(STATUS_POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn start_groups(&mut self) -> Result<(), SetFault> {
        for group in 0..self.settings.groups {
            for number in 0..INSTANCES {
                let daemon_address = self.nodes[(group + number) % self.nodes.len()].peers;
                let settings = self.describe_endpoint(group, number, daemon_address);
                self.endpoints.push(LabEndpoint::start(&settings).await?);
            }
        }
        let groups = self.settings.groups;
        self.wait_for(
            "every group has a primary and all its instances",
            |status| {
                let whole = status
                    .groups
                    .iter()
                    .filter(|group| group.primary.is_some() && group.instances.len() == INSTANCES);
                whole.count() == groups
            },
        )
        .await
    }
}

impl Drop for ScaleSet {
    fn drop(&mut self) {
        self.nodes.clear();
        if !self.settings.keep_folder {
            // A failure is ignored: it leaves only temporary files behind.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn prepare_node(index: usize) -> ScaleNode {
    ScaleNode {
        vm: format!("vm-{:03}", index + 1),
        peers: pick_address(),
        callers: pick_address(),
        platform: pick_address(),
        child: None,
    }
}

/// Returns the name of the group with this index, counted from 0.
pub fn group_name(number: usize) -> String {
    format!("group-{:03}", number + 1)
}

fn domain_name(number: usize) -> String {
    format!("domain-{}", number % DOMAINS + 1)
}

fn add_traffic(relays: &[FaultRelay]) -> RelayTraffic {
    relays
        .iter()
        .map(FaultRelay::traffic)
        .fold(RelayTraffic::default(), |sum, one| RelayTraffic {
            bytes: sum.bytes + one.bytes,
            reads: sum.reads + one.reads,
        })
}
