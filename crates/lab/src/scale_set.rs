//! A set of daemons without delays or fault relays, for measuring what a node costs.
//!
//! Each control VM stands behind two relays that count bytes: one for plain members, one for the
//! other control VMs. The kernel's counters of the loopback device would count the tests of
//! everybody else on the machine as well.

use crate::endpoint::EndpointSettings;
use crate::endpoint::LabEndpoint;
use crate::ports::pick_address;
use crate::process::ChildProcess;
use crate::relay::CutRelay;
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

/// The failure domains of the size in two years.
const DOMAINS: usize = 5;

/// The pause between two starts, so that a busy machine's processes don't all start at once.
const START_PAUSE: Duration = Duration::from_millis(20);

/// The pause between two looks.
pub(crate) const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// How long one look may take.
const LOOK_PATIENCE: Duration = Duration::from_secs(2);

/// How long the set may take to be ready.
const READY_PATIENCE: Duration = Duration::from_secs(120);

/// How long all processes together may take to end.
const END_PATIENCE: Duration = Duration::from_secs(30);

/// Instances of a group.
const INSTANCES: usize = 3;

/// Connections that an instance takes for each slot, as at the users' today.
const CONNECTIONS_PER_SLOT: u32 = 8;

/// The most processes that a run starts.
pub const MOST_VMS: usize = 200;

/// What to start.
#[derive(Clone, Debug)]
pub struct ScaleSettings {
    /// The folder of the binary `ragwortgated`.
    pub binaries: PathBuf,
    /// The VMs.
    pub vms: usize,
    /// The control VMs among them.
    pub control: usize,
    /// The groups, of three instances each, which run in this process.
    pub groups: usize,
    /// Statements that an instance runs at once.
    pub slots: u32,
    /// How long a statement takes at an instance.
    pub service: Duration,
    /// How long each phase is measured.
    pub phase: Duration,
    /// Milliseconds between a member's heartbeats.
    pub heartbeat_ms: u64,
    /// Milliseconds that a lease runs.
    pub lease_ms: u64,
    /// The step of the control VMs' clock, in milliseconds.
    pub tick_ms: u64,
    /// Keep the folder with logs.
    pub keep_folder: bool,
}

/// A daemon of the set.
#[derive(Debug)]
pub struct ScaleNode {
    /// The VM's name.
    pub vm: String,
    /// Where it answers other VMs and operators.
    pub peers: SocketAddr,
    /// Where callers connect.
    pub callers: SocketAddr,
    platform: SocketAddr,
    child: Option<ChildProcess>,
}

impl ScaleNode {
    /// Reads the process's use of the machine; `None` if it doesn't run.
    pub fn read_use(&self) -> Option<ProcessUse> {
        ProcessUse::read(self.child.as_ref()?.id()).ok()
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.child = None;
    }

    /// Says whether the process was started and not killed.
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }
}

/// A running set; dropping it kills all its processes.
#[derive(Debug)]
pub struct ScaleSet {
    /// What was started.
    pub settings: ScaleSettings,
    /// The daemons; control VMs first.
    pub nodes: Vec<ScaleNode>,
    folder: PathBuf,
    member_relays: Vec<CutRelay>,
    control_relays: Vec<CutRelay>,
    endpoints: Vec<LabEndpoint>,
}

