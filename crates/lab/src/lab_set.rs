//! A deployment as a set of local processes: daemons, and endpoints behind relays that inject
//! network faults and delays.

use crate::faults::FaultRequest;
use crate::lab_contract::build_contract;
use crate::lab_rpc::LabApiClient;
use crate::ports::pick_address;
use crate::process::ChildProcess;
use crate::relay::FaultRelay;
use crate::relay::RelayMode;
use crate::set_calls::SetFault;
use crate::set_calls::agent_client;
use crate::set_calls::apply_contract;
use crate::set_calls::form_control;
use crate::set_calls::is_ready;
use crate::sizes::SiteSize;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// The timeout of a status request to an agent or a daemon.
pub(crate) const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// The interval at which the set's status is polled.
pub(crate) const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The timeout for a process to end after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The settings of a set.
#[derive(Clone, Debug)]
pub struct SetSettings {
    /// The size of the site to start.
    pub size: SiteSize,
    /// The number of the site's groups to start.
    pub groups: usize,
    /// The folder with the binaries `ragwortgated`, `ragwortctl` and `ragwort-lab`.
    pub binaries: PathBuf,
    /// Whether to keep the folder with logs when the set is dropped.
    pub keep_folder: bool,
    /// The election timeout of the control VMs in ticks, if it isn't the default.
    pub election_ticks: Option<u64>,
}

/// A daemon of the set.
#[derive(Debug)]
pub struct DaemonNode {
    /// The name of the VM.
    pub vm: String,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other VMs and operators.
    pub peers: SocketAddr,
    /// The address of the platform port, which serves readiness and metrics.
    pub platform: SocketAddr,
    /// The address for statements from other VMs.
    pub statements: SocketAddr,
    /// The folder of the replicated control log, on a control VM.
    pub data_folder: Option<PathBuf>,
    settings_file: PathBuf,
    child: Option<ChildProcess>,
}

/// An endpoint of the set, behind two relays.
#[derive(Debug)]
pub struct EndpointNode {
    /// The name of the group.
    pub group: String,
    /// The name of the present instance; a restart loses all data and creates a new instance.
    pub instance: String,
    /// The agent's own address, which bypasses the relay.
    pub agent: SocketAddr,
    domain: &'static str,
    data: SocketAddr,
    data_relay: FaultRelay,
    agent_relay: FaultRelay,
    restarts: u32,
    child: Option<ChildProcess>,
}

/// A running set; dropping it kills all its processes.
#[derive(Debug)]
pub struct LabSet {
    settings: SetSettings,
    folder: PathBuf,
    /// The daemons; control VMs first.
    pub daemons: Vec<DaemonNode>,
    /// The endpoints, group by group.
    pub endpoints: Vec<EndpointNode>,
}

impl LabSet {
    /// Starts daemons and endpoints, forms the control group, waits until all daemons are ready,
    /// and applies the customer's contract.
    ///
    /// # Errors
    ///
    /// Returns the first [`SetFault`].
    pub async fn start(settings: SetSettings) -> Result<Self, SetFault> {
        let mut set = Self::start_processes(settings).await?;
        set.form().await?;
        set.wait_until_ready(Duration::from_secs(30)).await?;
        let contract = build_contract(
            set.settings.size.customer.into(),
            set.group_names().into_iter().map(Into::into).collect(),
        );
        apply_contract(set.daemons[0].peers, contract).await?;
        Ok(set)
    }

    /// Starts daemons and endpoints without forming control or applying a contract.
    ///
    /// # Errors
    ///
    /// Returns the first [`SetFault`].
    pub async fn start_processes(settings: SetSettings) -> Result<Self, SetFault> {
        let mut set = Self {
            folder: create_folder()?,
            settings,
            daemons: Vec::new(),
            endpoints: Vec::new(),
        };
        set.prepare_daemons()?;
        for index in 0..set.daemons.len() {
            set.start_daemon(index)?;
        }
        for group in set.group_names() {
            for number in 0..set.settings.size.instances {
                set.add_endpoint(group, number).await?;
            }
        }
        Ok(set)
    }

    /// Returns the size of the site.
    pub fn size(&self) -> &SiteSize {
        &self.settings.size
    }

