//! Measures the processor time, memory and control traffic of each node role, and the latency of
//! contract changes and of removing a dead VM, on real processes.

use crate::lab_contract::build_contract;
use crate::relay::RelayTraffic;
use crate::scale_process::ProcessUse;
use crate::scale_report::NodeRole;
use crate::scale_report::PhaseReport;
use crate::scale_report::RoleUse;
use crate::scale_report::ScalePhase;
use crate::scale_report::ScaleReport;
use crate::scale_report::TimeList;
use crate::scale_set::STATUS_POLL_INTERVAL;
use crate::scale_set::ScaleSet;
use crate::scale_set::ScaleSettings;
use crate::scale_set::group_name;
use crate::set_calls::SetFault;
use crate::set_calls::agent_client;
use jsonrpsee_http_client::HttpClient;
use ragwort_rpc::OperatorApiClient;
use ragwort_types::CatalogOutcome;
use ragwort_types::ChangeId;
use ragwort_types::CommandReply;
use ragwort_types::ContractChange;
use ragwort_types::ContractVersion;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::sleep;

/// The interval between contract changes: 38 times the rate of 2,300 changes a day.
const CHANGE_PERIOD: Duration = Duration::from_secs(1);

/// The time to let the set settle before a phase is measured.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// The number of VMs that are killed, one after the other.
const KILLED_VMS: usize = 3;

/// Starts a set, measures it idle, under contract changes and after killed VMs, and stops it.
///
/// # Errors
///
/// Returns the first [`SetFault`].
pub async fn measure_scale(settings: ScaleSettings) -> Result<ScaleReport, SetFault> {
    let began = Instant::now();
    let mut set = ScaleSet::start(settings).await?;
    let ready_seconds = began.elapsed().as_secs_f64();
    let idle = async { sleep(set.settings.phase_time).await };
    let idle = measure_phase(&set, ScalePhase::Idle, idle).await?;
    let mut changes = ChangeSeries::new(&set)?;
    let changing = measure_phase(
        &set,
        ScalePhase::Changes,
        changes.run(set.settings.phase_time),
    )
    .await?;
    let (accepted, in_force) = changes.finish()?;
    let removed = measure_removals(&mut set).await?;
    let report = ScaleReport {
        vms: set.settings.vms,
        control: set.settings.control,
        groups: set.settings.groups,
        ready_seconds,
        phases: vec![idle, changing],
        accepted,
        in_force,
        removed,
    };
    set.stop().await?;
    Ok(report)
}

/// Measures the set while `work` runs.
async fn measure_phase(
    set: &ScaleSet,
    phase: ScalePhase,
    work: impl Future<Output = ()>,
) -> Result<PhaseReport, SetFault> {
    sleep(SETTLE_TIME).await;
    let leader = set.control_status().await?.control_leader;
    let before = SetSample::take(set);
    work.await;
    let after = SetSample::take(set);
    let later = set.control_status().await?.control_leader;
    let leader_name = leader.as_ref().map(ToString::to_string);
    let roles = [NodeRole::Leader, NodeRole::Follower, NodeRole::Member];
    let of_role = |role: &NodeRole| {
        let nodes = (0..set.nodes.len())
            .filter(|index| find_role(set, *index, leader_name.as_deref()) == *role)
            .collect::<Vec<_>>();
        summarize_role(set, *role, &nodes, &before, &after)
    };
    Ok(PhaseReport {
        phase,
        seconds: after
            .sampled_at
            .duration_since(before.sampled_at)
            .as_secs_f64(),
        leader_changed: leader != later,
        roles: roles.iter().filter_map(of_role).collect(),
    })
}

fn find_role(set: &ScaleSet, index: usize, leader: Option<&str>) -> NodeRole {
    match index < set.settings.control {
        true if leader == Some(set.nodes[index].vm.as_str()) => NodeRole::Leader,
        true => NodeRole::Follower,
        false => NodeRole::Member,
    }
}

/// The resource use of all nodes and the traffic counters at one time.
struct SetSample {
    sampled_at: Instant,
    nodes: Vec<ProcessUse>,
    member_traffic: RelayTraffic,
    control_traffic: RelayTraffic,
}

impl SetSample {
    fn take(set: &ScaleSet) -> Self {
        let uses = set.nodes.iter().map(|node| node.read_use());
        Self {
            sampled_at: Instant::now(),
            nodes: uses.map(Option::unwrap_or_default).collect(),
            member_traffic: set.member_traffic(),
            control_traffic: set.control_traffic(),
        }
    }
}

fn summarize_role(
    set: &ScaleSet,
    role: NodeRole,
    nodes: &[usize],
    before: &SetSample,
    after: &SetSample,
) -> Option<RoleUse> {
    if nodes.is_empty() {
        return None;
    }
    let seconds = after
        .sampled_at
        .duration_since(before.sampled_at)
        .as_secs_f64();
    let spent = |index: &usize| {
        let spent = after.nodes[*index].processor - before.nodes[*index].processor;
        spent.as_secs_f64() / seconds * 100.0
    };
    let resident = |index: &usize| after.nodes[*index].resident_bytes as f64 / 1e6;
    let cores: Vec<f64> = nodes.iter().map(spent).collect();
    let memories: Vec<f64> = nodes.iter().map(resident).collect();
    let traffic = count_traffic(set, role, before, after);
    Some(RoleUse {
        role,
        nodes: nodes.len(),
        core_percent: mean(&cores),
        worst_core_percent: largest(&cores),
        resident_mb: mean(&memories),
        worst_resident_mb: largest(&memories),
        control_bytes: traffic.bytes as f64 / seconds / traffic.nodes,
        control_reads: traffic.reads as f64 / seconds / traffic.nodes,
    })
}

