//! The object store.

use bytes::Bytes;

use super::{BoxFuture, StoreError};

/// The object store.
pub trait ObjectStore {
    /// Stores `body` under `name`.
    fn put<'a>(&'a self, name: &'a str, body: Bytes) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Reads the object under `name`; `None` if there is no such object.
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Bytes>, StoreError>>;
}
