//! The daemon's settings, read from one YAML file at start.
//!
//! Unknown settings and invalid values are refused, and all of them are reported at once. Only a
//! text that isn't valid YAML is reported with a single fault, because the parser stops there.

use crate::settings_tree::SectionReader;
use crate::settings_tree::TreeNode;
use crate::settings_tree::TreeValue;
use crate::settings_tree::parse_tree;
use log::LevelFilter;
use ragwort_types::DomainName;
use ragwort_types::VmName;
use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

pub use crate::settings_tree::SettingFault;

/// The maximum number of control VMs in a system.
pub const MAX_CONTROL_VMS: usize = 7;

/// The minimum number of heartbeats in a lease.
///
/// With fewer, one lost packet followed by a late one would end the lease of a healthy VM, and its
/// groups would move without need.
const MIN_HEARTBEATS_IN_LEASE: u64 = 3;

const HOUR_MS: u64 = 3_600_000;

/// The settings of one daemon.
///
/// # Examples
///
/// ```
/// use ragwortgated::settings::DaemonSettings;
///
/// let text = "
/// vm: vm-1
/// domain: windhoek-a
/// roles: { gateway: true }
/// listen: { callers: 127.0.0.1:6432, peers: 127.0.0.1:7432, platform: 127.0.0.1:8432 }
/// control:
///   - { vm: vm-2, address: 127.0.0.2:7432 }
/// ";
/// let settings = DaemonSettings::from_yaml(text).unwrap();
/// assert_eq!(settings.timing.lease_ms, 1000);
///
/// let faults = DaemonSettings::from_yaml("vm: vm-1\nport: 5432").unwrap_err();
/// assert!(faults.iter().any(|fault| fault.line == 2));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// The VM's name, unique in the system.
    pub vm: VmName,
    /// The VM's failure domain.
    pub domain: DomainName,
    /// The daemon's roles.
    pub roles: RoleSettings,
    /// The addresses on which the daemon listens.
    pub listen: ListenSettings,
    /// The control VMs, if an operator lists them and forms the voter set.
    pub control: Vec<ControlAddress>,
    /// How the control VMs find one another, if they aren't listed.
    pub formation: Option<FormationSettings>,
    /// The folder in which a control VM keeps its files.
    pub data_folder: Option<PathBuf>,
    /// Intervals and time-outs.
    pub timing: TimingSettings,
    /// Limits that protect the daemon itself.
    pub limits: LimitSettings,
    /// Settings of the log.
    pub log: LogSettings,
}

/// The roles of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleSettings {
    /// Whether it accepts callers' connections.
    pub gateway: bool,
    /// Whether it holds the replicated log.
    pub control: bool,
    /// Whether it may lead groups.
    pub leaseholder: bool,
}

/// How control VMs that aren't listed find one another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormationSettings {
    /// Peer addresses of some control VMs; some may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time. Only then may a voter set be formed
    /// without an operator.
    pub first_start: bool,
    /// The minimum number of voters in a voter configuration.
    pub least_voters: usize,
}

/// The addresses on which a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// For callers; required on a gateway.
    pub callers: Option<SocketAddr>,
    /// For other VMs, endpoints' agents and operators.
    pub peers: SocketAddr,
    /// For the platform: readiness, metrics, dump.
    pub platform: SocketAddr,
    /// For gateways' statements in compact frames; without it they arrive as remote calls.
    pub statements: Option<SocketAddr>,
}

/// A control VM and its peer address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlAddress {
    /// The VM.
    pub vm: VmName,
    /// Its address for other VMs.
    pub address: SocketAddr,
}

