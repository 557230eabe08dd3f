//! The names in the charts of membership, drain and connections.
//!
//! The daemon's tasks interpret these charts: they own the sockets that the actions are about.

use crate::chart::ChartVocabulary;
use crate::chart::StateChart;
use crate::chart::chart_names;
use std::sync::LazyLock;

chart_names! {
    /// Where a VM's membership stands.
    MembershipState {
        /// It has no lease yet.
        Joining,
        /// It holds a lease.
        Active,
        /// Its lease has ended.
        Lapsed,
        /// It is shutting down.
        Leaving,
        /// It is no member any more.
        Stopped,
    }
}

chart_names! {
    /// What happens to a VM's membership.
    MembershipEvent {
        /// A heartbeat was answered with a lease.
        LeaseGranted,
        /// A heartbeat was answered without a lease.
        NotYet,
        /// The lease has ended.
        LeaseEnded,
        /// Another process has joined under this VM's name.
        Superseded,
        /// The platform or an operator asks for a shutdown.
        DrainAsked,
        /// Nothing is in flight any more.
        Drained,
    }
}

chart_names! {
    /// What a VM does about its membership.
    MembershipAction {
        /// Become ready.
        TakeWork,
        /// Become unready and refuse new work.
        RefuseWork,
        /// Stop leading all groups.
        DropGroups,
        /// Resume the groups that the catalog still gives to this VM.
        ResumeGroups,
        /// Begin the shutdown.
        BeginDrain,
        /// Propose the removal from the catalog.
        LeaveCatalog,
        /// Stop the process's roles.
        Stop,
    }
}

chart_names! {
    /// Where a daemon's shutdown stands.
    DrainState {
        /// No shutdown was asked for.
        Serving,
        /// The balancer is being told.
        Unready,
        /// Groups are handed over.
        HandingOver,
        /// Sessions are closed between transactions.
        Closing,
        /// The last requests end.
        Finishing,
        /// Nothing is left.
        Done,
    }
}

chart_names! {
    /// What happens in a daemon's shutdown.
    DrainEvent {
        /// The platform or an operator asks for it.
        DrainAsked,
        /// The balancer has had the time to stop sending callers.
        BalancerLeft,
        /// Another VM leads each group.
        GroupsHandedOver,
        /// No session is open.
        SessionsClosed,
        /// No request is in flight.
        WorkEnded,
        /// The time for the present stage is over.
        DeadlinePassed,
    }
}

chart_names! {
    /// What a daemon does in its shutdown.
    DrainAction {
        /// Answer that it isn't ready.
        ReportUnready,
        /// Tell control that it drains.
        AnnounceDraining,
        /// Start the deadline of the stages.
        StartDeadline,
        /// Stop serving each group and propose its next placement.
        HandOverGroups,
        /// Close sessions that have no transaction open.
        CloseIdleSessions,
        /// Close all sessions as soon as their statement has its answer.
        CloseSessions,
        /// Propose the removal from the catalog.
        LeaveCatalog,
        /// End the process.
        Exit,
    }
}

chart_names! {
    /// Where a connection to an endpoint stands.
    ConnectionState {
        /// It is being opened.
        Opening,
        /// It waits for work.
        Idle,
        /// It is tested before it is used again.
        Testing,
        /// A statement runs on it.
        Busy,
        /// A transaction is open on it.
        Pinned,
        /// It is closed.
        Closed,
    }
}

chart_names! {
    /// What happens to a connection.
    ConnectionEvent {
        /// It was opened.
        Opened,
        /// It could not be opened.
        OpenFailed,
        /// A statement is sent on it.
        Lent,
        /// The whole answer has arrived.
        Answered,
        /// The statement opened a transaction.
        TransactionBegun,
        /// The transaction was committed, rolled back or given up.
        TransactionEnded,
        /// The answer didn't come in time.
        AnswerLate,
        /// The endpoint closed it.
        PeerClosed,
        /// It has been quiet for too long.
        GrewStale,
        /// It isn't wanted any more.
        Retired,
    }
}

chart_names! {
    /// What a connection's course depends on.
    ConnectionGuard {
        /// A transaction is open.
        InTransaction,
        /// It was marked for closing.
        Retiring,
    }
}

chart_names! {
    /// What is done with a connection.
    ConnectionAction {
        /// Close the socket.
        Close,
        /// Give it back to the pool.
        GiveBack,
        /// Keep it for the transaction.
        Pin,
        /// Free it from the transaction.
        Unpin,
        /// Send a ping.
        SendPing,
        /// Close it as soon as it is free.
        MarkRetiring,
        /// Tell that it could not be opened.
        ReportFailure,
        /// Answer the statement as doubtful.
        ReportDoubt,
        /// Tell that the transaction is lost.
        ReportTransactionLost,
        /// Have all connections to the endpoint tested.
        SuspectPeer,
    }
}

chart_names! {
    /// The empty set of names, for charts without guards.
    NoGuard {}
}

/// The names in the membership chart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipVocabulary;

impl ChartVocabulary for MembershipVocabulary {
    type State = MembershipState;
    type Event = MembershipEvent;
    type Guard = NoGuard;
    type Action = MembershipAction;
}

/// The names in the drain chart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainVocabulary;

impl ChartVocabulary for DrainVocabulary {
    type State = DrainState;
    type Event = DrainEvent;
    type Guard = NoGuard;
    type Action = DrainAction;
}

/// The names in the connection chart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionVocabulary;

impl ChartVocabulary for ConnectionVocabulary {
    type State = ConnectionState;
    type Event = ConnectionEvent;
    type Guard = ConnectionGuard;
    type Action = ConnectionAction;
}

/// Returns the membership chart.
pub fn membership_chart() -> &'static StateChart<MembershipVocabulary> {
    static CHART: LazyLock<StateChart<MembershipVocabulary>> =
        LazyLock::new(|| StateChart::from_yaml(include_str!("../charts/membership.yaml")));
    &CHART
}

/// Returns the drain chart.
pub fn drain_chart() -> &'static StateChart<DrainVocabulary> {
    static CHART: LazyLock<StateChart<DrainVocabulary>> =
        LazyLock::new(|| StateChart::from_yaml(include_str!("../charts/drain.yaml")));
    &CHART
}

/// Returns the connection chart.
pub fn connection_chart() -> &'static StateChart<ConnectionVocabulary> {
    static CHART: LazyLock<StateChart<ConnectionVocabulary>> =
        LazyLock::new(|| StateChart::from_yaml(include_str!("../charts/connection.yaml")));
    &CHART
}
