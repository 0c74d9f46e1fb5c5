//! Admission of requests over the whole fleet by rank.
//!
//! Daemons report demand and load of their services to a reader of their data centre. Readers
//! derive a level for each service, which says which ranks are admitted, and with which share.
//! The design is described in `docs/design/admission.md`.

mod aggregator;
mod gate;
mod handle;
mod handler;
mod level;
mod messages;
mod push_pacer;
mod recorder;
mod task;

pub use aggregator::LoadAggregator;
pub use gate::{AdmissionGate, GateDecision};
pub use handle::{AdmissionHandle, InFlightGuard};
pub use handler::AdmissionHandler;
pub use level::{derive_level, AdmissionLevel, MAX_LOAD};
pub use messages::{
    AdmissionMessage, AdmissionReply, CentreReport, LevelMessage, LoadReport, ServiceLevel,
    ServiceLoad, MAX_RANKS, MAX_SERVICES,
};
pub use push_pacer::PushPacer;
pub use recorder::LoadRecorder;
pub use task::{AdmissionTask, AdmissionTaskParts};