/// Intervals and time-outs, in milliseconds or in ticks of `tick_ms`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimingSettings {
    /// The interval at which a member renews its lease.
    pub heartbeat_ms: u64,
    /// The length of a lease, from the moment at which its renewal was sent.
    pub lease_ms: u64,
    /// The length of a tick of the control VMs' logical clock.
    pub tick_ms: u64,
    /// The minimum silence of a control leader before another VM stands for election, in ticks.
    pub election_ticks: u64,
    /// The interval of the control leader's heartbeats to its followers, in ticks.
    pub agreement_heartbeat_ticks: u64,
    /// The time limit for the answer to a probe.
    pub probe_timeout_ms: u64,
    /// The time without an announcement after which an endpoint is taken out of use.
    pub announce_lost_ms: u64,
    /// The idle time after which a connection is pinged.
    pub idle_ping_ms: u64,
    /// The time without a statement after which a transaction is ended.
    pub idle_transaction_ms: u64,
    /// The time for which callers are still accepted at shutdown after the VM has reported that it
    /// isn't ready.
    pub drain_notice_ms: u64,
    /// The time limit for work in flight at shutdown.
    pub drain_ms: u64,
    /// The time limit for opening a connection.
    pub connect_timeout_ms: u64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 200,
            lease_ms: 1_000,
            tick_ms: 20,
            election_ticks: 10,
            agreement_heartbeat_ticks: 2,
            probe_timeout_ms: 150,
            announce_lost_ms: 1_500,
            idle_ping_ms: 1_000,
            idle_transaction_ms: 60_000,
            // Balancers commonly probe once a second.
            drain_notice_ms: 500,
            drain_ms: 10_000,
            connect_timeout_ms: 1_000,
        }
    }
}

/// Limits that protect the daemon itself; the limits of callers are in their contracts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// The maximum number of open connections of callers.
    pub connections: u64,
    /// The maximum length of a caller's message, in bytes.
    pub message_bytes: u64,
    /// The time limit for a caller's start-up, in milliseconds.
    pub startup_ms: u64,
    /// The time limit for a message from its first byte to its last, and for a caller to receive an
    /// answer, in milliseconds.
    pub statement_ms: u64,
    /// Operations of an account beyond its limit that are tolerated within a span, over all VMs.
    /// They are used while a ledger doesn't know what was lent; with none, callers may wait or be
    /// refused meanwhile.
    pub account_slack: u64,
    /// The same tolerance as a fraction of what the limit allows, in thousandths.
    pub account_overshoot: u64,
    /// The file descriptors that the process may hold; zero for the system's limit.
    pub descriptors: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            connections: 20_000,
            message_bytes: 1_048_576,
            startup_ms: 5_000,
            statement_ms: 10_000,
            account_slack: 0,
            account_overshoot: 0,
            descriptors: 0,
        }
    }
}

/// Settings of the daemon's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The least severe level that is written.
    pub level: LevelFilter,
    /// The file; `None` for standard output.
    pub file: Option<PathBuf>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            file: None,
        }
    }
}

impl DaemonSettings {
    /// Returns the seeds of the formation; none if an operator lists the control VMs.
    pub fn seeds(&self) -> &[SocketAddr] {
        self.formation
            .as_ref()
            .map_or(&[], |formation| &formation.seeds)
    }

    /// Says whether this VM may take part in forming a voter set without an operator.
    pub fn is_first_start(&self) -> bool {
        self.formation
            .as_ref()
            .is_some_and(|formation| formation.first_start)
    }

    /// Returns the minimum number of voters in a voter configuration.
    pub fn least_voters(&self) -> usize {
        self.formation
            .as_ref()
            .map_or(1, |formation| formation.least_voters)
    }

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns every fault found; a file that can't be read is one fault without a position.
    pub fn read_file(path: &Path) -> Result<Self, Vec<SettingFault>> {
        let text = fs::read_to_string(path).map_err(|error| {
            let message = format!("{}: {error}", path.display());
            vec![SettingFault::without_position(message)]
        })?;
        Self::from_yaml(&text)
    }

    /// Reads settings from YAML text.
    ///
    /// # Errors
    ///
    /// Returns every fault found, in the order of the file.
    pub fn from_yaml(text: &str) -> Result<Self, Vec<SettingFault>> {
        let tree = parse_tree(text).map_err(|fault| vec![fault])?;
        let mut faults = Vec::new();
        let settings = read_settings(tree, &mut faults);
        faults.sort_by_key(|fault| (fault.line, fault.column));
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(faults),
        }
    }
}

