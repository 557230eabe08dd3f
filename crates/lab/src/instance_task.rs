//! The task that owns an instance's state, and the handle through which connections and the agent
//! use it.
//!
//! All operations are messages to this one task, which serves them in order. A fence or promotion
//! therefore can't take place between the check of a commit and its effect.

use crate::instance::FetchReply;
use crate::instance::FetchRequest;
use crate::instance::FollowTarget;
use crate::instance::InstanceCore;
use crate::instance::KeyWrite;
use crate::instance::LogEntry;
use crate::instance::StatementFault;
use ragwort_types::FenceReply;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceStatus;
use ragwort_types::LogPosition;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

/// The capacity of the queue of commands to the instance's task.
const COMMAND_QUEUE_CAPACITY: usize = 1024;

/// The result of a position query.
pub type PositionReply = Result<InstanceStatus, StatementFault>;

/// A call of the instance's task: the arguments, and the channel for the reply.
enum InstanceCommand {
    Check(u64, bool, oneshot::Sender<Result<(), StatementFault>>),
    Read(u64, String, oneshot::Sender<ReadReply>),
    Commit(u64, Vec<KeyWrite>, oneshot::Sender<CommitReply>),
    Position(u64, oneshot::Sender<PositionReply>),
    Generation(oneshot::Sender<u64>),
    Fence(GroupTerm, oneshot::Sender<FenceReply>),
    Promote(GroupTerm, u64, oneshot::Sender<FenceReply>),
    Follow(FollowTarget, oneshot::Sender<FenceReply>),
    Fetch(FetchRequest, oneshot::Sender<FetchReply>),
    Append(GroupTerm, u64, Vec<LogEntry>, oneshot::Sender<()>),
    DropAfter(GroupTerm, u64, oneshot::Sender<LogPosition>),
    PositionAt(u64, oneshot::Sender<LogPosition>),
    SetLeaving(bool, oneshot::Sender<()>),
    ReadLog(oneshot::Sender<Vec<LogEntry>>),
}

type ReadReply = Result<Option<String>, StatementFault>;
type CommitReply = Result<LogPosition, StatementFault>;

/// A handle for calls of an instance's task; clones refer to the same instance.
#[derive(Clone, Debug)]
pub struct InstanceHandle {
    commands: mpsc::Sender<InstanceCommand>,
    status: watch::Receiver<InstanceStatus>,
    target: watch::Receiver<Option<FollowTarget>>,
}

/// The task that owns an [`InstanceCore`].
#[derive(Debug)]
pub struct InstanceTask {
    core: InstanceCore,
    commands: mpsc::Receiver<InstanceCommand>,
    status: watch::Sender<InstanceStatus>,
    target: watch::Sender<Option<FollowTarget>>,
}

/// Creates the task for an instance, and its handle.
pub fn create_instance(core: InstanceCore) -> (InstanceTask, InstanceHandle) {
    let (command_sender, commands) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let (status, status_receiver) = watch::channel(core.status());
    let (target, target_receiver) = watch::channel(core.target());
    let task = InstanceTask {
        core,
        commands,
        status,
        target,
    };
    let handle = InstanceHandle {
        commands: command_sender,
        status: status_receiver,
        target: target_receiver,
    };
    (task, handle)
}

impl InstanceTask {
    /// Serves commands until all handles are dropped.
    pub async fn run(mut self) {
        while let Some(command) = self.commands.recv().await {
            self.serve(command);
            self.publish();
        }
    }

    /// Publishes status and follow target to their watchers if they have changed.
    fn publish(&self) {
        let status = self.core.status();
        self.status
            .send_if_modified(|known| std::mem::replace(known, status) != status);
        let target = self.core.target();
        self.target
            .send_if_modified(|known| std::mem::replace(known, target) != target);
    }

    /// Executes a command. Failing to send a reply is ignored: the caller has stopped waiting.
    fn serve(&mut self, command: InstanceCommand) {
        use InstanceCommand as Command;
        match command {
            Command::Check(generation, writes, reply) => {
                let _ = reply.send(self.core.check(generation, writes));
            }
            Command::Read(generation, key, reply) => {
                let _ = reply.send(self.core.read(generation, &key));
            }
            Command::Commit(generation, writes, reply) => {
                let _ = reply.send(self.core.commit(generation, writes, unix_micros()));
            }
            Command::Position(generation, reply) => {
                let checked = self.core.check(generation, false);
                let _ = reply.send(checked.map(|()| self.core.status()));
            }
            Command::Generation(reply) => {
                let _ = reply.send(self.core.generation());
            }
            Command::Fence(term, reply) => {
                let _ = reply.send(self.core.fence(term));
            }
            Command::Promote(term, lose_tail, reply) => {
                let _ = reply.send(self.core.promote(term, lose_tail, unix_micros()));
            }
            Command::Follow(target, reply) => {
                let _ = reply.send(self.core.follow(target));
            }
            Command::Fetch(request, reply) => {
                let _ = reply.send(self.core.fetch(request));
            }
            Command::Append(term, after, entries, reply) => {
                self.core.append(term, after, entries);
                let _ = reply.send(());
            }
            Command::DropAfter(term, index, reply) => {
                self.core.drop_after(term, index);
                let _ = reply.send(self.core.position());
            }
            Command::PositionAt(index, reply) => {
                let _ = reply.send(self.core.position_before(index));
            }
            Command::SetLeaving(leaving, reply) => {
                self.core.set_leaving(leaving);
                let _ = reply.send(());
            }
            Command::ReadLog(reply) => {
                let _ = reply.send(self.core.log().to_vec());
            }
        }
    }
}

