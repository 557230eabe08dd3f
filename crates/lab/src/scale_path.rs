//! Measures the processor time that a statement takes at the gateway, the leaseholder and a
//! standby, the latency that the path through them adds, and the cost of idle links and
//! connections.

use crate::caller::CallerSettings;
use crate::caller::GatewayCaller;
use crate::lab_contract::build_contract;
use crate::load::LoadSettings;
use crate::load::StopFlag;
use crate::load::run_load;
use crate::load_plan::LoadMix;
use crate::load_plan::PlanSettings;
use crate::load_report::LoadReport;
use crate::scale_links::LinkCost;
use crate::scale_links::measure_links;
use crate::scale_process::ProcessUse;
use crate::scale_report::LineFit;
use crate::scale_set::ScaleSet;
use crate::scale_set::ScaleSettings;
use crate::scale_set::group_name;
use crate::set_calls::SetFault;
use crate::set_calls::apply_contract;
use ragwort_types::NodeStatus;
use std::fmt;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// The number of VMs: enough for control, leaseholder, standbys and gateway to be different ones.
const VMS: usize = 10;
/// The number of control VMs.
const CONTROL_VMS: usize = 3;

/// The number of groups, so that a plain member is likely to be leaseholder of one of them.
const GROUPS: usize = 6;

/// The number of slots of an endpoint, enough for the endpoints not to be the bottleneck.
const SLOTS: u32 = 16;

/// The customer's name.
const CUSTOMER: &str = "path";
/// The number of sessions of the load through the gateway.
const SESSIONS: usize = 200;

/// The number of sessions of the direct load. Each has its own connection, and the primary accepts
/// 128 at most, including those of the leaseholder.
const DIRECT_SESSIONS: usize = 64;

/// The number of idle links to open: about the number of other VMs that the users expect in two
/// years.
const IDLE_LINKS: usize = 600;

/// The value of the customer's limits, which no run reaches.
const UNREACHED_LIMIT: u32 = 100_000;

/// The time to let connections settle before memory is measured.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The settings of a measurement.
#[derive(Clone, Debug)]
pub struct PathSettings {
    /// The folder with the binary `ragwortgated`.
    pub binaries: PathBuf,
    /// The rates of the runs, in statements per second.
    pub rates: Vec<usize>,
    /// The mix of request classes.
    pub mix: LoadMix,
    /// The duration of each run.
    pub time: Duration,
    /// The number of idle connections to open.
    pub connections: usize,
}

/// The measured group, and the indices of the VMs that have a role for it.
struct PathRoles {
    group: usize,
    gateway: usize,
    leaseholder: usize,
    standby: usize,
}

/// The measurements of a run at one rate; percentages are of one core.
#[derive(Clone, Debug)]
struct PathRun {
    rate: f64,
    gateway_percent: f64,
    leaseholder_percent: f64,
    standby_percent: f64,
    report: LoadReport,
}

/// The results of all measurements.
#[derive(Clone, Debug)]
pub struct PathReport {
    runs: Vec<PathRun>,
    direct: LoadReport,
    connections: usize,
    connection_bytes: f64,
    link: LinkCost,
}

impl fmt::Display for PathReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for run in &self.runs {
            writeln!(
                formatter,
                "rate {}: gateway {:.2} % leaseholder {:.2} % standby {:.2} % of a core",
                run.rate, run.gateway_percent, run.leaseholder_percent, run.standby_percent,
            )?;
            formatter.write_str(&describe_classes(&run.report))?;
        }
        let measures: [PathMeasure; 3] = [
            ("gateway", |run| run.gateway_percent),
            ("leaseholder", |run| run.leaseholder_percent),
            ("standby", |run| run.standby_percent),
        ];
        for (role, measure) in measures {
            let points: Vec<_> = self
                .runs
                .iter()
                .map(|run| (run.rate, measure(run)))
                .collect();
            if let Some(line) = LineFit::through(&points) {
                // One percent of a core is 10,000 microseconds per second.
                let micros = line.slope * 1e4;
                writeln!(
                    formatter,
                    "slope {role}: {:.2} % idle, {micros:.1} us a statement",
                    line.start,
                )?;
            }
        }
        writeln!(formatter, "direct to the primary:")?;
        formatter.write_str(&describe_classes(&self.direct))?;
        writeln!(
            formatter,
            "{} idle connections: {:.0} bytes each at the gateway",
            self.connections, self.connection_bytes,
        )?;
        self.link.fmt(formatter)
    }
}

