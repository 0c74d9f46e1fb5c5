//! The counters, except those of refusals and retries.

use strum::{EnumCount, EnumIter, IntoStaticStr};

/// Counters, except those of refusals and retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Accepted caller connections.
    CallerConnections,
    /// Requests with a completely received head.
    Requests,
    /// Requests answered by a target.
    Answers,
    /// Answers truncated because the target or the caller failed while the body was relayed.
    AnswersCutOff,
    /// Requests whose caller disconnected.
    CallersGone,
    /// Attempts sent to targets.
    Attempts,
    /// Connections opened to targets.
    TargetConnections,
    /// Edits applied.
    EditsApplied,
    /// Calls to the store.
    StoreCalls,
    /// Failed calls to the store.
    StoreErrors,
    /// New eras of the store, including the first one that it stated.
    StoreEras,
    /// Responses of the store whose era was invalid.
    StoreErasInvalid,
    /// Rows of this daemon and of the fleet written again after the store lost them.
    RowsRestored,
    /// Unauthenticated or replayed messages on the peer port.
    PeerUnauthenticated,
    /// Messages above the size limit on the peer port.
    PeerOversized,
    /// Messages on the peer port that could not be decoded.
    PeerUnreadable,
    /// Messages that propagate edits to peers.
    EditsSpread,
    /// Requests to peers for their revision while the table cannot be read.
    ContactQuestions,
    /// Membership changes committed by this daemon.
    MemberChanges,
    /// Snapshots written to the object store.
    SnapshotsWritten,
    /// Bytes sent and received in control messages between daemons, including heads.
    PeerControlBytes,
    /// Bytes sent and received in token requests between daemons, including heads.
    PeerAskBytes,
    /// Bytes sent and received in calls to the platform, including heads.
    PlatformBytes,
    /// Bytes of table changes received from readers of the store, as transferred.
    ChangeBytes,
    /// Fetches of large table changes from readers of the store that failed.
    ChangeFetchesFailed,
    /// Polls of readers of the store that failed.
    ReaderPollsFailed,
    /// Planned stops of this daemon as a reader that were announced to its data centre.
    ReaderStopsAnnounced,
    /// Token requests to other daemons.
    Asks,
    /// Token requests of other daemons that were answered.
    AsksAnswered,
    /// Token requests that no daemon answered in time.
    AsksUnanswered,
    /// Token requests of other daemons that were answered with the new holder of the slice.
    AsksRedirected,
    /// Slices handed over to another daemon.
    SlicesHandedOver,
    /// Handovers of a slice that no daemon confirmed.
    SliceHandoversFailed,
    /// Requests that waited beyond the usual timeout because no slice holder responded within it.
    AsksExtended,
    /// Tokens that arrived after their request had been decided.
    TokensUnused,
    /// Grants that were no longer valid when they were to be used.
    GrantsLate,
    /// Sessions of this daemon that were fenced or removed by another daemon.
    SessionsFenced,
    /// Headers of targets about themselves whose value could not be used.
    TargetHeadersUnusable,
    /// Pauses that targets asked for.
    TargetPauses,
    /// Tokens of limited targets requested from other daemons.
    TokensAsked,
    /// Tokens of limited targets given to other daemons.
    TokensLent,
    /// Data centres whose evacuation this daemon learned of.
    EvacuationsStarted,
    /// Data centres whose evacuation was reverted.
    EvacuationsReverted,
    /// Evacuation rows with an unknown or empty data centre or an unreadable value.
    EvacuationRowsInvalid,
    /// Targets that began to count as cold, with a limit on their requests.
    TargetsCold,
    /// Requests whose picked target was withdrawn before they were sent.
    PicksWithdrawn,
    /// Second attempts of hedged requests that were sent.
    HedgesSent,
    /// Hedged requests that the second attempt answered.
    HedgesWon,
    /// Second attempts that failed, or whose response was an error, while the first was awaited.
    HedgesFailed,
    /// Requests whose delay for a second attempt passed, and for which none was sent.
    HedgesRefused,
    /// Targets ejected or put on trial.
    Ejections,
    /// Messages about suspected targets sent to other daemons.
    SuspicionsSent,
    /// Messages about suspected targets dropped due to the byte limit or a slow peer.
    SuspicionsDropped,
    /// Requests queued for a target.
    Queued,
    /// Requests shed by a full queue.
    QueueShed,
    /// Requests rejected on arrival because their turn was not expected before their deadline.
    QueueHopeless,
    /// Requests that waited in a queue until too little time was left.
    QueueExpired,
    /// Queued requests whose caller disconnected.
    QueueAbandoned,
    /// Requests served before more urgent ones because their rank was owed them.
    QueueOutOfTurn,
    /// Requests that clients sent again too early, and that found no free target.
    QueueResentEarly,
    /// Requests rejected by the admission level of their service.
    AdmissionRejected,
    /// Retries not sent as their rank is being rejected.
    AdmissionRetriesDropped,
    /// Services that began to reject requests by rank.
    AdmissionLevels,
}

impl Counter {
    /// Returns the name of the counter.
    pub fn name(self) -> &'static str {
        self.into()
    }
}
