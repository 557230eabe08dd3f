//! Randomised tests of promotions: asynchronous replication, network partitions, lost replies, late
//! requests and leaseholders that are replaced at any time.

use crate::common::CatalogScript;
use crate::common::instance_change;
use crate::common::placement;
use crate::common::run_seeds;
use crate::instances::EndpointModel;
use crate::instances::LogEntry;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use ragwort_control::AgentOutcome;
use ragwort_control::ClockTime;
use ragwort_control::GroupPromotion;
use ragwort_control::PositionQuorum;
use ragwort_control::PromotionAction;
use ragwort_control::PromotionActions;
use ragwort_control::PromotionInput;
use ragwort_control::PromotionState;
use ragwort_control::QuorumProgress;
use ragwort_control::WriteTicket;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogOutcome;
use ragwort_types::CommandReply;
use ragwort_types::GroupRecord;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::InstanceStatus;
use ragwort_types::LogPosition;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
enum RunStep {
    /// The leaseholder sends a write to the primary; its answer may be delayed.
    Write { late: bool },
    /// A delayed answer to a write arrives.
    LateAnswer(u8),
    /// An instance restarts.
    Restart(u8),
    /// A replica copies entries from the primary.
    Replicate(u8),
    /// An instance's status is requested; the reply may be delayed.
    Report { instance: u8, late: bool },
    /// A delayed status arrives.
    LateReport(u8),
    /// The detector suspects the primary, rightly or wrongly.
    Suspect,
    /// One of the pending actions is carried out, and its reply arrives or is lost.
    Act { choice: u8, answer_lost: bool },
    /// A request whose reply is no longer awaited reaches its agent late.
    LateRequest(u8),
    /// An instance is partitioned; if that would cut off a majority, all partitions heal.
    Cut(u8),
    /// The leaseholder dies, and its successor resumes from the catalog.
    TakeOver,
    /// Control changes the standbys under the same leaseholder.
    ChangeEpoch,
    /// The leaseholder's copy of the catalog is brought up to date.
    Learn,
    /// Time passes.
    Tick,
    /// The leaseholder adds or removes an instance if that is allowed.
    ChangeSet { instance: u8, add: bool },
}

impl Arbitrary for RunStep {
    fn arbitrary(generator: &mut Gen) -> Self {
        let byte = u8::arbitrary(generator);
        let rarely = u8::arbitrary(generator).is_multiple_of(6);
        match u8::arbitrary(generator) % 60 {
            0..=7 => Self::Write { late: rarely },
            8..=20 => Self::Replicate(byte),
            21..=33 => Self::Report {
                instance: byte,
                late: rarely,
            },
            34 => Self::LateReport(byte),
            35 => Self::Suspect,
            36..=47 => Self::Act {
                choice: byte,
                answer_lost: rarely,
            },
            48 => Self::LateRequest(byte),
            49 => Self::Cut(byte),
            50 if rarely => Self::TakeOver,
            51 if rarely => Self::ChangeEpoch,
            52 => Self::LateAnswer(byte),
            53 if rarely => Self::Restart(byte),
            50..=53 => Self::Learn,
            54..=55 => Self::ChangeSet {
                instance: byte,
                add: rarely,
            },
            _ => Self::Tick,
        }
    }
}

struct PromotionModel {
    script: CatalogScript,
    endpoints: EndpointModel,
    cut: BTreeSet<InstanceName>,
    promotion: GroupPromotion,
    quorum: PositionQuorum,
    serving: Option<(InstanceName, GroupTerm)>,
    actions: Vec<PromotionAction>,
    late_requests: Vec<PromotionAction>,
    late_answers: Vec<(u64, LogPosition)>,
    late_reports: Vec<(ClockTime, InstanceName, InstanceStatus)>,
    waiting: BTreeMap<WriteTicket, (u64, GroupTerm)>,
    acknowledged: BTreeMap<u64, GroupTerm>,
    written: u64,
    served_in: BTreeMap<GroupTerm, InstanceName>,
    now: ClockTime,
}