/// A VM's role on the path, and its processor time in a run, in percent of one core.
type PathMeasure = (&'static str, fn(&PathRun) -> f64);

/// Starts a set, measures the path through it and stops it.
///
/// # Errors
///
/// Returns the first [`SetFault`].
pub async fn measure_path(settings: PathSettings) -> Result<PathReport, SetFault> {
    let set = ScaleSet::start(ScaleSettings {
        binaries: settings.binaries.clone(),
        vms: VMS,
        control: CONTROL_VMS,
        groups: GROUPS,
        slots: SLOTS,
        service_time: Duration::ZERO,
        phase_time: settings.time,
        heartbeat_ms: 200,
        lease_ms: 1_000,
        tick_ms: 20,
        keep_folder: false,
    })
    .await?;
    let roles = find_roles(&set, &set.control_status().await?)?;
    apply_unlimited_contract(&set, roles.group).await?;
    let mut runs = Vec::new();
    for rate in &settings.rates {
        runs.push(measure_rate(&set, &roles, &settings, *rate).await?);
    }
    let primary = set.primary_address(roles.group);
    let primary = primary.ok_or_else(|| SetFault::NotWhole("no primary".to_owned()))?;
    let rate = settings.rates.first().copied().unwrap_or(100);
    let mut direct = load_settings(&settings, primary, roles.group, rate, "direct");
    direct.sessions = DIRECT_SESSIONS;
    let direct = run_load(&direct, &StopFlag::default()).await;
    let link = measure_links(&set, roles.gateway, IDLE_LINKS, settings.time).await?;
    let connection_bytes = measure_connections(&set, &roles, settings.connections).await?;
    set.stop().await?;
    Ok(PathReport {
        runs,
        direct,
        connections: settings.connections,
        connection_bytes,
        link,
    })
}

/// Selects a group whose leaseholder is a plain member, and as its gateway a plain member that is
/// neither leaseholder nor standby of the group.
fn find_roles(set: &ScaleSet, status: &NodeStatus) -> Result<PathRoles, SetFault> {
    let index_of = |vm: &str| set.nodes.iter().position(|node| node.vm == vm);
    for group in 0..GROUPS {
        let name = group_name(group);
        let placed = |one: &&ragwort_types::GroupRecord| one.placement.group.to_string() == name;
        let Some(record) = status.groups.iter().find(placed) else {
            continue;
        };
        let holder = index_of(&record.placement.leaseholder.to_string());
        let standbys = &record.placement.standbys;
        let standby_indices: Vec<usize> = standbys
            .iter()
            .filter_map(|vm| index_of(&vm.to_string()))
            .collect();
        let plain = |index: &usize| *index >= CONTROL_VMS;
        let gateway = (CONTROL_VMS..VMS)
            .find(|index| Some(*index) != holder && !standby_indices.contains(index));
        if let (Some(leaseholder), Some(gateway), Some(standby)) = (
            holder.filter(plain),
            gateway,
            standby_indices.first().copied(),
        ) {
            return Ok(PathRoles {
                group,
                gateway,
                leaseholder,
                standby,
            });
        }
    }
    Err(SetFault::NotWhole(
        "no group is led by a plain member".to_owned(),
    ))
}

async fn apply_unlimited_contract(set: &ScaleSet, group: usize) -> Result<(), SetFault> {
    let mut contract = build_contract(CUSTOMER.into(), vec![group_name(group).as_str().into()]);
    contract.connection_limit = UNREACHED_LIMIT;
    contract.queue_limit = UNREACHED_LIMIT;
    contract.session_limit = UNREACHED_LIMIT;
    apply_contract(set.nodes[0].peers, contract).await
}

async fn measure_rate(
    set: &ScaleSet,
    roles: &PathRoles,
    settings: &PathSettings,
    rate: usize,
) -> Result<PathRun, SetFault> {
    let run_name = format!("rate{rate}");
    let gateway = set.nodes[roles.gateway].callers;
    let load = load_settings(settings, gateway, roles.group, rate, &run_name);
    let before = PathSample::take(set, roles);
    let report = run_load(&load, &StopFlag::default()).await;
    let after = PathSample::take(set, roles);
    let seconds = after
        .sampled_at
        .duration_since(before.sampled_at)
        .as_secs_f64();
    let percent = |after: ProcessUse, before: ProcessUse| {
        (after.processor - before.processor).as_secs_f64() / seconds * 100.0
    };
    let sent: u64 = report.classes.values().map(|class| class.counts.sent).sum();
    Ok(PathRun {
        rate: sent as f64 / seconds,
        gateway_percent: percent(after.gateway, before.gateway),
        leaseholder_percent: percent(after.leaseholder, before.leaseholder),
        standby_percent: percent(after.standby, before.standby),
        report,
    })
}

struct PathSample {
    sampled_at: Instant,
    gateway: ProcessUse,
    leaseholder: ProcessUse,
    standby: ProcessUse,
}

impl PathSample {
    fn take(set: &ScaleSet, roles: &PathRoles) -> Self {
        let read = |index: usize| set.nodes[index].read_use().unwrap_or_default();
        Self {
            sampled_at: Instant::now(),
            gateway: read(roles.gateway),
            leaseholder: read(roles.leaseholder),
            standby: read(roles.standby),
        }
    }
}

fn load_settings(
    settings: &PathSettings,
    gateway: SocketAddr,
    group: usize,
    rate: usize,
    run_name: &str,
) -> LoadSettings {
    LoadSettings {
        gateways: vec![gateway],
        group: group_name(group),
        customers: vec![CUSTOMER.to_owned()],
        plan: PlanSettings {
            seed: 1,
            rate: rate as f64,
            duration: settings.time,
            customers: 1,
            hot_factor: 1,
            lists: 16,
            mix: settings.mix.clone(),
        },
        sessions: SESSIONS,
        move_every: u64::MAX,
        run_name: run_name.to_owned(),
    }
}

/// Returns the gateway's resident memory per idle connection, in bytes.
async fn measure_connections(
    set: &ScaleSet,
    roles: &PathRoles,
    count: usize,
) -> Result<f64, SetFault> {
    let node = &set.nodes[roles.gateway];
    let resident = || node.read_use().unwrap_or_default().resident_bytes;
    sleep(SETTLE_TIME).await;
    let before = resident();
    let mut callers = Vec::with_capacity(count);
    for number in 0..count {
        let settings = CallerSettings {
            gateway: node.callers,
            customer: CUSTOMER.to_owned(),
            group: group_name(roles.group),
            session: format!("idle-{number}"),
        };
        let opened = GatewayCaller::open(&settings).await;
        callers.push(opened.map_err(|verdict| SetFault::Refused(format!("{verdict:?}")))?);
    }
    sleep(SETTLE_TIME).await;
    Ok(resident().saturating_sub(before) as f64 / count.max(1) as f64)
}

fn describe_classes(report: &LoadReport) -> String {
    let mut text = String::new();
    for (class, one) in &report.classes {
        let counts = one.counts;
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "  {:<8} sent {} in time {} late {} refused {} in doubt {} failed {} unanswered {} \
             p50 {} us p99 {} us",
            class.name(),
            counts.sent,
            counts.in_time,
            counts.late,
            counts.refused,
            counts.maybe_run,
            counts.failed,
            counts.unanswered,
            one.answered.p50_us,
            one.answered.p99_us,
        );
    }
    text
}
