//! Starting a node from its disk, and forming a log.

use super::AgreementNode;
use super::durable::DiskWrite;
use super::durable::DurableState;
use super::durable::HardState;
use super::entry::ElectionTerm;
use super::entry::EntryMark;
use super::entry::EntryPayload;
use super::entry::LogEntry;
use super::entry::LogIndex;
use super::entry::VoterConfiguration;
use super::entry::VoterId;
use super::output::AgreementOutput;
use super::role::RoleState;
use super::settings::AgreementSettings;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::fmt;

/// Why a node can't start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The disk belongs to another VM.
    ForeignDisk(VoterId),
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ForeignDisk(id) => write!(formatter, "the disk belongs to {id}"),
        }
    }
}

impl std::error::Error for StartError {}

/// Why a log can't be formed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FormError {
    /// The node holds a log already.
    NotEmpty,
    /// The node isn't among the voters.
    NotAmongVoters,
    /// Two voters have the same VM.
    SameVmTwice,
}

impl fmt::Display for FormError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotEmpty => "this node holds a log already",
            Self::NotAmongVoters => "this node isn't among the voters",
            Self::SameVmTwice => "two voters have the same VM",
        })
    }
}

impl std::error::Error for FormError {}

impl AgreementNode {
    /// Starts a node from what its disk held.
    ///
    /// An empty disk gets the identity in the settings; otherwise the disk's own identity holds,
    /// whatever incarnation the settings name.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] when the disk belongs to another VM.
    pub fn start(settings: AgreementSettings, state: DurableState) -> Result<Self, StartError> {
        let mut output = AgreementOutput::default();
        let id = match state.id {
            Some(id) if id.vm != settings.id.vm => return Err(StartError::ForeignDisk(id)),
            Some(id) => id,
            None => {
                output.writes.push(DiskWrite::Identity(settings.id.clone()));
                settings.id.clone()
            }
        };
        let base = state.log.base().index;
        output.install = state.log.snapshot().cloned();
        let name_hash = u64::from(crc32fast::hash(id.to_string().as_bytes()));
        let mut node = Self {
            random: StdRng::seed_from_u64(settings.seed ^ name_hash),
            settings,
            id,
            hard: state.hard,
            log: state.log,
            role: RoleState::Follower,
            leader: None,
            leader_heard_at: None,
            commit: base,
            delivered: base,
            tick: 0,
            election_due_at: 0,
            next_ticket: 0,
            incoming: None,
            outdated_by: None,
            output,
        };
        node.await_first_turn();
        Ok(node)
    }

    /// Forms a log: writes the first entry, which names the voters.
    ///
    /// This is the operator's one explicit act, done with the same list on each named voter. No
    /// node ever does it by itself: a VM that has lost its disk would form a second log beside the
    /// first. Repeating it with the same voters changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`FormError`] when the node holds another log already or the list doesn't fit.
    pub fn form(&mut self, voters: Vec<VoterId>) -> Result<(), FormError> {
        let configuration = VoterConfiguration::form(voters);
        if !configuration.is_voter(&self.id) {
            return Err(FormError::NotAmongVoters);
        }
        let voters = &configuration.voters;
        if voters.windows(2).any(|pair| pair[0].vm == pair[1].vm) {
            return Err(FormError::SameVmTwice);
        }
        if self.formation() == Some(configuration.formation) {
            return Ok(());
        }
        if !self.log.is_empty() || self.hard != HardState::default() {
            return Err(FormError::NotEmpty);
        }
        let mark = EntryMark::new(ElectionTerm(1), LogIndex(1));
        self.enter_term(mark.term);
        self.append_entry(LogEntry {
            mark,
            payload: EntryPayload::Configuration(Box::new(configuration)),
        });
        Ok(())
    }
}
