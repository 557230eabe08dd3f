//! Instances that reject or fail a part of their statements, or go down and up.

use super::draw::INSTANCE_NAMES;
use super::draw::INSTANCES;
use super::draw::PolicyModel;
use super::draw::RunnerEvent;
use super::runner::LoadRunner;
use ragwort_policy::FinishDecision;
use ragwort_policy::FinishOutcome;
use ragwort_policy::RequestTicket;
use ragwort_types::AccessMode;
use ragwort_types::InstanceName;
use std::collections::HashMap;
use std::time::Duration;

/// The time after which a connection to an instance that is down is refused.
pub const REFUSED_OPEN_TIME: Duration = Duration::from_millis(1);

/// The time for which a flapping instance is down, and then up.
const FLAP_TIME: Duration = Duration::from_millis(500);

/// How the scheduler learns of rejected and failed statements and of outages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultReports {
    /// As such.
    Told,
    /// As statements that did not run or were lost, as it was before the scheduler told them apart.
    Merged,
}

/// The present state of the faults of a run.
pub struct FaultModel {
    seed: u64,
    down: [bool; INSTANCES],
    /// The number of draws for each request.
    draws: HashMap<RequestTicket, u64>,
}

impl FaultModel {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            down: [false; INSTANCES],
            draws: HashMap::new(),
        }
    }

    pub fn is_down(&self, instance: usize) -> bool {
        self.down[instance]
    }

    /// Draws a number from 0 to 1 that depends on the seed, the request and how often it was drawn
    /// for, so that two policies meet the same luck.
    fn draw(&mut self, ticket: RequestTicket) -> f64 {
        let draw = self.draws.entry(ticket).or_default();
        *draw += 1;
        let mut state = self.seed ^ ticket.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (*draw << 56);
        state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((state ^ (state >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

impl LoadRunner<'_> {
    /// Returns whether an instance rejects a statement, or is down.
    pub fn refuses(&mut self, ticket: RequestTicket, instance: usize) -> bool {
        if self.faults.is_down(instance) {
            return true;
        }
        let faulty = self.pattern.faulty;
        let faulty = faulty.filter(|faulty| faulty.instance == instance && faulty.rejects > 0.0);
        faulty.is_some_and(|faulty| self.faults.draw(ticket) < faulty.rejects)
    }

    /// Returns whether a statement that ran on an instance has failed.
    pub fn fails(&mut self, ticket: RequestTicket, instance: usize) -> bool {
        let faulty = self.pattern.faulty;
        let faulty = faulty.filter(|faulty| faulty.instance == instance && faulty.fails > 0.0);
        let read = self.source(ticket).access == AccessMode::Read;
        faulty.is_some_and(|faulty| read && self.faults.draw(ticket) < faulty.fails)
    }

    /// Reports a rejected statement, or one that reached an instance that is down.
    pub fn reject(&mut self, ticket: RequestTicket, instance: usize) {
        if self.faults.is_down(instance) {
            self.outcome.lost += 1;
            return self.finish_without_answer(ticket, FinishOutcome::Lost);
        }
        self.outcome.rejected += 1;
        let outcome = match self.pattern.reports {
            FaultReports::Told => FinishOutcome::Rejected,
            FaultReports::Merged => FinishOutcome::NotRun,
        };
        self.finish_without_answer(ticket, outcome);
    }

    /// Reports a statement that ran and failed.
    pub fn fail(&mut self, ticket: RequestTicket) {
        self.outcome.failed += 1;
        let outcome = match self.pattern.reports {
            FaultReports::Told => FinishOutcome::Failed,
            FaultReports::Merged => FinishOutcome::Lost,
        };
        self.finish_without_answer(ticket, outcome);
    }

    /// Ends a statement without an answer; its caller gets an error unless it is sent again.
    fn finish_without_answer(&mut self, ticket: RequestTicket, outcome: FinishOutcome) {
        let decision = match &mut self.policy {
            PolicyModel::Plain(_) => panic!("the plain policy knows no faults"),
            PolicyModel::Scheduler(scheduler) => scheduler.finished(self.now, ticket, outcome),
        };
        match decision {
            FinishDecision::Requeued => {}
            FinishDecision::Refused(_) | FinishDecision::Settled => self.settle_refused(ticket),
            FinishDecision::Unknown => panic!("a running request is unknown"),
        }
    }

    /// Breaks all connections of an instance, with the statements that run on them.
    pub fn go_down(&mut self, instance: usize) {
        self.faults.down[instance] = true;
        let endpoint = &mut self.endpoints[instance];
        let running = std::mem::take(&mut endpoint.running);
        let open = std::mem::take(&mut endpoint.open);
        endpoint.held = 0;
        let lost = running.len() as u64;
        self.outcome.lost += lost;
        self.outcome.most_lost = self.outcome.most_lost.max(lost);
        for ticket in running {
            self.finish_without_answer(ticket, FinishOutcome::Lost);
        }
        if let PolicyModel::Scheduler(scheduler) = &mut self.policy {
            let name = InstanceName::from(INSTANCE_NAMES[instance]);
            for _ in 0..open {
                scheduler.connection_closed(&name);
                if self.pattern.reports == FaultReports::Told {
                    scheduler.connection_broke(self.now, &name);
                }
            }
        }
        self.schedule(self.now + FLAP_TIME, RunnerEvent::Up(instance));
    }

    /// Lets an instance take connections again.
    pub fn come_up(&mut self, instance: usize) {
        self.faults.down[instance] = false;
        self.schedule(self.now + FLAP_TIME, RunnerEvent::Down(instance));
    }

    /// Reports a connection that an instance has refused.
    pub fn fail_connection(&mut self, instance: usize) {
        if let PolicyModel::Scheduler(scheduler) = &mut self.policy {
            let name = InstanceName::from(INSTANCE_NAMES[instance]);
            scheduler.connection_failed(self.now, &name);
            if self.pattern.reports == FaultReports::Told {
                scheduler.endpoint_unreachable(self.now, &name);
            }
        }
    }
}
