//! The report of the subcommand `scale`, and linear fits that extrapolate it to more VMs.

use serde::Serialize;
use std::fmt;

/// The number of VMs that the users expect in two years.
pub const TARGET_VMS: f64 = 630.0;

/// The number of header bytes of a segment: 20 for IP and 32 for TCP with timestamps. A separate
/// acknowledgement has the same size.
const SEGMENT_HEADER_BYTES: f64 = 52.0;

/// The role of a node in the control group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum NodeRole {
    /// The control VM that is the leader.
    Leader,
    /// Another control VM.
    Follower,
    /// A VM without the control role.
    Member,
}

/// The activity during a measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum ScalePhase {
    /// No activity.
    Idle,
    /// One contract change per second.
    Changes,
}

/// The resource use of the nodes of one role.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RoleUse {
    /// The role.
    pub role: NodeRole,
    /// The number of nodes with the role.
    pub nodes: usize,
    /// The mean processor time of a node, in percent of one core.
    pub core_percent: f64,
    /// The maximum processor time of a node, in percent of one core.
    pub worst_core_percent: f64,
    /// The mean resident memory of a node, in megabytes.
    pub resident_mb: f64,
    /// The maximum resident memory of a node, in megabytes.
    pub worst_resident_mb: f64,
    /// The mean control traffic of a node in both directions, in payload bytes per second. For the
    /// leader and the followers it is the mean of all control VMs.
    pub control_bytes: f64,
    /// The mean number of reads per second and node in which that traffic arrived.
    pub control_reads: f64,
}

impl RoleUse {
    /// Returns the control traffic in bytes per second including headers, under the assumption that
    /// each read was one segment with a separate acknowledgement.
    pub fn wire_bytes(&self) -> f64 {
        self.control_bytes + self.control_reads * SEGMENT_HEADER_BYTES * 2.0
    }
}

/// The report of one phase of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PhaseReport {
    /// The phase.
    pub phase: ScalePhase,
    /// The duration of the phase, in seconds.
    pub seconds: f64,
    /// Whether the leader changed during the phase, in which case the figures mix roles.
    pub leader_changed: bool,
    /// The resource use of each role.
    pub roles: Vec<RoleUse>,
}

/// The measured durations of one operation, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct TimeList(pub Vec<f64>);

impl TimeList {
    /// Returns the median, or `None` if the list is empty.
    pub fn median(&self) -> Option<f64> {
        let mut sorted = self.0.clone();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied()
    }

    /// Returns the maximum, or `None` if the list is empty.
    pub fn worst(&self) -> Option<f64> {
        self.0.iter().copied().max_by(f64::total_cmp)
    }
}

impl fmt::Display for TimeList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.median(), self.worst()) {
            (Some(median), Some(worst)) => write!(
                formatter,
                "n {} median {median:.0} worst {worst:.0} ms",
                self.0.len()
            ),
            _ => formatter.write_str("none"),
        }
    }
}

/// The report of a run with one number of VMs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScaleReport {
    /// The number of VMs.
    pub vms: usize,
    /// The number of control VMs among them.
    pub control: usize,
    /// The number of groups.
    pub groups: usize,
    /// The time from the start of the first process until all VMs were ready and all groups placed,
    /// in seconds.
    pub ready_seconds: f64,
    /// The reports of the phases.
    pub phases: Vec<PhaseReport>,
    /// The times from sending a contract change to its acceptance.
    pub accepted: TimeList,
    /// The times from a contract change's acceptance until it was in force on all members.
    pub in_force: TimeList,
    /// The times from killing a VM until it was no longer a member or the leaseholder of a group.
    pub removed: TimeList,
}

impl fmt::Display for ScaleReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            vms,
            control,
            groups,
            ..
        } = self;
        writeln!(
            formatter,
            "vms {vms} control {control} groups {groups}: ready after {:.1} s",
            self.ready_seconds
        )?;
        for phase in &self.phases {
            for one in &phase.roles {
                writeln!(
                    formatter,
                    "  {:?} {:<8} x{:<3} core {:>6.3} % (worst {:>6.3}) memory {:>5.1} MB (worst {:>5.1}) \
                     control {:>7.0} B/s payload {:>7.0} B/s wire {:>5.1} reads/s",
                    phase.phase,
                    format!("{:?}", one.role),
                    one.nodes,
                    one.core_percent,
                    one.worst_core_percent,
                    one.resident_mb,
                    one.worst_resident_mb,
                    one.control_bytes,
                    one.wire_bytes(),
                    one.control_reads,
                )?;
            }
            if phase.leader_changed {
                writeln!(formatter, "  {:?}: the leader changed", phase.phase)?;
            }
        }
        writeln!(formatter, "  accepted {}", self.accepted)?;
        writeln!(formatter, "  in force {}", self.in_force)?;
        writeln!(formatter, "  removed  {}", self.removed)
    }
}

/// A linear least-squares fit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LineFit {
    /// The value at zero (intercept).
    pub start: f64,
    /// The slope.
    pub slope: f64,
}

impl LineFit {
    /// Fits a line to points `(x, y)`; returns `None` if they have fewer than two different x
    /// values.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.is_empty() || spread == 0.0 {
            return None;
        }
        let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let slope = products.sum::<f64>() / spread;
        Some(Self {
            start: mean_y - slope * mean_x,
            slope,
        })
    }

    /// Returns the line's value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.start + self.slope * x
    }
}

/// The quantity that a line is fitted to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoleMeasure {
    CorePercent,
    ResidentMegabytes,
    WireBytes,
}

impl RoleMeasure {
    fn read(self, used: &RoleUse) -> f64 {
        match self {
            Self::CorePercent => used.core_percent,
            Self::ResidentMegabytes => used.resident_mb,
            Self::WireBytes => used.wire_bytes(),
        }
    }
}

/// Fits each quantity of each role and phase over the numbers of VMs of several reports, and
/// describes the lines with their values at [`TARGET_VMS`].
pub fn describe_slopes(reports: &[ScaleReport]) -> String {
    let mut text = String::new();
    for phase in [ScalePhase::Idle, ScalePhase::Changes] {
        for role in [NodeRole::Leader, NodeRole::Follower, NodeRole::Member] {
            for measure in [
                RoleMeasure::CorePercent,
                RoleMeasure::ResidentMegabytes,
                RoleMeasure::WireBytes,
            ] {
                let points = collect_points(reports, phase, role, measure);
                let Some(line) = LineFit::through(&points) else {
                    continue;
                };
                text += &format!(
                    "slope {phase:?} {role:?} {measure:?}: {:.4} + {:.6} per VM, \
                     at {TARGET_VMS:.0}: {:.2}\n",
                    line.start,
                    line.slope,
                    line.at(TARGET_VMS),
                );
            }
        }
    }
    text
}

fn collect_points(
    reports: &[ScaleReport],
    phase: ScalePhase,
    role: NodeRole,
    measure: RoleMeasure,
) -> Vec<(f64, f64)> {
    let mut points = Vec::new();
    for report in reports {
        let phases = report.phases.iter().filter(|one| one.phase == phase);
        let roles = phases.flat_map(|one| &one.roles);
        let found = roles.filter(|one| one.role == role);
        points.extend(found.map(|one| (report.vms as f64, measure.read(one))));
    }
    points
}
