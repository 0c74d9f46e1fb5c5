//! Cases of the module `rate`.

use std::io;

use crate::{figure::Report, RunOptions};

/// Not measured yet.
pub(crate) fn rate(_: &RunOptions, _: &mut Report) -> io::Result<()> {
    Err(io::Error::other("not measured yet"))
}

/// Not measured yet.
pub(crate) fn outage(_: &RunOptions, _: &mut Report) -> io::Result<()> {
    Err(io::Error::other("not measured yet"))
}