/// The total control traffic of the nodes of a role, and their number.
struct RoleTraffic {
    bytes: u64,
    reads: u64,
    nodes: f64,
}

/// Computes a role's control traffic between two samples. The control VMs' traffic consists of that
/// with plain members and of that among themselves, which is counted at both ends.
fn count_traffic(
    set: &ScaleSet,
    role: NodeRole,
    before: &SetSample,
    after: &SetSample,
) -> RoleTraffic {
    let member_bytes = after.member_traffic.bytes - before.member_traffic.bytes;
    let member_reads = after.member_traffic.reads - before.member_traffic.reads;
    let control_bytes = after.control_traffic.bytes - before.control_traffic.bytes;
    let control_reads = after.control_traffic.reads - before.control_traffic.reads;
    let control = set.settings.control;
    match role {
        NodeRole::Member => RoleTraffic {
            bytes: member_bytes,
            reads: member_reads,
            nodes: (set.settings.vms - control) as f64,
        },
        NodeRole::Leader | NodeRole::Follower => RoleTraffic {
            bytes: member_bytes + 2 * control_bytes,
            reads: member_reads + 2 * control_reads,
            nodes: control as f64,
        },
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn largest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Sends contract changes of one customer, one after the other, and records their latencies.
struct ChangeSeries {
    client: HttpClient,
    base: ContractVersion,
    accepted: TimeList,
    in_force: TimeList,
    fault: Option<SetFault>,
}

impl ChangeSeries {
    fn new(set: &ScaleSet) -> Result<Self, SetFault> {
        Ok(Self {
            client: agent_client(set.nodes[0].peers)?,
            base: ContractVersion(0),
            accepted: TimeList::default(),
            in_force: TimeList::default(),
            fault: None,
        })
    }

    /// Sends changes for some time, or until the first fault.
    async fn run(&mut self, time: Duration) {
        let end = Instant::now() + time;
        let mut ticks = interval(CHANGE_PERIOD);
        while self.fault.is_none() && Instant::now() < end {
            ticks.tick().await;
            self.fault = self.change().await.err();
        }
    }

    fn finish(self) -> Result<(TimeList, TimeList), SetFault> {
        match self.fault {
            Some(fault) => Err(fault),
            None => Ok((self.accepted, self.in_force)),
        }
    }

    /// Sends one change and waits until it is in force.
    async fn change(&mut self) -> Result<(), SetFault> {
        let mut contract = build_contract("scale".into(), vec![group_name(0).as_str().into()]);
        contract.queue_limit += (self.base.0 % 2) as u32;
        let change = ContractChange {
            change_id: ChangeId::fresh(),
            base_version: self.base,
            contract,
        };
        let sent = Instant::now();
        let reply = self.client.apply_contract(change).await?;
        let CommandReply::Committed(CatalogOutcome::ContractAccepted(acceptance)) = reply else {
            return Err(SetFault::Refused(format!("{reply:?}")));
        };
        let accepted = Instant::now();
        self.accepted.0.push(to_millis(accepted - sent));
        while !self.client.in_force_status(acceptance).await?.in_force {
            sleep(STATUS_POLL_INTERVAL).await;
        }
        self.in_force.0.push(to_millis(accepted.elapsed()));
        self.base = acceptance.version;
        Ok(())
    }
}

/// Kills up to [`KILLED_VMS`] plain members, each time the one that is leaseholder of the most
/// groups, and measures the time until it is no longer a member or the leaseholder of any group.
async fn measure_removals(set: &mut ScaleSet) -> Result<TimeList, SetFault> {
    let mut times = TimeList::default();
    for _ in 0..KILLED_VMS {
        let status = set.control_status().await?;
        let leads = |vm: &str| {
            let groups = status.groups.iter();
            groups
                .filter(|group| group.placement.leaseholder == vm.into())
                .count()
        };
        let plain = set.settings.control..set.nodes.len();
        let alive = plain.filter(|index| set.nodes[*index].is_started());
        let Some(chosen) = alive.max_by_key(|index| leads(&set.nodes[*index].vm)) else {
            break;
        };
        let vm = set.nodes[chosen].vm.clone();
        let killed = Instant::now();
        set.nodes[chosen].kill();
        set.wait_for("the killed VM is replaced", |status| {
            let member = status
                .members
                .iter()
                .any(|one| one.id.vm == vm.as_str().into());
            let mut groups = status.groups.iter();
            !member && !groups.any(|group| group.placement.leaseholder == vm.as_str().into())
        })
        .await?;
        times.0.push(to_millis(killed.elapsed()));
    }
    Ok(times)
}

fn to_millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
