//! Claims: rows in the table service that keep a request from running twice.
//!
//! A request that may not run twice and carries an idempotency key is claimed before it is sent
//! to a target. [`ClaimStateMachine`] decides, [`ClaimStore`] reads and writes the rows.

mod claim_id;
mod claim_key;
mod digest;
mod refusal;
mod row;
mod state;
mod state_machine;
mod store;
mod sweep;

pub use claim_id::ClaimId;
pub use claim_key::{ClaimKey, MAX_KEY_BYTES};
pub use digest::RequestDigest;
pub use refusal::{ClaimRefusal, FirstRequest};
pub use row::ClaimRow;
pub use state::ClaimState;
pub use state_machine::{ClaimAction, ClaimEvent, ClaimStateMachine};
pub use store::{Claim, ClaimStore};
pub use sweep::claim_sweep_task;
