//! States, events, guards and actions of the charts for membership, drain and connections.
//!
//! The daemon's tasks interpret these charts, because they own the sockets on which the actions
//! operate.

use crate::chart::ChartVocabulary;
use crate::chart::StateChart;
use crate::chart::chart_names;
use std::sync::LazyLock;

chart_names! {
    /// State of a VM's membership.
    MembershipState {
        /// The VM has no lease yet.
        Joining,
        /// The VM holds a lease.
        Active,
        /// The VM's lease has ended.
        Lapsed,
        /// The VM is shutting down.
        Leaving,
        /// The VM is no longer a member.
        Stopped,
    }
}

chart_names! {
    /// Event in a VM's membership.
    MembershipEvent {
        /// A heartbeat was answered with a lease.
        LeaseGranted,
        /// A heartbeat was answered without a lease.
        NotYet,
        /// The lease has ended.
        LeaseEnded,
        /// Another process has joined under this VM's name.
        Superseded,
        /// The platform or an operator requested a shutdown.
        DrainAsked,
        /// No request is in flight.
        Drained,
    }
}

chart_names! {
    /// Action of a VM on its membership.
    MembershipAction {
        /// Report readiness and accept requests.
        TakeWork,
        /// Report unreadiness and refuse new requests.
        RefuseWork,
        /// Stop leading all groups.
        DropGroups,
        /// Resume the groups that the catalog still assigns to this VM.
        ResumeGroups,
        /// Begin the shutdown.
        BeginDrain,
        /// Propose the VM's removal from the catalog.
        LeaveCatalog,
        /// Stop the process's roles.
        Stop,
    }
}

chart_names! {
    /// State of a daemon's shutdown.
    DrainState {
        /// No shutdown was requested.
        Serving,
        /// The load balancer is being notified.
        Unready,
        /// Groups are being handed over.
        HandingOver,
        /// Sessions are being closed between transactions.
        Closing,
        /// The last requests are being completed.
        Finishing,
        /// The shutdown is complete.
        Done,
    }
}

chart_names! {
    /// Event in a daemon's shutdown.
    DrainEvent {
        /// The platform or an operator requested a shutdown.
        DrainAsked,
        /// The load balancer has had enough time to stop sending callers.
        BalancerLeft,
        /// Another VM leads each of the groups.
        GroupsHandedOver,
        /// No session is open.
        SessionsClosed,
        /// No request is in flight.
        WorkEnded,
        /// The deadline of the present stage has passed.
        DeadlinePassed,
    }
}

chart_names! {
    /// Action of a daemon in its shutdown.
    DrainAction {
        /// Report unreadiness.
        ReportUnready,
        /// Announce the drain to control.
        AnnounceDraining,
        /// Start the deadline of the stages.
        StartDeadline,
        /// Stop serving each group and propose its next placement.
        HandOverGroups,
        /// Close sessions that have no transaction open.
        CloseIdleSessions,
        /// Close each session as soon as its statement is answered.
        CloseSessions,
        /// Propose the VM's removal from the catalog.
        LeaveCatalog,
        /// End the process.
        Exit,
    }
}

chart_names! {
    /// State of a connection to an endpoint.
    ConnectionState {
        /// The connection is being opened.
        Opening,
        /// The connection is available.
        Idle,
        /// The connection is tested before it is used again.
        Testing,
        /// A statement is running on the connection.
        Busy,
        /// A transaction is open on the connection.
        Pinned,
        /// The connection is closed.
        Closed,
    }
}

chart_names! {
    /// Event on a connection.
    ConnectionEvent {
        /// The connection was opened.
        Opened,
        /// The connection could not be opened.
        OpenFailed,
        /// A statement was sent.
        Lent,
        /// The complete answer has arrived.
        Answered,
        /// The statement opened a transaction.
        TransactionBegun,
        /// The transaction was committed, rolled back or abandoned.
        TransactionEnded,
        /// The answer didn't arrive in time.
        AnswerLate,
        /// The endpoint closed the connection.
        PeerClosed,
        /// The connection has been idle for too long.
        GrewStale,
        /// The connection is no longer needed.
        Retired,
    }
}

chart_names! {
    /// Condition of a transition.
    ConnectionGuard {
        /// A transaction is open.
        InTransaction,
        /// The connection is marked for closing.
        Retiring,
    }
}

chart_names! {
    /// Action on a connection.
    ConnectionAction {
        /// Close the socket.
        Close,
        /// Return the connection to the pool.
        GiveBack,
        /// Reserve the connection for the transaction.
        Pin,
        /// Release the connection from the transaction.
        Unpin,
        /// Send a ping.
        SendPing,
        /// Mark the connection for closing as soon as it is free.
        MarkRetiring,
        /// Report that the connection could not be opened.
        ReportFailure,
        /// Answer the statement with an unknown outcome.
        ReportDoubt,
        /// Report that the transaction is lost.
        ReportTransactionLost,
        /// Have all connections to the endpoint tested.
        SuspectPeer,
    }
}

chart_names! {
    /// The empty set of names, for charts without guards.
    NoGuard {}
}

/// Vocabulary of the membership chart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipVocabulary;

impl ChartVocabulary for MembershipVocabulary {
    type State = MembershipState;
    type Event = MembershipEvent;
    type Guard = NoGuard;
    type Action = MembershipAction;
}

/// Vocabulary of the drain chart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainVocabulary;

impl ChartVocabulary for DrainVocabulary {
    type State = DrainState;
    type Event = DrainEvent;
    type Guard = NoGuard;
    type Action = DrainAction;
}

/// Vocabulary of the connection chart.
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