impl PromotionModel {
    fn new(instances: usize) -> Self {
        let mut script = CatalogScript::with_members(3);
        let place = placement("cases", 1, "vm-1", &["vm-2", "vm-3"]);
        script.expect_done(CatalogCommand::PlaceGroup(place));
        let endpoints = EndpointModel::new(instances);
        for name in endpoints.names() {
            let change = instance_change(name.as_str(), 1, 0);
            script.expect_done(CatalogCommand::AddInstance(change));
        }
        let record = script.state.group(&"cases".into()).unwrap().clone();
        let now = ClockTime::from_millis(1_000);
        let (promotion, _) = GroupPromotion::resume(&record, now);
        let mut model = Self {
            quorum: PositionQuorum::new(&record),
            script,
            endpoints,
            cut: BTreeSet::new(),
            promotion,
            serving: None,
            actions: Vec::new(),
            late_requests: Vec::new(),
            late_answers: Vec::new(),
            late_reports: Vec::new(),
            waiting: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            written: 0,
            served_in: BTreeMap::new(),
            now,
        };
        model.handle(PromotionInput::FormationReady);
        model
    }

    fn record(&self) -> GroupRecord {
        self.script.state.group(&"cases".into()).unwrap().clone()
    }

    fn step(&mut self, step: RunStep) {
        self.now = self.now + Duration::from_millis(10);
        match step {
            RunStep::Write { late } => self.write(late),
            RunStep::LateAnswer(byte) => {
                if let Some((value, position)) = take_any(&mut self.late_answers, byte) {
                    self.take_answer(value, position);
                }
            }
            RunStep::Restart(byte) => self.endpoints.restart(&self.endpoints.pick(byte)),
            RunStep::Replicate(byte) => self.replicate(byte),
            RunStep::Report { instance, late } => self.ask_status(instance, late),
            RunStep::LateReport(byte) => {
                if let Some((sent, name, status)) = take_any(&mut self.late_reports, byte) {
                    self.report(sent, &name, status);
                }
            }
            RunStep::Suspect => self.handle(PromotionInput::Suspected(self.promotion.term())),
            RunStep::Act {
                choice,
                answer_lost,
            } => {
                if let Some(action) = take_any(&mut self.actions, choice) {
                    self.act(action, answer_lost);
                }
            }
            RunStep::LateRequest(byte) => {
                if let Some(action) = take_any(&mut self.late_requests, byte) {
                    self.endpoints.request(&action);
                }
            }
            RunStep::Cut(byte) => {
                self.cut.insert(self.endpoints.pick(byte));
                if 2 * self.cut.len() > self.endpoints.names().len() {
                    self.cut.clear();
                }
            }
            RunStep::TakeOver => self.take_over(),
            RunStep::ChangeEpoch => {
                self.raise_epoch();
                self.learn();
            }
            RunStep::Learn => self.learn(),
            RunStep::Tick => {
                self.now = self.now + Duration::from_millis(50);
                self.handle(PromotionInput::Tick);
            }
            RunStep::ChangeSet { instance, add } => self.change_set(instance, add),
        }
    }

    fn handle(&mut self, input: PromotionInput) {
        let actions = self.promotion.handle(self.now, input);
        self.take_actions(actions);
    }

    fn take_actions(&mut self, actions: PromotionActions) {
        for action in actions {
            match action {
                PromotionAction::Serve(name, term) => self.serve(name, term),
                PromotionAction::Suspend | PromotionAction::Stop => {
                    self.serving = None;
                    for ticket in self.quorum.suspend() {
                        self.waiting.remove(&ticket);
                    }
                }
                other => self.actions.push(other),
            }
        }
    }

    fn serve(&mut self, name: InstanceName, term: GroupTerm) {
        let first = self.served_in.entry(term).or_insert_with(|| name.clone());
        assert_eq!(*first, name, "term {term} has two primaries");
        self.adopt(&self.promotion.record().clone());
        self.serving = Some((name, term));
    }

    fn adopt(&mut self, record: &GroupRecord) {
        for ticket in self.quorum.adopt_record(record) {
            self.waiting.remove(&ticket);
        }
    }

    /// Checks the invariants of a recorded primary: it holds every acknowledged write.
    fn check_primary(&self) {
        let record = self.record();
        let primary = record.primary.unwrap();
        for (value, term) in &self.acknowledged {
            let held = self.endpoints.holds(&primary, *value);
            assert!(
                held,
                "write {value} of term {term} is lost in term {}",
                record.term
            );
        }
    }