    /// Returns the folder with logs, settings and data.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the names of the groups that were started.
    pub fn group_names(&self) -> Vec<&'static str> {
        let groups = &self.settings.size.groups;
        groups.iter().copied().take(self.settings.groups).collect()
    }

    /// Returns the daemons' addresses for callers.
    pub fn gateways(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.callers).collect()
    }

    /// Forms the initial voter set of the control VMs.
    ///
    /// # Errors
    ///
    /// Returns [`SetFault::Refused`] if it isn't formed within 20 s.
    pub async fn form(&mut self) -> Result<(), SetFault> {
        form_control(self.daemons[0].peers, Duration::from_secs(20)).await
    }

    /// Waits until all running daemons are ready.
    ///
    /// # Errors
    ///
    /// Returns [`SetFault::NotReady`] with the VMs that aren't ready after `max_wait`.
    pub async fn wait_until_ready(&mut self, max_wait: Duration) -> Result<(), SetFault> {
        let end = Instant::now() + max_wait;
        loop {
            let mut waiting = Vec::new();
            for daemon in self.daemons.iter().filter(|daemon| daemon.child.is_some()) {
                if !matches!(
                    timeout(STATUS_TIMEOUT, is_ready(daemon.platform)).await,
                    Ok(true)
                ) {
                    waiting.push(daemon.vm.clone());
                }
            }
            if waiting.is_empty() {
                return Ok(());
            }
            if Instant::now() >= end {
                return Err(SetFault::NotReady(waiting));
            }
            sleep(STATUS_POLL_INTERVAL).await;
        }
    }

    /// Starts a daemon that isn't running.
    ///
    /// # Errors
    ///
    /// Returns [`SetFault::Io`] if the process can't be started.
    pub fn start_daemon(&mut self, index: usize) -> Result<(), SetFault> {
        let program = self.settings.binaries.join("ragwortgated");
        let daemon = &mut self.daemons[index];
        let settings_file = daemon.settings_file.display().to_string();
        let arguments = ["--settings".to_owned(), settings_file];
        let child = ChildProcess::spawn(&daemon.vm, &program, &arguments, &self.folder)?;
        daemon.child = Some(child);
        Ok(())
    }

    /// Returns the process of a daemon, unless it was killed.
    pub fn daemon_child(&mut self, index: usize) -> Option<&mut ChildProcess> {
        self.daemons[index].child.as_mut()
    }

    /// Kills a daemon's process.
    pub fn kill_daemon(&mut self, index: usize) {
        self.daemons[index].child = None;
    }

    /// Deletes the data folder of a control VM, whose daemon must not be running.
    ///
    /// # Errors
    ///
    /// Returns [`SetFault::Io`] if the folder can't be deleted.
    pub fn delete_data(&mut self, index: usize) -> Result<(), SetFault> {
        let daemon = &self.daemons[index];
        if let Some(folder) = &daemon.data_folder
            && folder.exists()
        {
            fs::remove_dir_all(folder)?;
        }
        Ok(())
    }

    /// Returns the process of an endpoint, unless it was killed.
    pub fn endpoint_child(&mut self, index: usize) -> Option<&mut ChildProcess> {
        self.endpoints[index].child.as_mut()
    }

    /// Kills an endpoint's process, which loses its data, as the data is in memory only.
    pub fn kill_endpoint(&mut self, index: usize) {
        self.endpoints[index].child = None;
    }

    /// Starts an empty instance under a new name and with new addresses in place of an endpoint's
    /// present one, which is killed if it is still running.
    ///
    /// # Errors
    ///
    /// Returns [`SetFault::Io`] if the process or a relay can't be started.
    pub async fn replace_endpoint(&mut self, index: usize) -> Result<(), SetFault> {
        let delay = self.settings.size.domain_delay();
        let node = &mut self.endpoints[index];
        node.child = None;
        node.restarts += 1;
        let first_name = node
            .instance
            .split('.')
            .next()
            .unwrap_or_default()
            .to_owned();
        node.instance = format!("{first_name}.{}", node.restarts);
        (node.data, node.agent) = (pick_address(), pick_address());
        node.data_relay = FaultRelay::start(node.data, delay).await?;
        node.agent_relay = FaultRelay::start(node.agent, delay).await?;
        self.start_endpoint(index, false)
    }

    /// Partitions an endpoint from all other processes, or ends the partition. The endpoint's
    /// process keeps running meanwhile.
    pub async fn set_cut(&mut self, index: usize, cut: bool) {
        let node = &self.endpoints[index];
        let mode = match cut {
            true => RelayMode::Hang,
            false => RelayMode::Open,
        };
        node.data_relay.set_mode(mode);
        node.agent_relay.set_mode(mode);
        self.set_fault(index, FaultRequest::Isolate(cut)).await;
    }

    /// Silences the connections to an endpoint that are open now; see
    /// [`FaultRelay::silence_connections`].
    pub fn silence_connections(&self, index: usize) {
        self.endpoints[index].data_relay.silence_connections();
        self.endpoints[index].agent_relay.silence_connections();
    }

    /// Requests a fault from an endpoint. A failure is ignored, as the endpoint may not be running.
    pub async fn set_fault(&self, index: usize, fault: FaultRequest) {
        if let Ok(client) = agent_client(self.endpoints[index].agent) {
            let _ = timeout(STATUS_TIMEOUT, client.set_fault(fault)).await;
        }
    }

    /// Shuts all processes down gracefully.
    ///
    /// # Errors
    ///
    /// Returns [`SetFault::BadEnd`] with the processes that didn't exit with status 0 in time.
    pub async fn stop(mut self) -> Result<(), SetFault> {
        let daemons = self.daemons.iter_mut().map(|daemon| &mut daemon.child);
        let endpoints = self.endpoints.iter_mut().map(|node| &mut node.child);
        let mut faults = Vec::new();
        let mut children: Vec<ChildProcess> =
            daemons.chain(endpoints).filter_map(Option::take).collect();
        for child in &mut children {
            // A stopped process would not handle SIGTERM.
            let _ = child.thaw();
            if let Err(error) = child.terminate() {
                faults.push(format!("{}: {error}", child.name()));
            }
        }
        for child in &mut children {
            match child.wait_for_end(EXIT_TIMEOUT).await? {
                Some(status) if status.success() => {}
                Some(status) => faults.push(format!("{}: {status}", child.name())),
                None => faults.push(format!("{}: still running", child.name())),
            }
        }
        match faults.is_empty() {
            true => Ok(()),
            false => Err(SetFault::BadEnd(faults)),
        }
    }

    /// Assigns addresses to the daemons and writes their settings files; control VMs come first.
    fn prepare_daemons(&mut self) -> Result<(), SetFault> {
        let size = &self.settings.size;
        for number in 0..size.vms {
            let vm = format!("vm-{}", number + 1);
            let control = number < size.control_vms();
            self.daemons.push(DaemonNode {
                callers: pick_address(),
                peers: pick_address(),
                platform: pick_address(),
                statements: pick_address(),
                data_folder: control.then(|| self.folder.join(format!("{vm}-data"))),
                settings_file: self.folder.join(format!("{vm}.yaml")),
                vm,
                child: None,
            });
        }
        for (number, daemon) in self.daemons.iter().enumerate() {
            let text = self.write_settings(daemon, size.domain(number));
            fs::write(&daemon.settings_file, text)?;
        }
        Ok(())
    }

    /// Returns the text of a daemon's settings file.
    fn write_settings(&self, daemon: &DaemonNode, domain: &str) -> String {
        let control = daemon.data_folder.is_some();
        let mut text = format!(
            "vm: {}\ndomain: {domain}\nroles: {{ gateway: true, control: {control} }}\n\
             listen: {{ callers: {}, peers: {}, platform: {}, statements: {} }}\ncontrol:\n",
            daemon.vm, daemon.callers, daemon.peers, daemon.platform, daemon.statements,
        );
        for voter in &self.daemons[..self.settings.size.control_vms()] {
            text += &format!("  - {{ vm: {}, address: {} }}\n", voter.vm, voter.peers);
        }
        if let Some(folder) = &daemon.data_folder {
            text += &format!("data_folder: {}\n", folder.display());
        }
        if let Some(ticks) = self.settings.election_ticks {
            text += &format!("timing: {{ election_ticks: {ticks} }}\n");
        }
        text
    }

    async fn add_endpoint(&mut self, group: &str, number: usize) -> Result<(), SetFault> {
        let delay = self.settings.size.domain_delay();
        let (data, agent) = (pick_address(), pick_address());
        self.endpoints.push(EndpointNode {
            group: group.to_owned(),
            instance: format!("{group}-{}", number + 1),
            agent,
            domain: self.settings.size.domain(number),
            data,
            data_relay: FaultRelay::start(data, delay).await?,
            agent_relay: FaultRelay::start(agent, delay).await?,
            restarts: 0,
            child: None,
        });
        self.start_endpoint(self.endpoints.len() - 1, number == 0)
    }

    fn start_endpoint(&mut self, index: usize, primary: bool) -> Result<(), SetFault> {
        let size = &self.settings.size;
        let announce: Vec<String> = self
            .daemons
            .iter()
            .map(|daemon| daemon.peers.to_string())
            .collect();
        let node = &mut self.endpoints[index];
        let text = format!(
            "endpoint --group {} --instance {} --domain {} --data {} --agent {} \
             --advertise-data {} --advertise-agent {} --announce {} --slots {} --connections {} \
             --connect-ms {} --service-ms {} --lag-ms {}",
            node.group,
            node.instance,
            node.domain,
            node.data,
            node.agent,
            node.data_relay.address(),
            node.agent_relay.address(),
            announce.join(","),
            size.slots,
            size.connections,
            size.connect_ms,
            size.service_ms,
            size.replica_lag().as_millis(),
        );
        let mut arguments: Vec<String> = text.split_whitespace().map(str::to_owned).collect();
        if primary {
            arguments.push("--primary".to_owned());
        }
        let program = self.settings.binaries.join("ragwort-lab");
        let child = ChildProcess::spawn(&node.instance, &program, &arguments, &self.folder)?;
        node.child = Some(child);
        Ok(())
    }
}

impl Drop for LabSet {
    fn drop(&mut self) {
        self.daemons.clear();
        self.endpoints.clear();
        // The logs of a failed test are kept for diagnosis.
        let failed = std::thread::panicking();
        if !self.settings.keep_folder && !failed {
            // A failure is ignored: it leaves only temporary files behind.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn create_folder() -> Result<PathBuf, SetFault> {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("ragwort-lab-{}-{count}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder)?;
    Ok(folder)
}
