//! Start, shutdown and requests in flight of one daemon.

mod in_flight;
mod shutdown;
mod signals;

pub use in_flight::{InFlight, InFlightGuard};
pub use shutdown::Shutdown;
pub use signals::wait_for_stop_signal;