    fn act(&mut self, action: PromotionAction, answer_lost: bool) {
        let (name, term) = match &action {
            PromotionAction::ProposeTerm(start) => {
                let reply = self.propose(CatalogCommand::BeginTerm(start.clone()), answer_lost);
                return self.handle(PromotionInput::TermAnswered(start.term, reply));
            }
            PromotionAction::ProposePrimary(record) => {
                let command = CatalogCommand::RecordPrimary(record.clone());
                let reply = self.propose(command, answer_lost);
                return self.handle(PromotionInput::RecordAnswered(record.term, reply));
            }
            PromotionAction::Fence(name, term) | PromotionAction::Promote(name, term) => {
                (name.clone(), *term)
            }
            PromotionAction::Follow(order) => (order.instance.clone(), order.term),
            _ => return,
        };
        let outcome = self.ask_agent(&name, &action, answer_lost);
        self.handle(match action {
            PromotionAction::Fence(..) => PromotionInput::FenceAnswered(name, term, outcome),
            PromotionAction::Promote(..) => PromotionInput::PromoteAnswered(name, term, outcome),
            _ => PromotionInput::FollowAnswered(name, term, outcome),
        });
    }

    fn propose(&mut self, command: CatalogCommand, answer_lost: bool) -> CommandReply {
        let recording = matches!(command, CatalogCommand::RecordPrimary(_));
        let outcome = self.script.apply(command);
        if recording && matches!(outcome, CatalogOutcome::Done(_)) {
            self.check_primary();
        }
        match answer_lost {
            true => CommandReply::Unknown,
            false => CommandReply::Committed(outcome),
        }
    }

    fn ask_agent(
        &mut self,
        name: &InstanceName,
        action: &PromotionAction,
        answer_lost: bool,
    ) -> AgentOutcome {
        if self.cut.contains(name) {
            if !answer_lost {
                return AgentOutcome::NotSent;
            }
            self.late_requests.push(action.clone());
            return AgentOutcome::Unknown;
        }
        match (self.endpoints.request(action), answer_lost) {
            (_, true) => AgentOutcome::Unknown,
            (reply, false) => AgentOutcome::Answered(reply),
        }
    }

    fn write(&mut self, late: bool) {
        let Some((primary, _)) = self.serving.clone() else {
            return;
        };
        if self.cut.contains(&primary) {
            return;
        }
        self.written += 1;
        let value = self.written;
        let Some(position) = self.endpoints.write(&primary, value) else {
            return;
        };
        match late {
            true => self.late_answers.push((value, position)),
            false => self.take_answer(value, position),
        }
    }

    fn take_answer(&mut self, value: u64, position: LogPosition) {
        let (ticket, progress) = self.quorum.await_majority(position);
        if !progress.abandoned.contains(&ticket) {
            self.waiting.insert(ticket, (value, position.term));
        }
        self.acknowledge(progress);
    }

    fn acknowledge(&mut self, progress: QuorumProgress) {
        for ticket in progress.released {
            let Some((value, term)) = self.waiting.remove(&ticket) else {
                continue;
            };
            let record = self.record();
            let replaced = record.term > term && record.primary.is_some();
            assert!(
                !replaced,
                "write {value} acknowledged by the replaced primary of {term}"
            );
            self.acknowledged.insert(value, term);
        }
    }

    fn replicate(&mut self, byte: u8) {
        let name = self.endpoints.pick(byte);
        if !self.cut.contains(&name) {
            self.endpoints.replicate(&name, &self.cut);
        }
    }

    fn ask_status(&mut self, byte: u8, late: bool) {
        let name = self.endpoints.pick(byte);
        if self.cut.contains(&name) {
            return;
        }
        let status = self.endpoints.status(&name);
        match late {
            true => self.late_reports.push((self.now, name, status)),
            false => self.report(self.now, &name, status),
        }
    }

    fn report(&mut self, sent: ClockTime, name: &InstanceName, status: InstanceStatus) {
        let progress = self.quorum.report(sent, sent, name, status);
        self.acknowledge(progress);
        self.handle(PromotionInput::StatusReported(name.clone(), status));
    }

    fn raise_epoch(&mut self) {
        let mut next = self.record().placement;
        next.epoch = next.epoch.next();
        self.script.expect_done(CatalogCommand::PlaceGroup(next));
    }

    /// The former leaseholder's lease has ended; its requests may still reach agents and control.
    fn take_over(&mut self) {
        self.raise_epoch();
        self.late_requests.append(&mut self.actions);
        self.late_reports.clear();
        self.late_answers.clear();
        self.waiting.clear();
        self.serving = None;
        let record = self.record();
        self.quorum = PositionQuorum::new(&record);
        let (promotion, actions) = GroupPromotion::resume(&record, self.now);
        self.promotion = promotion;
        self.take_actions(actions);
        self.handle(PromotionInput::FormationReady);
    }

    fn learn(&mut self) {
        let record = self.record();
        self.handle(PromotionInput::RecordChanged(Box::new(record.clone())));
        self.adopt(&record);
    }

