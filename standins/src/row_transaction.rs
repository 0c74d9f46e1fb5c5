//! Transactions in the wire format of the row store.

use serde::Deserialize;

/// Names a row, and the version that it is expected to have.
#[derive(Deserialize)]
pub(crate) struct Name {
    pub(crate) table: String,
    #[serde(default)]
    pub(crate) part: String,
    pub(crate) key: String,
    #[serde(default)]
    pub(crate) ver: u64,
}

/// A row to be written.
#[derive(Deserialize)]
pub(crate) struct Put {
    pub(crate) table: String,
    #[serde(default)]
    pub(crate) part: String,
    pub(crate) key: String,
    pub(crate) value: String,
}

/// Conditions and writes, which are performed together or not at all.
#[derive(Deserialize)]
pub(crate) struct Transaction {
    #[serde(default)]
    pub(crate) expect: Vec<Name>,
    #[serde(default)]
    pub(crate) puts: Vec<Put>,
    #[serde(default)]
    pub(crate) deletes: Vec<Name>,
}

impl Transaction {
    /// Returns whether all rows are of the same part, as the store requires.
    pub(crate) fn is_of_one_part(&self) -> bool {
        let names = self.expect.iter().chain(&self.deletes).map(|n| &n.part);
        let mut parts = names.chain(self.puts.iter().map(|p| &p.part));
        let first = parts.next();
        parts.all(|part| Some(part) == first)
    }
}