impl ScaleSet {
    /// Starts everything and waits until each VM is ready and each group is placed.
    ///
    /// # Errors
    ///
    /// Returns the first [`SetFault`].
    pub async fn start(settings: ScaleSettings) -> Result<Self, SetFault> {
        if settings.vms > MOST_VMS || settings.control == 0 || settings.control > settings.vms {
            let reason = format!("1 to {MOST_VMS} VMs, at least one of them for control");
            return Err(SetFault::Refused(reason));
        }
        let folder = std::env::temp_dir().join(format!("ragwort-scale-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut set = Self {
            nodes: (0..settings.vms).map(lay_out_node).collect(),
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
        form_control(set.nodes[0].peers, READY_PATIENCE).await?;
        for index in control..set.nodes.len() {
            set.start_node(index)?;
            sleep(START_PAUSE).await;
        }
        set.wait_until_ready().await?;
        set.start_groups().await?;
        Ok(set)
    }

    /// Asks the first control VM for its view.
    ///
    /// # Errors
    ///
    /// Returns [`SetFault::Call`] if it doesn't answer.
    pub async fn look(&self) -> Result<NodeStatus, SetFault> {
        match timeout(LOOK_PATIENCE, ask_node_status(self.nodes[0].peers)).await {
            Ok(status) => Ok(status?),
            Err(_) => Err(SetFault::NotReady(vec![self.nodes[0].vm.clone()])),
        }
    }

    /// Looks until the first control VM's view is as wanted.
    ///
    /// # Errors
    ///
    /// Returns [`SetFault::NotWhole`] with what was wanted if it takes too long.
    pub async fn wait_for(
        &self,
        wanted: &str,
        is_reached: impl Fn(&NodeStatus) -> bool,
    ) -> Result<(), SetFault> {
        let end = Instant::now() + READY_PATIENCE;
        while Instant::now() < end {
            if self.look().await.is_ok_and(|status| is_reached(&status)) {
                return Ok(());
            }
            sleep(LOOK_PAUSE).await;
        }
        Err(SetFault::NotWhole(wanted.to_owned()))
    }

    /// Returns what plain members have exchanged with control VMs so far.
    pub fn member_traffic(&self) -> RelayTraffic {
        add_traffic(&self.member_relays)
    }

    /// Returns what control VMs have exchanged with each other so far.
    pub fn control_traffic(&self) -> RelayTraffic {
        add_traffic(&self.control_relays)
    }

    /// Returns where a group's primary takes statements, if it has one.
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

    /// Ends every process in good order.
    ///
    /// # Errors
    ///
    /// Returns [`SetFault::BadEnd`] with the processes that didn't exit with 0 in time.
    pub async fn stop(mut self) -> Result<(), SetFault> {
        let taken = self.nodes.iter_mut().map(|node| node.child.take());
        let mut children: Vec<ChildProcess> = taken.flatten().collect();
        // Members first: they leave the membership through control.
        children.reverse();
        for child in &mut children {
            child.terminate()?;
        }
        let end = Instant::now() + END_PATIENCE;
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
            let member_relay = CutRelay::start(node.peers, Duration::ZERO).await?;
            self.member_relays.push(member_relay);
            let control_relay = CutRelay::start(node.peers, Duration::ZERO).await?;
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
        given: SocketAddr,
    ) -> EndpointSettings {
        let name = group_name(group);
        EndpointSettings {
            group: name.as_str().into(),
            domain: domain_name(group + number).as_str().into(),
            announce: vec![given],
            slots: self.settings.slots,
            connections: self.settings.slots * CONNECTIONS_PER_SLOT,
            service_time: self.settings.service,
            ..EndpointSettings::quick(&format!("{name}-{}", number + 1), number == 0)
        }
    }

    async fn wait_until_ready(&self) -> Result<(), SetFault> {
        let end = Instant::now() + READY_PATIENCE;
        let mut waiting: Vec<&ScaleNode> = self.nodes.iter().collect();
        while !waiting.is_empty() {
            let mut unready = Vec::new();
            for node in waiting {
                if !matches!(
                    timeout(LOOK_PATIENCE, is_ready(node.platform)).await,
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
            sleep(LOOK_PAUSE).await;
        }
        Ok(())
    }

    async fn start_groups(&mut self) -> Result<(), SetFault> {
        for group in 0..self.settings.groups {
            for number in 0..INSTANCES {
                let given = self.nodes[(group + number) % self.nodes.len()].peers;
                let settings = self.describe_endpoint(group, number, given);
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
            // The folder may be gone already; what is left of it harms nobody.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn lay_out_node(index: usize) -> ScaleNode {
    ScaleNode {
        vm: format!("vm-{:03}", index + 1),
        peers: pick_address(),
        callers: pick_address(),
        platform: pick_address(),
        child: None,
    }
}

/// Returns the name of the group with this number, counted from zero.
pub fn group_name(number: usize) -> String {
    format!("group-{:03}", number + 1)
}

fn domain_name(number: usize) -> String {
    format!("domain-{}", number % DOMAINS + 1)
}

fn add_traffic(relays: &[CutRelay]) -> RelayTraffic {
    relays
        .iter()
        .map(CutRelay::traffic)
        .fold(RelayTraffic::default(), |sum, one| RelayTraffic {
            bytes: sum.bytes + one.bytes,
            reads: sum.reads + one.reads,
        })
}
