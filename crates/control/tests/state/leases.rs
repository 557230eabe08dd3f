//! Randomised tests of leases and placement: with delayed messages, restarting daemons and changing
//! control leaders, two processes never lead a group at the same time.

use crate::common::CatalogScript;
use crate::common::member;
use crate::common::run_seeds;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use ragwort_control::CatalogCopy;
use ragwort_control::CatalogState;
use ragwort_control::ClockTime;
use ragwort_control::LeaseDecision;
use ragwort_control::LeaseLedger;
use ragwort_control::MemberLease;
use ragwort_control::plan_handovers;
use ragwort_control::plan_placements;
use ragwort_types::CatalogCommand;
use ragwort_types::GroupName;
use ragwort_types::GroupPlacement;
use ragwort_types::HeartbeatRequest;
use ragwort_types::LeaseGrant;
use ragwort_types::MemberRecord;
use std::collections::BTreeMap;
use std::time::Duration;

const LEASE: Duration = Duration::from_millis(200);
const VMS: u8 = 4;

#[derive(Clone, Copy, Debug)]
enum LeaseStep {
    /// A process sends a heartbeat.
    Send(u8),
    /// A heartbeat reaches the leader, or a former leader that doesn't know of the election yet.
    Receive { choice: u8, former: bool },
    /// A grant reaches its process.
    Renew(u8),
    /// The leader proposes the due commands.
    Propose,
    /// A proposal is committed.
    Commit(u8),
    /// Another control VM becomes the leader; pending proposals are committed before or never.
    Elect(u8),
    /// A VM's daemon is started again while the former process may still be running.
    Restart(u8),
    /// A process drains: it stops serving its groups and proposes their next placements.
    Drain(u8),
    /// Time passes.
    Wait(u8),
}

impl Arbitrary for LeaseStep {
    fn arbitrary(generator: &mut Gen) -> Self {
        let byte = u8::arbitrary(generator);
        match u8::arbitrary(generator) % 32 {
            0..=6 => Self::Send(byte),
            7..=12 => Self::Receive {
                choice: byte,
                former: byte.is_multiple_of(5),
            },
            13..=18 => Self::Renew(byte),
            19..=21 => Self::Propose,
            22..=26 => Self::Commit(byte),
            27 if byte.is_multiple_of(3) => Self::Elect(byte),
            28 if byte.is_multiple_of(3) => Self::Restart(byte),
            29 if byte.is_multiple_of(5) => Self::Drain(byte),
            _ => Self::Wait(byte % 40),
        }
    }
}

struct ProcessModel {
    record: MemberRecord,
    lease: MemberLease,
    copy: CatalogCopy,
    stopped: BTreeMap<GroupName, GroupPlacement>,
    /// Whether the process has ended; its last messages may still arrive.
    ended: bool,
}

impl ProcessModel {
    fn new(vm: u8, incarnation: u64, exclusive: bool) -> Self {
        let mut record = member(u64::from(vm), incarnation);
        record.traits.exclusive = exclusive;
        Self {
            record,
            lease: MemberLease::new(),
            copy: CatalogCopy::new(),
            stopped: BTreeMap::new(),
            ended: false,
        }
    }

    fn leads(&self, group: &GroupName, now: ClockTime) -> bool {
        let placement = self.copy.group(group).map(|record| &record.placement);
        self.lease.is_valid(now)
            && placement.is_some_and(|present| {
                let stopped = self.stopped.get(group).map(|next| next.epoch);
                present.leaseholder == self.record.id.vm && stopped <= Some(present.epoch)
            })
    }
}

struct SentHeartbeat {
    process: usize,
    sent: ClockTime,
    request: HeartbeatRequest,
}

struct SentGrant {
    process: usize,
    sent: ClockTime,
    grant: LeaseGrant,
}

struct LeaseModel {
    script: CatalogScript,
    ledger: LeaseLedger,
    /// The former leader, its catalog, and when its successor was elected. It may continue
    /// indefinitely, but only with heartbeats after which a majority confirmed that it leads, and
    /// so with heartbeats sent before the election.
    former: Option<(LeaseLedger, CatalogState, ClockTime)>,
    processes: Vec<ProcessModel>,
    heartbeats: Vec<SentHeartbeat>,
    grants: Vec<SentGrant>,
    proposals: Vec<CatalogCommand>,
    now: ClockTime,
    served: usize,
    /// Whether a restarted process proves that its predecessor has ended.
    exclusive: bool,
}

impl LeaseModel {
    fn new(exclusive: bool) -> Self {
        Self {
            script: CatalogScript::with_members(0),
            ledger: LeaseLedger::new(ClockTime::from_millis(0), LEASE),
            former: None,
            processes: (0..VMS)
                .map(|vm| ProcessModel::new(vm, 1, exclusive))
                .collect(),
            heartbeats: Vec::new(),
            grants: Vec::new(),
            proposals: Vec::new(),
            now: ClockTime::from_millis(1),
            served: 0,
            exclusive,
        }
    }

    fn groups() -> [GroupName; 3] {
        ["cases", "intake", "hearings"].map(GroupName::from)
    }

