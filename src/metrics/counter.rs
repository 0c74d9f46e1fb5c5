//! The closed list of counters besides those of refusals and retries.

use strum::{EnumCount, EnumIter, IntoStaticStr};

/// Counters besides those of refusals and retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Connections accepted from callers.
    CallerConnections,
    /// Requests whose head arrived whole.
    Requests,
    /// Requests that got a target's answer.
    Answers,
    /// Answers cut off because the target failed in the body.
    AnswersCutOff,
    /// Requests whose caller went away.
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
    /// Messages of strangers, or replayed ones, on the peer port.
    PeerUnauthenticated,
    /// Messages over the size limit on the peer port.
    PeerOversized,
    /// Messages on the peer port that could not be decoded.
    PeerUnreadable,
    /// Messages by which edits were passed on to peers.
    EditsSpread,
    /// Questions to peers for their revision while the table could not be read.
    ContactQuestions,
    /// Changes of the members that this daemon committed.
    MemberChanges,
    /// Snapshots written to the object store.
    SnapshotsWritten,
    /// Bytes of control messages of daemons, heads included, as sent and received.
    PeerControlBytes,
    /// Bytes of messages that ask for tokens, heads included, as sent and received.
    PeerAskBytes,
    /// Bytes of calls to the platform, heads included, as sent and received.
    PlatformBytes,
    /// Tokens asked for at other daemons.
    Asks,
    /// Asks of other daemons that were answered.
    AsksAnswered,
    /// Asks that no daemon answered in time.
    AsksUnanswered,
    /// Grants that became void before their use.
    GrantsLate,
    /// Sessions of this daemon that another one fenced.
    SessionsFenced,
    /// Targets ejected or put on trial.
    Ejections,
    /// Messages about suspect targets sent to other daemons.
    SuspicionsSent,
    /// Messages about suspect targets that the bound on bytes or a slow peer left unsent.
    SuspicionsDropped,
    /// Requests that waited for a target.
    Queued,
}

impl Counter {
    /// Returns the name of the counter.
    pub fn name(self) -> &'static str {
        self.into()
    }
}