fn read_settings(tree: TreeNode, faults: &mut Vec<SettingFault>) -> Option<DaemonSettings> {
    let mut root = SectionReader::new("", tree);
    let vm = take_name(&mut root, "vm", "a VM's name");
    let domain = take_name(&mut root, "domain", "a failure domain's name");
    let roles = read_roles(root.take_required_section("roles"), faults);
    let listen = read_listen(root.take_required_section("listen"), roles, faults);
    let formation = root
        .take_section("formation")
        .map(|section| read_formation(section, faults));
    let control = read_control(&mut root, formation.is_some(), faults);
    let data_folder = take_path(&mut root, "data_folder");
    let timing = read_timing(root.take_optional_section("timing"), faults);
    let limits = read_limits(root.take_optional_section("limits"), faults);
    let log = read_log(root.take_optional_section("log"), faults);
    if roles.control && data_folder.is_none() {
        let message = "data_folder: expected a folder, because roles.control is true".to_owned();
        root.add_fault(root.location(), message);
    }
    if let (Some(vm), Some(listen), None) = (&vm, &listen, &formation) {
        check_own_control_address(&mut root, vm, roles, listen, &control);
    }
    faults.extend(root.finish());
    Some(DaemonSettings {
        vm: VmName::from(vm?),
        domain: DomainName::from(domain?),
        roles,
        listen: listen?,
        control,
        formation,
        data_folder,
        timing,
        limits,
        log,
    })
}

fn take_name(section: &mut SectionReader, key: &'static str, expected: &str) -> Option<String> {
    let plain = |letter: char| letter.is_ascii_alphanumeric() || matches!(letter, '-' | '_' | '.');
    let name = section.take_required::<String>(key, expected)?;
    if name.value.is_empty() || !name.value.chars().all(plain) {
        let message =
            format!("{key}: expected {expected} of letters, digits, `-`, `_` and `.` only");
        section.add_fault(name.referenced, message);
        return None;
    }
    Some(name.value)
}

fn take_path(section: &mut SectionReader, key: &'static str) -> Option<PathBuf> {
    let path = section.take_scalar::<PathBuf>(key, "a path")?;
    Some(path.value)
}

fn take_flag(section: &mut SectionReader, key: &'static str, default: bool) -> bool {
    section
        .take_scalar::<bool>(key, "true or false")
        .map_or(default, |flag| flag.value)
}

fn read_roles(mut section: SectionReader, faults: &mut Vec<SettingFault>) -> RoleSettings {
    let roles = RoleSettings {
        gateway: take_flag(&mut section, "gateway", false),
        control: take_flag(&mut section, "control", false),
        leaseholder: take_flag(&mut section, "leaseholder", true),
    };
    faults.extend(section.finish());
    roles
}

fn read_formation(mut section: SectionReader, faults: &mut Vec<SettingFault>) -> FormationSettings {
    let mut seeds = Vec::new();
    for node in section.take_list("seeds") {
        let location = node.referenced;
        let address = match node.value {
            TreeValue::Scalar(text) => text.parse().ok(),
            TreeValue::Empty | TreeValue::List(_) | TreeValue::Map(_) => None,
        };
        match address {
            Some(address) => seeds.push(address),
            None => section.add_fault(
                location,
                "formation.seeds: expected IP addresses with ports".to_owned(),
            ),
        }
    }
    let max = MAX_CONTROL_VMS as u64;
    let settings = FormationSettings {
        seeds,
        first_start: take_flag(&mut section, "first_start", false),
        least_voters: section.take_number("least_voters", 1, 1..=max) as usize,
    };
    faults.extend(section.finish());
    settings
}

