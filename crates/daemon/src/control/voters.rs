//! Maintains the members of the replicated log: admits control VMs up to a limit, and removes
//! learners that are lost for good, and lost voters where that makes the majority smaller.

use super::ControlTask;
use crate::log_event;
use log::Level;
use ragwort_control::AbsentMember;
use ragwort_control::MemberStanding;
use ragwort_control::MemberSurvey;
use ragwort_types::VmName;
use std::collections::BTreeSet;

impl ControlTask {
    /// As leader, admits a control VM that isn't a member, or else removes a lost member.
    pub(super) fn propose_voter_change(&mut self, live: &BTreeSet<VmName>) {
        let survey = self.survey_members(live);
        if !survey.is_full()
            && let Some(vm) = self.find_voter_to_admit(live)
        {
            let admitted = self.node.admit_vm(vm.clone()).is_ok();
            log_event!(Level::Info, "voter_expected", vm = vm, proposed = admitted);
            return;
        }
        match survey.find_removable() {
            Some(member) => {
                let (vm, silence) = (&member.id.vm, member.silent_timeouts);
                let (event, removal) = match member.standing {
                    MemberStanding::Voter => ("voter_removed", self.node.remove_vm(vm)),
                    MemberStanding::Learner => {
                        ("learner_removed", self.node.remove_learner(&member.id))
                    }
                };
                log_event!(
                    Level::Warn,
                    event,
                    vm = vm,
                    proposed = removal.is_ok(),
                    silent_timeouts = silence,
                );
            }
            None => self.log_absent_members(survey),
        }
    }

    /// Finds a live control VM outside the set.
    fn find_voter_to_admit(&self, live: &BTreeSet<VmName>) -> Option<VmName> {
        let mut members = self
            .catalog
            .members()
            .filter(|member| member.traits.control);
        let admissible = members.find(|member| {
            let vm = &member.id.vm;
            live.contains(vm) && !self.node.is_member(vm) && !member.draining
        });
        admissible.map(|member| member.id.vm.clone())
    }

    /// Surveys the members of the replicated log, as leader.
    ///
    /// A VM that has just started isn't in the catalog either, but answers.
    fn survey_members(&self, live: &BTreeSet<VmName>) -> MemberSurvey {
        let voters = self.node.voters();
        let election_ticks = self.settings.timing.election_ticks.max(1);
        let absent = self.node.member_progress().into_iter().filter(|member| {
            let vm = &member.id.vm;
            !live.contains(vm) && self.catalog.member(vm).is_none()
        });
        let absent = absent.map(|member| AbsentMember {
            standing: match voters.contains(&member.id) {
                true => MemberStanding::Voter,
                false => MemberStanding::Learner,
            },
            departed: self.catalog.has_departed(&member.id.vm),
            silent_timeouts: member.silent_ticks / election_ticks,
            id: member.id,
        });
        MemberSurvey {
            voters: voters.len(),
            learners: self.node.learners().len(),
            least_voters: self.settings.least_voters(),
            absent: absent.collect(),
        }
    }

    /// Logs the members that are absent and stay, once for each change of the survey other than the
    /// length of their silence.
    fn log_absent_members(&mut self, survey: MemberSurvey) {
        let mut kept = survey;
        for member in &mut kept.absent {
            member.silent_timeouts = 0;
        }
        if kept.absent.is_empty() {
            self.logged_survey = None;
            return;
        }
        if self.logged_survey.as_ref() == Some(&kept) {
            return;
        }
        let members = kept.absent.iter().map(ToString::to_string);
        log_event!(
            Level::Info,
            "absent_members_kept",
            members = members.collect::<Vec<_>>().join(","),
            voters = kept.voters,
            learners = kept.learners,
            least_voters = kept.least_voters,
        );
        self.logged_survey = Some(kept);
    }
}
