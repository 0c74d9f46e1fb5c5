//! Cases of the module `outcomes`.

use std::io;

use crate::{figure::Report, RunOptions};

/// Not measured yet.
pub(crate) fn outcomes(_: &RunOptions, _: &mut Report) -> io::Result<()> {
    Err(io::Error::other("not measured yet"))
}

/// Not measured yet.
pub(crate) fn silent(_: &RunOptions, _: &mut Report) -> io::Result<()> {
    Err(io::Error::other("not measured yet"))
}

/// Not measured yet.
pub(crate) fn poison(_: &RunOptions, _: &mut Report) -> io::Result<()> {
    Err(io::Error::other("not measured yet"))
}