fn read_listen(
    mut section: SectionReader,
    roles: RoleSettings,
    faults: &mut Vec<SettingFault>,
) -> Option<ListenSettings> {
    const EXPECTED: &str = "an IP address and a port, such as 127.0.0.1:6432";
    let callers = match roles.gateway {
        true => section.take_required::<SocketAddr>("callers", EXPECTED),
        false => section.take_scalar::<SocketAddr>("callers", EXPECTED),
    };
    let complete = callers.is_some() || !roles.gateway;
    let peers = section.take_required::<SocketAddr>("peers", EXPECTED);
    let platform = section.take_required::<SocketAddr>("platform", EXPECTED);
    let statements = section.take_scalar::<SocketAddr>("statements", EXPECTED);
    let mut seen = BTreeSet::new();
    for (key, address) in [
        ("callers", &callers),
        ("peers", &peers),
        ("platform", &platform),
        ("statements", &statements),
    ] {
        let Some(address) = address else { continue };
        if address.value.port() != 0 && !seen.insert(address.value) {
            let message = format!("listen.{key}: expected an address that isn't used above");
            section.add_fault(address.referenced, message);
        }
    }
    faults.extend(section.finish());
    if !complete {
        return None;
    }
    Some(ListenSettings {
        callers: callers.map(|address| address.value),
        peers: peers?.value,
        platform: platform?.value,
        statements: statements.map(|address| address.value),
    })
}

fn read_control(
    root: &mut SectionReader,
    formed_by_seeds: bool,
    faults: &mut Vec<SettingFault>,
) -> Vec<ControlAddress> {
    let nodes = root.take_list("control");
    let count = nodes.len();
    let missing = count == 0 && !formed_by_seeds;
    if missing || count > MAX_CONTROL_VMS {
        let message =
            format!("control: expected 1 to {MAX_CONTROL_VMS} control VMs, found {count}");
        root.add_fault(root.location(), message);
    }
    let mut addresses: Vec<ControlAddress> = Vec::new();
    for node in nodes {
        let mut section = SectionReader::new("control", node);
        let vm = section.take_required::<String>("vm", "a VM's name");
        let address = section.take_required::<SocketAddr>("address", "an IP address and a port");
        if let (Some(vm), Some(address)) = (vm, address) {
            let vm_name = VmName::from(vm.value);
            if addresses.iter().any(|other| other.vm == vm_name) {
                let message = format!("control.vm: expected each VM once, found {vm_name} again");
                section.add_fault(vm.referenced, message);
            }
            if addresses.iter().any(|other| other.address == address.value) {
                let message = "control.address: expected each address once".to_owned();
                section.add_fault(address.referenced, message);
            }
            addresses.push(ControlAddress {
                vm: vm_name,
                address: address.value,
            });
        }
        faults.extend(section.finish());
    }
    addresses
}

fn check_own_control_address(
    root: &mut SectionReader,
    vm: &str,
    roles: RoleSettings,
    listen: &ListenSettings,
    control: &[ControlAddress],
) {
    let listed = control.iter().find(|other| other.vm.as_str() == vm);
    let message = match (roles.control, listed) {
        (true, None) => {
            format!("control: expected {vm} in the list, because roles.control is true")
        }
        (false, Some(_)) => {
            format!("control: expected only control VMs, but roles.control is false on {vm}")
        }
        (true, Some(own)) if !reaches(own.address, listen.peers) => format!(
            "control: expected {vm} under its listen.peers address {}, found {}",
            listen.peers, own.address
        ),
        (true, Some(_)) | (false, None) => return,
    };
    root.add_fault(root.location(), message);
}

/// Says whether a connection to `address` reaches a listener on `listener`.
fn reaches(address: SocketAddr, listener: SocketAddr) -> bool {
    address.port() == listener.port()
        && (listener.ip().is_unspecified() || address.ip() == listener.ip())
}

