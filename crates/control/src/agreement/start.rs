//! The start of a node from its durable state, and the formation of a new log.

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

/// The reason why a node can't start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The disk has the identity of another VM.
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

/// The reason why a log can't be formed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FormError {
    /// The node already has a log, a term or a vote.
    NotEmpty,
    /// The node isn't among the voters.
    NotAmongVoters,
    /// Two voters are on the same VM.
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
    /// Starts a node from the durable state on its disk.
    ///
    /// A node with an empty disk gets the identity in the settings. Otherwise the identity on the
    /// disk applies, whatever incarnation the settings name.
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
            hard_state: state.hard_state,
            log: state.log,
            role: RoleState::Follower,
            leader: None,
            leader_contact_tick: None,
            commit: base,
            delivered: base,
            tick: 0,
            election_due_at: 0,
            next_ticket: 0,
            incoming: None,
            outdated_by: None,
            output,
        };
        node.schedule_first_pre_vote();
        Ok(node)
    }

    /// Forms a new log by writing its first entry, which names the voters.
    ///
    /// An operator requests this explicitly, with the same list on each of the voters. A node never
    /// does so by itself: a VM that has lost its disk would form a second log next to the first.
    /// Repeating the call with the same voters has no effect.
    ///
    /// # Errors
    ///
    /// Returns [`FormError`] when the node already has another log, or when the voters don't
    /// include this node or name a VM twice.
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
        if !self.log.is_empty() || self.hard_state != HardState::default() {
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