impl InstanceHandle {
    /// Returns a receiver of the instance's status.
    pub fn watch_status(&self) -> watch::Receiver<InstanceStatus> {
        self.status.clone()
    }

    /// Returns a receiver of the instance's follow target.
    pub fn watch_target(&self) -> watch::Receiver<Option<FollowTarget>> {
        self.target.clone()
    }

    /// Returns the current status.
    pub fn status(&self) -> InstanceStatus {
        *self.status.borrow()
    }

    /// Returns the current generation; see [`InstanceCore::generation`].
    pub async fn generation(&self) -> u64 {
        self.ask(InstanceCommand::Generation).await
    }

    /// Checks that a statement may run; see [`InstanceCore::check`].
    ///
    /// # Errors
    ///
    /// Returns a [`StatementFault`] if the statement must be refused.
    pub async fn check(&self, generation: u64, writes: bool) -> Result<(), StatementFault> {
        self.ask(|reply| InstanceCommand::Check(generation, writes, reply))
            .await
    }

    /// Returns the value of a key, if it has one.
    ///
    /// # Errors
    ///
    /// Returns a [`StatementFault`] if the statement must be refused.
    pub async fn read(&self, generation: u64, key: &str) -> Result<Option<String>, StatementFault> {
        let key = key.to_owned();
        self.ask(|reply| InstanceCommand::Read(generation, key, reply))
            .await
    }

    /// Commits the writes as one log entry and returns its position.
    ///
    /// # Errors
    ///
    /// Returns a [`StatementFault`] if the statement must be refused; nothing is applied then.
    pub async fn commit(
        &self,
        generation: u64,
        writes: Vec<KeyWrite>,
    ) -> Result<LogPosition, StatementFault> {
        self.ask(|reply| InstanceCommand::Commit(generation, writes, reply))
            .await
    }

    /// Returns the instance's status to a connection of this generation.
    ///
    /// # Errors
    ///
    /// Returns a [`StatementFault`] if the instance has been fenced since the connection was
    /// opened.
    pub async fn position(&self, generation: u64) -> PositionReply {
        self.ask(|reply| InstanceCommand::Position(generation, reply))
            .await
    }

    /// Fences the instance; see [`InstanceCore::fence`].
    pub async fn fence(&self, term: GroupTerm) -> FenceReply {
        self.ask(|reply| InstanceCommand::Fence(term, reply)).await
    }

    /// Promotes the instance; see [`InstanceCore::promote`].
    pub async fn promote(&self, term: GroupTerm, lose_tail: u64) -> FenceReply {
        self.ask(|reply| InstanceCommand::Promote(term, lose_tail, reply))
            .await
    }

    /// Makes the instance follow a primary; see [`InstanceCore::follow`].
    pub async fn follow(&self, target: FollowTarget) -> FenceReply {
        self.ask(|reply| InstanceCommand::Follow(target, reply))
            .await
    }

    /// Returns log entries to a follower; see [`InstanceCore::fetch`].
    pub async fn fetch(&self, request: FetchRequest) -> FetchReply {
        self.ask(|reply| InstanceCommand::Fetch(request, reply))
            .await
    }

    /// Appends entries from the primary; see [`InstanceCore::append`].
    pub async fn append(&self, term: GroupTerm, after: u64, entries: Vec<LogEntry>) {
        self.ask(|reply| InstanceCommand::Append(term, after, entries, reply))
            .await
    }

    /// Drops entries that the primary lacks and returns the resulting position.
    pub async fn drop_after(&self, term: GroupTerm, index: u64) -> LogPosition {
        self.ask(|reply| InstanceCommand::DropAfter(term, index, reply))
            .await
    }

    /// Returns the position of the entry with this index; see [`InstanceCore::position_before`].
    pub async fn position_at(&self, index: u64) -> LogPosition {
        self.ask(|reply| InstanceCommand::PositionAt(index, reply))
            .await
    }

    /// Sets whether the status announces that the instance is about to shut down.
    pub async fn set_leaving(&self, leaving: bool) {
        self.ask(|reply| InstanceCommand::SetLeaving(leaving, reply))
            .await
    }

    /// Returns the whole log.
    pub async fn read_log(&self) -> Vec<LogEntry> {
        self.ask(InstanceCommand::ReadLog).await
    }

    /// Sends a command and waits for its reply. If the task has ended, the call never returns: the
    /// task ends only when the endpoint stops, which cancels all callers.
    async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> InstanceCommand) -> T {
        let (sender, reply) = oneshot::channel();
        if self.commands.send(command(sender)).await.is_err() {
            std::future::pending::<()>().await;
        }
        match reply.await {
            Ok(answer) => answer,
            Err(_) => std::future::pending().await,
        }
    }
}

/// Returns the current time in microseconds since the Unix epoch.
pub fn unix_micros() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_micros() as u64)
}
