//! Single changes of the lists and keys.

use serde::{Deserialize, Serialize};

use crate::membership::{Incarnation, Member};

use super::{KeyHash, Plan, Route};

/// One change of the lists or keys.
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
    /// Sets what a plan may use.
    SetAccess {
        /// The plan, or `*` for all plans.
        plan: String,
        /// All routes open to it.
        routes: Vec<Route>,
    },
    /// Removes a plan from the access list.
    RemoveAccess {
        /// The plan.
        plan: String,
    },
    /// Gives a key to a workspace.
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
    /// Begins a daemon's entry into the members.
    AddMember(Member),
    /// Begins a daemon's exit from the members.
    RemoveMember(Member),
    /// Ends the change of members that began with an edit.
    SettleMembers {
        /// Revision of that edit.
        began: u64,
        /// Those who entered.
        joined: Vec<Member>,
        /// Those who left.
        left: Vec<Incarnation>,
    },
}

impl Change {
    /// Tells whether the change is one of the members, which daemons make themselves.
    pub fn is_membership_change(&self) -> bool {
        matches!(
            self,
            Self::AddMember(_) | Self::RemoveMember(_) | Self::SettleMembers { .. }
        )
    }

    /// Checks the values of the change.
    ///
    /// # Errors
    ///
    /// Returns what was expected.
    pub fn validate(&self) -> Result<(), &'static str> {
        match self {
            Self::SetPlan { workspace, plan } => {
                check_name(workspace)?;
                check_name(&plan.plan)?;
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
                    check_name(plan)?;
                }
                routes.iter().try_for_each(check_route)
            }
            Self::GiveKey { workspace, .. } => check_name(workspace),
            Self::RemovePlan { .. }
            | Self::RemoveAccess { .. }
            | Self::WithdrawKey { .. }
            | Self::AddMember(_)
            | Self::RemoveMember(_)
            | Self::SettleMembers { .. } => Ok(()),
        }
    }
}

fn check_name(name: &str) -> Result<(), &'static str> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > 64 || !name.chars().all(plain) {
        return Err("name: expected 1 to 64 letters, digits, '-', '_' or '.'");
    }
    Ok(())
}

fn check_route(route: &Route) -> Result<(), &'static str> {
    check_name(&route.service)?;
    if !route.prefix.starts_with('/') {
        return Err("prefix: expected a path that begins with '/'");
    }
    Ok(())
}
