//! Whether a request may run more than once.

use http::Method;

/// Tells whether a request may run more than once.
///
/// The marks of the route and of the caller go before the method, and the stricter one wins.
pub fn is_repeatable(method: &Method, route: Option<bool>, caller: Option<bool>) -> bool {
    if route == Some(false) || caller == Some(false) {
        return false;
    }
    if route == Some(true) || caller == Some(true) {
        return true;
    }
    method.is_safe()
}
