//! Cases of the module `gray`.

use std::io;

use crate::{figure::Report, RunOptions};

/// Not measured yet.
pub(crate) fn gray(_: &RunOptions, _: &mut Report) -> io::Result<()> {
    Err(io::Error::other("not measured yet"))
}

/// Not measured yet.
pub(crate) fn flap(_: &RunOptions, _: &mut Report) -> io::Result<()> {
    Err(io::Error::other("not measured yet"))
}

/// Not measured yet.
pub(crate) fn noise(_: &RunOptions, _: &mut Report) -> io::Result<()> {
    Err(io::Error::other("not measured yet"))
}

/// Not measured yet.
pub(crate) fn neighbour(_: &RunOptions, _: &mut Report) -> io::Result<()> {
    Err(io::Error::other("not measured yet"))
}

/// Not measured yet.
pub(crate) fn overload(_: &RunOptions, _: &mut Report) -> io::Result<()> {
    Err(io::Error::other("not measured yet"))
}
