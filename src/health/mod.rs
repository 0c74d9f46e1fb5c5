//! Health assessment of targets, and load balancing among them.

mod balancer;
mod balancer_handle;
mod balancer_task;
mod breaker;
mod byte_budget;
mod consecutive;
mod decaying_sum;
mod detector;
mod evacuations;
mod evidence;
mod failure_notice;
mod fleet_evidence;
mod floor;
mod in_flight;
mod pending_notice;
mod probe_only;
mod probe_task;
mod profile;
mod queue_rejection;
mod scheduler;
mod sequential;
mod service;
mod suspicion;
mod suspicion_exchange;
mod suspicion_task;
mod target;
mod throttle;
mod verdict;
mod warmup_state;
mod work_counts;

pub use balancer::{Balancer, Choice, EntryWarmup, PickError, PickRequest};
pub use balancer_handle::{BalancerHandle, BalancerMessage, PickedTarget, TargetStatus};
pub use balancer_task::{balancer_task, BalancerTaskParts};
pub use breaker::{Breaker, BreakerState};
pub use byte_budget::ByteBudget;
pub use consecutive::ConsecutiveFailureDetector;
pub use decaying_sum::DecayingSum;
pub use detector::{Assessment, Detector, Observation, TargetHealth, WorkResult};
pub use evacuations::{Evacuations, Reversal};
pub use evidence::{log_likelihood_ratio, Evidence, EVIDENCE_HALF_LIFE, FAULT_SHARES, SLOW_WEIGHT};
pub use failure_notice::{
    FailureHandler, FailureNotice, FailureNotifier, LeavingNotice, LimitNotice, TargetNews,
};
pub use fleet_evidence::{EvidenceReport, FleetEvidence};
pub use floor::{routing_set, Candidate};
pub use in_flight::{AttemptId, InFlightRequests, Lateness};
pub use pending_notice::PendingNotice;
pub use probe_only::ProbeOnlyDetector;
pub use probe_task::probe_task;
pub use profile::{Profile, SequentialOptions};
pub use queue_rejection::{QueueRejection, RejectionReason};
pub use scheduler::{Decision, QueueCounts, ScheduleRequest, Scheduler};
pub use sequential::SequentialDetector;
pub use service::{Service, ServiceId};
pub use suspicion::{Suspicion, SuspicionMessage, SuspicionReport};
pub use suspicion_exchange::{
    Member, OutgoingMessage, RoundOutput, SuspicionExchange, BURST_BYTES, BYTES_PER_S,
    MESSAGE_OVERHEAD_BYTES,
};
pub use suspicion_task::{SuspicionEvent, SuspicionHandler, SuspicionTask};
pub use target::{Target, TargetId, TargetState, RAMP_DURATION};
pub use throttle::{
    FleetShare, LendHandler, LendRequest, Lender, LimitNews, ServiceWarmup, TargetThrottle,
    TokenBorrower, TokenKind, WarmupTerms, WarmupTolerance,
};
pub use verdict::Verdict;
pub use warmup_state::WarmupState;
pub use work_counts::{WorkCounts, WorkTotals, BASELINE_HALF_LIFE};
