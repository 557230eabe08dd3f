//! Measures what one statement costs at the gateway, the leaseholder and a standby, what the path
//! adds to its latency, and what an idle connection costs at the gateway.

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

/// The VMs: control, leaseholder, standbys and a gateway are all different ones.
const VMS: usize = 10;
const CONTROL_VMS: usize = 3;

/// Groups to choose from until one is led by a plain member.
const GROUPS: usize = 6;

/// So many slots that the endpoints aren't what limits the path.
const SLOTS: u32 = 16;

const CUSTOMER: &str = "path";
const SESSIONS: usize = 200;

/// Sessions of the direct load: each is a connection of its own, and the primary takes no more
/// than 128, some of them the leaseholder's.
const DIRECT_SESSIONS: usize = 64;

/// Idle links to open: about as many as a VM has to others in two years.
const LINKS: usize = 600;

/// Limits of the customer that no run meets.
const OPEN_LIMIT: u32 = 100_000;

/// How long new connections settle before their memory is read.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// What to measure.
#[derive(Clone, Debug)]
pub struct PathSettings {
    /// The folder of the binary `ragwortgated`.
    pub binaries: PathBuf,
    /// Statements per second, one run for each.
    pub rates: Vec<usize>,
    /// The classes.
    pub mix: LoadMix,
    /// How long each run is.
    pub time: Duration,
    /// Idle connections to open.
    pub connections: usize,
}

/// Who does what for the measured group.
struct PathRoles {
    group: usize,
    gateway: usize,
    leaseholder: usize,
    standby: usize,
}

/// One run at one rate.
#[derive(Clone, Debug)]
struct PathRun {
    rate: f64,
    gateway_percent: f64,
    leaseholder_percent: f64,
    standby_percent: f64,
    report: LoadReport,
}

/// All that was measured.
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
                // One percent of a core is 10,000 microseconds in a second.
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
        service: Duration::ZERO,
        phase: settings.time,
        heartbeat_ms: 200,
        lease_ms: 1_000,
        tick_ms: 20,
        keep_folder: false,
    })
    .await?;
    let roles = find_roles(&set, &set.look().await?)?;
    open_contract(&set, roles.group).await?;
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
    let link = measure_links(&set, roles.gateway, LINKS, settings.time).await?;
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

/// Finds a group that a plain member leads, and a plain member that has nothing to do with it.
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

async fn open_contract(set: &ScaleSet, group: usize) -> Result<(), SetFault> {
    let mut contract = build_contract(CUSTOMER.into(), vec![group_name(group).as_str().into()]);
    contract.connection_limit = OPEN_LIMIT;
    contract.queue_limit = OPEN_LIMIT;
    contract.session_limit = OPEN_LIMIT;
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
    let seconds = after.taken.duration_since(before.taken).as_secs_f64();
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
    taken: Instant,
    gateway: ProcessUse,
    leaseholder: ProcessUse,
    standby: ProcessUse,
}

impl PathSample {
    fn take(set: &ScaleSet, roles: &PathRoles) -> Self {
        let read = |index: usize| set.nodes[index].read_use().unwrap_or_default();
        Self {
            taken: Instant::now(),
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
        // A string takes every write.
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
