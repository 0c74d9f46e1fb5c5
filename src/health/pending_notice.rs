//! The content of the next failure notice.

use super::{
    failure_notice::{LeavingNotice, LimitNotice, TargetNews},
    LimitNews,
};

/// What a daemon will tell the fleet of targets. Of several events of one target the last counts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PendingNotice {
    /// Targets that aborted requests.
    pub failed: Vec<String>,
    /// Targets that have recovered.
    pub recovered: Vec<String>,
    /// What targets said of themselves.
    pub news: TargetNews,
}

impl PendingNotice {
    /// Adds a target that aborted a request.
    pub fn add_failed(&mut self, target: &str) {
        self.recovered.retain(|t| t != target);
        if !self.failed.iter().any(|t| t == target) {
            self.failed.push(target.to_owned());
        }
    }

    /// Adds a target that has recovered.
    pub fn add_recovered(&mut self, target: &str) {
        self.failed.retain(|t| t != target);
        if !self.recovered.iter().any(|t| t == target) {
            self.recovered.push(target.to_owned());
        }
    }

    /// Adds what a target named or lifted.
    pub fn add_limit(&mut self, target: &str, news: LimitNews) {
        let limits = &mut self.news.limits;
        limits.retain(|limit| limit.target != target);
        limits.push(LimitNotice {
            target: target.to_owned(),
            limit_per_s: match news {
                LimitNews::Named(limit) => Some(limit),
                LimitNews::Lifted => None,
            },
        });
    }

    /// Adds a target that leaves for good.
    pub fn add_leaving(&mut self, target: &str, born: Option<u64>) {
        self.news.leaving.push(LeavingNotice {
            target: target.to_owned(),
            born,
        });
    }
}
