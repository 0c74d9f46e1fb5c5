//! Repeatability of requests.

use http::Method;

/// Returns whether a request may run more than once.
///
/// The settings of the route and of the caller take precedence over the method; if they differ,
/// the stricter one applies.
pub fn is_repeatable(method: &Method, route: Option<bool>, caller: Option<bool>) -> bool {
    if route == Some(false) || caller == Some(false) {
        return false;
    }
    if route == Some(true) || caller == Some(true) {
        return true;
    }
    method.is_safe()
}
