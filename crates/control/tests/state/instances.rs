//! Model of a group's instances with asynchronous replication.

use ragwort_control::PromotionAction;
use ragwort_types::FenceReply;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::InstanceRole;
use ragwort_types::InstanceStatus;
use ragwort_types::LogPosition;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// An entry of an instance's log; the start of a term has no value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogEntry {
    pub term: GroupTerm,
    pub value: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct InstanceModel {
    log: Vec<LogEntry>,
    fenced: GroupTerm,
    /// The term in which this instance is the primary.
    leads: Option<GroupTerm>,
    follows: Option<InstanceName>,
}

/// The instances of one group.
pub struct EndpointModel {
    instances: BTreeMap<InstanceName, InstanceModel>,
}

impl EndpointModel {
    pub fn new(count: usize) -> Self {
        let names = (0..count).map(|number| InstanceName::from(format!("instance-{number}")));
        Self {
            instances: names.map(|name| (name, InstanceModel::default())).collect(),
        }
    }

    pub fn names(&self) -> Vec<InstanceName> {
        self.instances.keys().cloned().collect()
    }

    pub fn pick(&self, byte: u8) -> InstanceName {
        self.names()[usize::from(byte) % self.instances.len()].clone()
    }

    /// Appends an entry from before the first term to an instance's log.
    pub fn load(&mut self, name: &InstanceName, entry: LogEntry) {
        self.instances.get_mut(name).unwrap().log.push(entry);
    }

    pub fn holds(&self, name: &InstanceName, value: u64) -> bool {
        let log = &self.instances[name].log;
        log.iter().any(|entry| entry.value == Some(value))
    }

    pub fn status(&self, name: &InstanceName) -> InstanceStatus {
        let instance = &self.instances[name];
        InstanceStatus {
            role: match instance.leads {
                Some(_) => InstanceRole::Primary,
                None => InstanceRole::Replica,
            },
            fenced_term: instance.fenced,
            position: instance.position(),
            leaving: false,
        }
    }

    /// Applies a request to an instance's agent.
    pub fn request(&mut self, action: &PromotionAction) -> FenceReply {
        let (name, term) = match action {
            PromotionAction::Fence(name, term) | PromotionAction::Promote(name, term) => {
                (name, *term)
            }
            PromotionAction::Follow(order) => (&order.instance, order.term),
            _ => return FenceReply::Refused(GroupTerm(0)),
        };
        let instance = self.instances.get_mut(name).unwrap();
        if term < instance.fenced {
            return FenceReply::Refused(instance.fenced);
        }
        if term > instance.fenced {
            instance.leads = None;
            instance.follows = None;
        }
        match action {
            PromotionAction::Promote(..) => instance.promote(term),
            PromotionAction::Follow(order) => instance.follow(order.primary.clone()),
            _ => {}
        }
        instance.fenced = term;
        FenceReply::Fenced(instance.position())
    }

    /// Restarts an instance, which keeps its log and its fenced term but loses its role.
    pub fn restart(&mut self, name: &InstanceName) {
        let instance = self.instances.get_mut(name).unwrap();
        instance.leads = None;
        instance.follows = None;
    }

    /// Appends a value; returns `None` if the instance isn't a primary.
    pub fn write(&mut self, name: &InstanceName, value: u64) -> Option<LogPosition> {
        let instance = self.instances.get_mut(name)?;
        let term = instance.leads?;
        let value = Some(value);
        instance.log.push(LogEntry { term, value });
        Some(instance.position())
    }

    /// Replicates one entry from the followed primary, after truncating what that primary lacks.
    pub fn replicate(&mut self, name: &InstanceName, cut: &BTreeSet<InstanceName>) {
        let follower = &self.instances[name];
        let Some(primary) = follower
            .follows
            .clone()
            .filter(|primary| !cut.contains(primary))
        else {
            return;
        };
        let source = &self.instances[&primary];
        if source.leads != Some(follower.fenced) {
            return;
        }
        let pairs = follower.log.iter().zip(&source.log);
        let common = pairs.take_while(|(own, other)| own == other).count();
        let next = source.log.get(common).copied();
        let follower = self.instances.get_mut(name).unwrap();
        follower.log.truncate(common);
        follower.log.extend(next);
    }
}

impl InstanceModel {
    fn position(&self) -> LogPosition {
        let last = self.log.last().map_or(GroupTerm(0), |entry| entry.term);
        LogPosition::new(last, self.log.len() as u64)
    }

    fn promote(&mut self, term: GroupTerm) {
        if self.leads != Some(term) && self.follows.is_none() {
            self.leads = Some(term);
            self.log.push(LogEntry { term, value: None });
        }
    }

    fn follow(&mut self, primary: InstanceName) {
        self.leads = None;
        self.follows = Some(primary);
    }
}