fn read_timing(mut section: SectionReader, faults: &mut Vec<SettingFault>) -> TimingSettings {
    let default = TimingSettings::default();
    let minute = 1..=60_000;
    let timing = TimingSettings {
        heartbeat_ms: section.take_number("heartbeat_ms", default.heartbeat_ms, minute.clone()),
        lease_ms: section.take_number("lease_ms", default.lease_ms, minute.clone()),
        tick_ms: section.take_number("tick_ms", default.tick_ms, 1..=1_000),
        election_ticks: section.take_number("election_ticks", default.election_ticks, 3..=1_000),
        agreement_heartbeat_ticks: section.take_number(
            "agreement_heartbeat_ticks",
            default.agreement_heartbeat_ticks,
            1..=1_000,
        ),
        probe_timeout_ms: section.take_number(
            "probe_timeout_ms",
            default.probe_timeout_ms,
            minute.clone(),
        ),
        announce_lost_ms: section.take_number(
            "announce_lost_ms",
            default.announce_lost_ms,
            minute.clone(),
        ),
        idle_ping_ms: section.take_number("idle_ping_ms", default.idle_ping_ms, minute.clone()),
        idle_transaction_ms: section.take_number(
            "idle_transaction_ms",
            default.idle_transaction_ms,
            1..=HOUR_MS,
        ),
        drain_notice_ms: section.take_number(
            "drain_notice_ms",
            default.drain_notice_ms,
            0..=HOUR_MS,
        ),
        drain_ms: section.take_number("drain_ms", default.drain_ms, 1..=HOUR_MS),
        connect_timeout_ms: section.take_number(
            "connect_timeout_ms",
            default.connect_timeout_ms,
            minute,
        ),
    };
    check_timing(&mut section, timing);
    faults.extend(section.finish());
    timing
}

fn check_timing(section: &mut SectionReader, timing: TimingSettings) {
    let min_lease_ms = timing.heartbeat_ms * MIN_HEARTBEATS_IN_LEASE;
    if timing.lease_ms < min_lease_ms {
        let message = format!(
            "timing.lease_ms: expected at least {MIN_HEARTBEATS_IN_LEASE} heartbeats \
             ({min_lease_ms}), found {}",
            timing.lease_ms
        );
        section.add_fault(section.location(), message);
    }
    if timing.agreement_heartbeat_ticks * 2 > timing.election_ticks {
        let message = format!(
            "timing.agreement_heartbeat_ticks: expected at most half of election_ticks ({}), \
             found {}",
            timing.election_ticks, timing.agreement_heartbeat_ticks
        );
        section.add_fault(section.location(), message);
    }
}

fn read_limits(mut section: SectionReader, faults: &mut Vec<SettingFault>) -> LimitSettings {
    let default = LimitSettings::default();
    let limits = LimitSettings {
        connections: section.take_number("connections", default.connections, 1..=1_000_000),
        message_bytes: section.take_number(
            "message_bytes",
            default.message_bytes,
            1_024..=1_073_741_824,
        ),
        startup_ms: section.take_number("startup_ms", default.startup_ms, 1..=HOUR_MS),
        statement_ms: section.take_number("statement_ms", default.statement_ms, 1..=HOUR_MS),
        account_slack: section.take_number("account_slack", default.account_slack, 0..=1_000_000),
        account_overshoot: take_per_mille(&mut section, "account_overshoot"),
        descriptors: section.take_number("descriptors", default.descriptors, 0..=1_000_000_000),
    };
    faults.extend(section.finish());
    limits
}

/// Takes a fraction between zero and one, in thousandths; zero if it's absent.
fn take_per_mille(section: &mut SectionReader, key: &'static str) -> u64 {
    let expected = "a number from 0 to 1";
    let Some(fraction) = section.take_scalar::<f64>(key, expected) else {
        return 0;
    };
    if !(0.0..=1.0).contains(&fraction.value) {
        let message = format!(
            "limits.{key}: expected {expected}, found {}",
            fraction.value
        );
        section.add_fault(fraction.referenced, message);
        return 0;
    }
    (fraction.value * 1_000.0) as u64
}

fn read_log(mut section: SectionReader, faults: &mut Vec<SettingFault>) -> LogSettings {
    let default = LogSettings::default();
    let level = section
        .take_scalar::<LevelFilter>("level", "off, error, warn, info, debug or trace")
        .map_or(default.level, |level| level.value);
    let file = take_path(&mut section, "file");
    faults.extend(section.finish());
    LogSettings { level, file }
}
