//! What `scale` has measured, and the straight lines through it.

use serde::Serialize;
use std::fmt;

/// The number of nodes that the users expect in two years.
pub const TARGET_VMS: f64 = 630.0;

/// The bytes of TCP and IP headers that one segment brings: 20 for IP, 32 for TCP with time stamps.
/// An acknowledgement of its own has as many again.
const SEGMENT_HEADER_BYTES: f64 = 52.0;

/// What a node does for control.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum NodeRole {
    /// The control VM that leads.
    Leader,
    /// Another control VM.
    Follower,
    /// A VM without the control role.
    Member,
}

/// What a run does while it is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum ScalePhase {
    /// Nothing.
    Idle,
    /// One contract change a second.
    Changes,
}

/// What the nodes of one role have used.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RoleUse {
    /// The role.
    pub role: NodeRole,
    /// How many nodes have it.
    pub nodes: usize,
    /// Processor time as a share of one core, in percent; the mean of the nodes.
    pub core_percent: f64,
    /// The same of the busiest node.
    pub worst_core_percent: f64,
    /// Resident memory in megabytes; the mean of the nodes.
    pub resident_mb: f64,
    /// The same of the largest node.
    pub worst_resident_mb: f64,
    /// Bytes per second and node for control, both ways, without headers of TCP and IP. A
    /// leader's and a follower's are the mean of all control VMs.
    pub control_bytes: f64,
    /// Reads per second and node in which they came.
    pub control_reads: f64,
}

impl RoleUse {
    /// Returns the bytes with headers, if each read was one segment that was acknowledged apart.
    pub fn wire_bytes(&self) -> f64 {
        self.control_bytes + self.control_reads * SEGMENT_HEADER_BYTES * 2.0
    }
}

/// One phase of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PhaseReport {
    /// The phase.
    pub phase: ScalePhase,
    /// How long it was, in seconds.
    pub seconds: f64,
    /// Whether another control VM led at its end; its figures mix roles then.
    pub leader_changed: bool,
    /// The roles.
    pub roles: Vec<RoleUse>,
}

/// Times of one kind, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct TimeList(pub Vec<f64>);

impl TimeList {
    /// Returns the median, if there is any time.
    pub fn median(&self) -> Option<f64> {
        let mut sorted = self.0.clone();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied()
    }

    /// Returns the longest, if there is any time.
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

/// The report of one number of VMs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScaleReport {
    /// The VMs.
    pub vms: usize,
    /// The control VMs among them.
    pub control: usize,
    /// The groups.
    pub groups: usize,
    /// From the start of the first process until every VM was ready, in seconds.
    pub ready_seconds: f64,
    /// The phases.
    pub phases: Vec<PhaseReport>,
    /// From sending a contract change until it was accepted.
    pub accepted: TimeList,
    /// From a contract change's acceptance until it was in force everywhere.
    pub in_force: TimeList,
    /// From the kill of a VM until it was no member and led no group.
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

/// A straight line by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LineFit {
    /// The value at zero.
    pub start: f64,
    /// The rise for each step of one.
    pub slope: f64,
}

impl LineFit {
    /// Fits a line through points; `None` with fewer than two different places.
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

    /// Returns the line's value at a place.
    pub fn at(&self, place: f64) -> f64 {
        self.start + self.slope * place
    }
}

/// What a line is drawn through.
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

/// Describes the lines through several reports over their numbers of VMs.
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