    fn step(&mut self, step: LeaseStep) {
        match step {
            LeaseStep::Send(byte) => self.send(usize::from(byte) % self.processes.len()),
            LeaseStep::Receive { choice, former } => self.receive(choice, former),
            LeaseStep::Renew(byte) => {
                if let Some(index) = usize::from(byte).checked_rem(self.grants.len()) {
                    self.renew(index);
                }
            }
            LeaseStep::Propose => self.propose(),
            LeaseStep::Commit(byte) => {
                if let Some(index) = usize::from(byte).checked_rem(self.proposals.len()) {
                    let command = self.proposals.remove(index);
                    self.script.apply(command);
                }
            }
            LeaseStep::Elect(byte) => self.elect(byte),
            LeaseStep::Restart(byte) => self.restart(byte % VMS),
            LeaseStep::Drain(byte) => self.drain(usize::from(byte) % self.processes.len()),
            LeaseStep::Wait(millis) => {
                self.now = self.now + Duration::from_millis(u64::from(millis));
            }
        }
        self.check();
    }

    fn restart(&mut self, vm: u8) {
        let incarnation = 1 + self.processes.len() as u64;
        let fresh = ProcessModel::new(vm, incarnation, self.exclusive);
        let former = self.processes.iter_mut();
        let former = former.filter(|process| process.record.id.vm == fresh.record.id.vm);
        for process in former.filter(|_| self.exclusive) {
            process.lease.supersede();
            process.ended = true;
        }
        self.processes.push(fresh);
    }

    fn send(&mut self, process: usize) {
        let sender = &self.processes[process];
        if sender.ended {
            return;
        }
        let request = HeartbeatRequest {
            member: sender.record.clone(),
            revision: sender.copy.revision(),
            unplaced_groups: Vec::new(),
        };
        self.heartbeats.push(SentHeartbeat {
            process,
            sent: self.now,
            request,
        });
    }

    fn receive(&mut self, choice: u8, former: bool) {
        let Some(index) = usize::from(choice).checked_rem(self.heartbeats.len()) else {
            return;
        };
        let heartbeat = self.heartbeats.remove(index);
        let now = self.now;
        let (ledger, catalog) = match &mut self.former {
            Some((ledger, catalog, elected)) if former && heartbeat.sent <= *elected => {
                (ledger, &*catalog)
            }
            _ => (&mut self.ledger, &self.script.state),
        };
        match ledger.receive(now, &heartbeat.request, catalog) {
            LeaseDecision::Grant(lease) => self.grants.push(SentGrant {
                process: heartbeat.process,
                sent: heartbeat.sent,
                grant: LeaseGrant {
                    lease_ms: u64::try_from(lease.as_millis()).unwrap(),
                    revision: catalog.revision(),
                    delta: Some(catalog.delta_since(heartbeat.request.revision)),
                },
            }),
            LeaseDecision::NotYet => {}
            LeaseDecision::Superseded => {
                self.processes[heartbeat.process].lease.supersede();
            }
        }
    }

    fn renew(&mut self, index: usize) {
        let sent = self.grants.remove(index);
        let process = &mut self.processes[sent.process];
        if let Some(delta) = &sent.grant.delta {
            // An outdated grant contains a delta that is too old; it is ignored.
            let _ = process.copy.apply_delta(delta);
        }
        let held = process.copy.revision();
        process.lease.renew(sent.sent, &sent.grant, held);
    }

    fn propose(&mut self) {
        let due = self.ledger.due_commands(self.now, &self.script.state);
        self.proposals.extend(due);
        let presence = self.ledger.presence(self.now, &self.script.state);
        let plans = plan_placements(&self.script.state, &presence, &Self::groups());
        self.proposals
            .extend(plans.into_iter().map(CatalogCommand::PlaceGroup));
    }

    fn elect(&mut self, byte: u8) {
        let fresh = LeaseLedger::new(self.now, LEASE);
        let ledger = std::mem::replace(&mut self.ledger, fresh);
        self.former = Some((ledger, self.script.state.clone(), self.now));
        for (index, command) in std::mem::take(&mut self.proposals).into_iter().enumerate() {
            if (byte >> (index % 8)) & 1 == 1 {
                self.script.apply(command);
            }
        }
    }

    fn drain(&mut self, process: usize) {
        let process = &mut self.processes[process];
        process.record.draining = true;
        for plan in plan_handovers(&process.copy, &process.record.id.vm) {
            if process.leads(&plan.group, self.now) {
                process.stopped.insert(plan.group.clone(), plan.clone());
                self.proposals.push(CatalogCommand::PlaceGroup(plan));
            }
        }
    }

    fn check(&mut self) {
        for group in Self::groups() {
            let leads = |process: &&ProcessModel| process.leads(&group, self.now);
            let count = self.processes.iter().filter(leads).count();
            assert!(count <= 1, "{group} is led by {count} processes");
            self.served += count;
        }
    }
}

case! {
    /// Daemons are killed and restarted at their former address, which proves that the former
    /// process has ended. They replace it at once; even with messages of the former process in
    /// flight, no group may be led by two processes.
    immediate_successors_lead_alone {
        let served = run_seeds(0x6c65_4000, 2_000, 400, |steps: Vec<LeaseStep>| {
            let mut model = LeaseModel::new(true);
            for step in steps {
                model.step(step);
            }
            model.served
        });
        assert!(served > 100_000, "groups were led at {served} checks only");
    }
}

case! {
    /// Heartbeats, grants and proposals are delayed, daemons restart while their former process
    /// runs, and former control leaders continue for a while. Two processes that lead one group
    /// would both acknowledge writes, and some of these would be lost.
    no_group_is_led_by_two_processes {
        let served = run_seeds(0x6c65_0000, 2_000, 400, |steps: Vec<LeaseStep>| {
            let mut model = LeaseModel::new(false);
            for step in steps {
                model.step(step);
            }
            model.served
        });
        assert!(served > 100_000, "groups were led at {served} checks only");
    }
}
