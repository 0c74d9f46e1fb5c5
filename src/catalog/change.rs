//! Changes of the lists, the keys and the members.

use serde::{Deserialize, Serialize};

use crate::membership::{Incarnation, Member};

use super::{KeyHash, Plan, Route};

/// One change of the lists, the keys or the members.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Sets the plan of a workspace.
    SetPlan {
        /// The workspace.
        workspace: String,
        /// Its new plan.
        #[serde(flatten)]
        plan: Plan,
    },
    /// Removes a workspace from the list of plans.
    RemovePlan {
        /// The workspace.
        workspace: String,
    },
    /// Sets the routes listed for a plan.
    SetAccess {
        /// The plan, or `*` for all plans.
        plan: String,
        /// All routes listed for it, which replace the earlier ones.
        routes: Vec<Route>,
    },
    /// Removes a plan from the access list.
    RemoveAccess {
        /// The plan.
        plan: String,
    },
    /// Assigns a key to a workspace.
    GiveKey {
        /// Hash of the key.
        hash: KeyHash,
        /// The workspace.
        workspace: String,
    },
    /// Withdraws a key.
    WithdrawKey {
        /// Hash of the key.
        hash: KeyHash,
    },
    /// Starts adding a daemon to the members.
    AddMember(Member),
    /// Starts removing a daemon from the members.
    RemoveMember(Member),
    /// Settles the change of members that began with an earlier edit.
    SettleMembers {
        /// Revision of that edit.
        began: u64,
        /// Members that were added.
        joined: Vec<Member>,
        /// Members that were removed.
        left: Vec<Incarnation>,
    },
}

impl Change {
    /// Returns whether the change concerns the members; only daemons make such changes.
    pub fn is_membership_change(&self) -> bool {
        matches!(
            self,
            Self::AddMember(_) | Self::RemoveMember(_) | Self::SettleMembers { .. }
        )
    }

    /// Validates the values of the change.
    ///
    /// # Errors
    ///
    /// Returns a description of the expected value.
    pub fn validate(&self) -> Result<(), &'static str> {
        match self {
            Self::SetPlan { workspace, plan } => {
                validate_name(workspace)?;
                validate_name(&plan.plan)?;
                if !plan.rate_per_s.is_finite() || plan.rate_per_s <= 0.0 {
                    return Err("rate_per_s: expected a number above 0");
                }
                if plan.burst == 0 {
                    return Err("burst: expected at least 1");
                }
                Ok(())
            }
            Self::SetAccess { plan, routes } => {
                if plan != "*" {
                    validate_name(plan)?;
                }
                routes.iter().try_for_each(validate_route)
            }
            Self::GiveKey { workspace, .. } => validate_name(workspace),
            Self::RemovePlan { .. }
            | Self::RemoveAccess { .. }
            | Self::WithdrawKey { .. }
            | Self::AddMember(_)
            | Self::RemoveMember(_)
            | Self::SettleMembers { .. } => Ok(()),
        }
    }
}

fn validate_name(name: &str) -> Result<(), &'static str> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > 64 || !name.chars().all(is_allowed) {
        return Err("name: expected 1 to 64 letters, digits, '-', '_' or '.'");
    }
    Ok(())
}

fn validate_route(route: &Route) -> Result<(), &'static str> {
    validate_name(&route.service)?;
    if !route.prefix.starts_with('/') {
        return Err("prefix: expected a path that begins with '/'");
    }
    Ok(())
}