    fn change_set(&mut self, byte: u8, add: bool) {
        let name = self.endpoints.pick(byte);
        let term = self.quorum.term();
        let change = instance_change(name.as_str(), self.record().placement.epoch.0, term.0);
        let command = if add && self.quorum.may_add(&name) {
            self.quorum.propose_add(&name);
            CatalogCommand::AddInstance(change)
        } else if !add && self.quorum.may_remove(&name) {
            self.quorum.propose_remove(&name);
            CatalogCommand::RemoveInstance(change)
        } else {
            return;
        };
        if self.script.apply(command) == CatalogOutcome::Stale {
            let progress = self.quorum.withdraw_proposal();
            self.acknowledge(progress);
        }
    }

    /// Heals all partitions and checks that the group is served again and that writes are
    /// acknowledged.
    fn expect_recovery(&mut self) {
        self.cut.clear();
        let before = self.acknowledged.len();
        for _ in 0..200 {
            self.step(RunStep::Learn);
            self.step(RunStep::Tick);
            for byte in 0..u8::try_from(self.actions.len()).unwrap_or(u8::MAX) {
                let choice = byte / 2;
                self.step(RunStep::Act {
                    choice,
                    answer_lost: false,
                });
            }
            for byte in 0..6 {
                self.step(RunStep::Replicate(byte));
                self.step(RunStep::Report {
                    instance: byte,
                    late: false,
                });
            }
            self.step(RunStep::Write { late: false });
            if self.acknowledged.len() > before && self.record().primary.is_some() {
                return self.check_primary();
            }
        }
        panic!("{:?} is stuck: {:?}", self.promotion, self.record());
    }
}

fn take_any<T>(items: &mut Vec<T>, byte: u8) -> Option<T> {
    let index = usize::from(byte).checked_rem(items.len())?;
    Some(items.remove(index))
}

fn run_promotions(base: u64, instances: usize) {
    let acknowledged = run_seeds(base, 2_000, 300, |steps: Vec<RunStep>| {
        let mut model = PromotionModel::new(instances);
        model.expect_recovery();
        for step in steps {
            model.step(step);
        }
        model.expect_recovery();
        model.acknowledged.len()
    });
    assert!(acknowledged > 8_000, "only {acknowledged} writes");
}

case! {
    /// Primaries in a group of three are partitioned or suspected at any time, while replies are
    /// lost and leaseholders die. No acknowledged write may be lost.
    three_instances_lose_no_acknowledged_write {
        run_promotions(0x7072_0000, 3);
    }
}

case! {
    /// The same with four instances, where a majority is three and a tie decides nothing.
    four_instances_lose_no_acknowledged_write {
        run_promotions(0x7072_4000, 4);
    }
}

case! {
    /// The same with five instances, two of which may be unavailable without an interruption.
    five_instances_lose_no_acknowledged_write {
        run_promotions(0x7072_8000, 5);
    }
}

case! {
    /// The record of a primary is refused because its instance left the set, and the delta with the
    /// new term arrives afterwards. Another promotion in that term would give it two primaries, so
    /// the next term must be proposed.
    refused_record_leads_to_the_next_term {
        let mut model = PromotionModel::new(3);
        model.expect_recovery();
        model.actions.clear();
        let term = model.promotion.term();
        model.step(RunStep::Suspect);
        for _ in 0..20 {
            if model.promotion.state() == PromotionState::Recording {
                break;
            }
            model.step(RunStep::Act { choice: 0, answer_lost: false });
        }
        let begun = term.next();
        let refused = CommandReply::Committed(CatalogOutcome::Stale);
        model.handle(PromotionInput::RecordAnswered(begun, refused));
        model.step(RunStep::Learn);
        assert_eq!(model.promotion.state(), PromotionState::Beginning);
        assert_eq!(model.promotion.term(), begun.next());
    }
}

case! {
    /// The instances hold data from before their first term, and the one with the most data answers
    /// last. Promoting the best instance of a majority would lose that data.
    first_primary_is_chosen_among_all_instances {
        let mut model = PromotionModel::new(3);
        let longest = model.endpoints.pick(2);
        model.endpoints.load(&longest, LogEntry { term: GroupTerm(0), value: Some(77) });
        model.cut.insert(longest.clone());
        for _ in 0..20 {
            model.step(RunStep::Tick);
            model.step(RunStep::Act { choice: 0, answer_lost: false });
        }
        assert_eq!(model.serving, None);
        model.expect_recovery();
        assert!(model.endpoints.holds(&longest, 77));
        assert_eq!(model.record().primary, Some(longest));
    }
}
