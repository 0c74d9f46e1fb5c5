//! The state of the lists and keys at one revision.

use std::rc::Rc;

use rustc_hash::FxHashMap;

use crate::membership::{Member, Members, Phase};

use super::{Change, Edit, KeyHash, Plan, Route, RouteSet};

/// Name under which routes are open to all plans.
const ALL_PLANS: &str = "*";

/// What a path leads to for a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteLookup<'a> {
    /// The path is open and leads along this route.
    Open(&'a Route),
    /// No route open to the plan matches the path.
    Closed,
}

/// The lists and keys as of one revision.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    revision: u64,
    lists_revision: u64,
    loaded: bool,
    members: Members,
    plans: FxHashMap<Rc<str>, Plan>,
    access: FxHashMap<String, RouteSet>,
    keys: FxHashMap<KeyHash, Rc<str>>,
}

impl Catalog {
    /// Returns the revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision of the last edit that changed lists or keys.
    pub fn lists_revision(&self) -> u64 {
        self.lists_revision
    }

    /// Returns the members.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Restores a member from a snapshot.
    pub fn restore_member(&mut self, member: &Member, phase: Phase, changed_at: u64) {
        self.members.restore(member, phase, changed_at);
    }

    /// Tells whether a revision was loaded, be it the one before the first edit.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns the workspace whose key has this hash.
    pub fn workspace_of(&self, hash: &KeyHash) -> Option<&Rc<str>> {
        self.keys.get(hash)
    }

    /// Returns the plan of a workspace.
    pub fn plan_of(&self, workspace: &str) -> Option<&Plan> {
        self.plans.get(workspace)
    }

    /// Returns the workspaces and their plans, in no order.
    pub fn plans(&self) -> impl Iterator<Item = (&Rc<str>, &Plan)> {
        self.plans.iter()
    }

    /// Returns the access list, in no order.
    pub fn access_lists(&self) -> impl Iterator<Item = (&str, &[Route])> {
        self.access.iter().map(|(p, r)| (p.as_str(), r.as_slice()))
    }

    /// Returns the key hashes and their workspaces, in no order.
    pub fn keys(&self) -> impl Iterator<Item = (&KeyHash, &Rc<str>)> {
        self.keys.iter()
    }

    /// Returns where `path` leads for `plan`; the longer prefix wins, the plan's own among equals.
    pub fn find_route(&self, plan: &str, path: &str) -> RouteLookup<'_> {
        let find = |name| {
            self.access
                .get(name)
                .and_then(|set: &RouteSet| set.longest_match(path))
        };
        let longest = match (find(plan), find(ALL_PLANS)) {
            (Some(own), Some(all)) if all.prefix.len() > own.prefix.len() => Some(all),
            (Some(own), _) => Some(own),
            (None, all) => all,
        };
        longest.map_or(RouteLookup::Closed, RouteLookup::Open)
    }

    /// Applies the edit that leads to the next revision; others change nothing.
    ///
    /// Returns whether the edit was applied.
    pub fn apply(&mut self, edit: &Edit) -> bool {
        if edit.revision != self.revision + 1 {
            return false;
        }
        self.revision = edit.revision;
        for change in &edit.changes {
            self.apply_change(change);
        }
        if edit.changes_lists() {
            self.lists_revision = edit.revision;
        }
        true
    }

    /// Applies one change outside of an edit, to load a snapshot.
    pub fn apply_change(&mut self, change: &Change) {
        match change {
            Change::SetPlan { workspace, plan } => {
                self.plans
                    .insert(Rc::from(workspace.as_str()), plan.clone());
            }
            Change::RemovePlan { workspace } => {
                self.plans.remove(workspace.as_str());
            }
            Change::SetAccess { plan, routes } => {
                self.access.insert(plan.clone(), RouteSet::new(routes));
            }
            Change::RemoveAccess { plan } => {
                self.access.remove(plan);
            }
            Change::GiveKey { hash, workspace } => {
                let shared = self.plans.get_key_value(workspace.as_str());
                let name = shared.map_or_else(|| Rc::from(workspace.as_str()), |(w, _)| w.clone());
                self.keys.insert(*hash, name);
            }
            Change::WithdrawKey { hash } => {
                self.keys.remove(hash);
            }
            Change::AddMember(member) => self.members.add(member, self.revision),
            Change::RemoveMember(member) => self.members.remove(member.incarnation, self.revision),
            Change::SettleMembers { began, .. } => self.members.settle(*began),
        }
    }

    /// Notes the revision of the last edit of lists or keys in a snapshot.
    pub fn restore_lists_revision(&mut self, revision: u64) {
        self.lists_revision = self.lists_revision.max(revision);
    }

    /// Moves to `revision` after a snapshot was loaded; a lower one changes nothing.
    pub fn advance_to(&mut self, revision: u64) {
        self.loaded = true;
        self.revision = self.revision.max(revision);
    }
}
