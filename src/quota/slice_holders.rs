//! Which daemon counts the slice of each data centre.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::clock::BootTime;

/// Time for which a daemon that did not answer is not asked again.
const SILENT_PAUSE: Duration = Duration::from_millis(700);
/// Time for which a daemon that did not answer is suspected to be gone; longer than the term of
/// its lease.
const SUSPECT_TIME: Duration = Duration::from_secs(10);

/// Prefix of the keys under which the holders of slices stand among the members.
const HOLDER_KEY_PREFIX: &str = "slice:";

/// The row that names the holder of a data centre's slice to all daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRow {
    /// Name of the host.
    pub host: String,
}

impl HolderRow {
    /// Returns the key of the row for `data_centre`.
    pub fn key(data_centre: &str) -> String {
        format!("{HOLDER_KEY_PREFIX}{data_centre}")
    }

    /// Returns the data centre that a key names; none for keys of other rows.
    pub fn data_centre(key: &str) -> Option<&str> {
        key.strip_prefix(HOLDER_KEY_PREFIX)
    }
}

#[derive(Debug, Clone)]
struct Holder {
    host: Rc<str>,
    silent_until: BootTime,
    suspect_until: BootTime,
}

/// Which daemon counts the slice of each data centre.
#[derive(Clone, Default)]
pub struct SliceHolders {
    by_centre: Rc<RefCell<BTreeMap<String, Holder>>>,
}

impl SliceHolders {
    /// Takes note of the holder of a data centre's slice.
    pub fn set(&self, data_centre: &str, host: &str) {
        let holder = Holder {
            host: Rc::from(host),
            silent_until: BootTime::default(),
            suspect_until: BootTime::default(),
        };
        self.by_centre
            .borrow_mut()
            .insert(data_centre.to_owned(), holder);
    }

    /// Returns the host that counts the slice of `data_centre`.
    pub fn holder(&self, data_centre: &str) -> Option<Rc<str>> {
        let holders = self.by_centre.borrow();
        holders.get(data_centre).map(|o| o.host.clone())
    }

    /// Returns the data centres with the hosts to ask, the own one first, without those that did
    /// not answer lately.
    pub fn responsive_holders(&self, own_centre: &str, now: BootTime) -> Vec<(String, Rc<str>)> {
        let holders = self.by_centre.borrow();
        let answering = holders.iter().filter(|(_, o)| o.silent_until <= now);
        let mut asked: Vec<(String, Rc<str>)> = answering
            .map(|(centre, o)| (centre.clone(), o.host.clone()))
            .collect();
        fastrand::shuffle(&mut asked);
        asked.sort_by_key(|(centre, _)| centre != own_centre);
        asked
    }

    /// Takes note that the holder of a data centre's slice did not answer.
    pub fn record_no_answer(&self, data_centre: &str, now: BootTime) {
        if let Some(owner) = self.by_centre.borrow_mut().get_mut(data_centre) {
            owner.silent_until = now + SILENT_PAUSE;
            owner.suspect_until = now + SUSPECT_TIME;
        }
    }

    /// Tells whether the slice of a data centre may have no holder, as none is known or the one
    /// that is did not answer lately.
    pub fn may_lack_holder(&self, data_centre: &str, now: BootTime) -> bool {
        let holders = self.by_centre.borrow();
        let holder = holders.get(data_centre);
        holder.is_none_or(|o| o.suspect_until > now)
    }
}
