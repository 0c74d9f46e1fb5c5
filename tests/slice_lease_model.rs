//! Exhaustive exploration of the lease of one slice with two or three hosts and one store, through
//! pauses, restarts, lost responses, rollbacks of the store, and handovers whose messages are late,
//! lost or repeated.
//!
//! The exploration runs the state machine of the daemons.

mod slice_model;

use chervillug::quota::{SliceLease, LEASE_TERM};
use slice_model::{explore, start, Scope, Variant, HANDOVER_HOSTS, HOSTS, STEP, STEPS};

#[test]
fn slice_never_has_two_holders() {
    assert!(STEP * u32::from(STEPS) > LEASE_TERM * 2);
    let (states, violated) = explore(Scope::without_handover(Variant::Unmodified));
    assert!(!violated);
    assert!(states > 1000, "{states} states");
    println!("{states} states");
}

/// Guards against a slice that is counted twice when a holder hands it over to two successors, one
/// of which seems not to respond, when an offer is late, and when the holder's host restarts.
#[test]
fn slice_never_has_two_holders_at_a_handover() {
    let two_hosts = Scope {
        hosts: HOSTS,
        steps: 6,
        ..Scope::with_handover(Variant::Unmodified)
    };
    for scope in [two_hosts, Scope::with_handover(Variant::Unmodified)] {
        let (states, violated) = explore(scope);
        assert!(!violated, "{scope:?}");
        assert!(states > 1000, "{states} states");
        println!("{} hosts: {states} states", scope.hosts);
    }
}

/// Guards against a lease that is taken over while its holder, whose row the store lost, still admits
/// requests.
#[test]
fn slice_never_has_two_holders_after_a_rollback() {
    let (states, violated) = explore(Scope::with_rollback(Variant::Unmodified));
    assert!(!violated);
    println!("{states} states");
}

/// Guards against a release in one era that entitles a successor in another, in which the row may have
/// the same version again, and against a new holder whose row a rollback loses.
#[test]
fn slice_never_has_two_holders_at_a_handover_across_eras() {
    let three_hosts = Scope {
        hosts: HANDOVER_HOSTS,
        steps: 2,
        ..Scope::with_handover_and_rollback(Variant::Unmodified)
    };
    for scope in [
        Scope::with_handover_and_rollback(Variant::Unmodified),
        three_hosts,
    ] {
        let (states, violated) = explore(scope);
        assert!(!violated, "{scope:?}");
        assert!(states > 1000, "{states} states");
        println!("{} hosts: {states} states", scope.hosts);
    }
}

#[test]
fn broken_variants_are_detected() {
    let scopes = [
        Scope::without_handover(Variant::TermFromResponse),
        Scope::without_handover(Variant::ImmediateTakeover),
        Scope::with_handover(Variant::OfferWithoutRelease),
        Scope::with_handover(Variant::HolderOnOffer),
        Scope::with_handover(Variant::UnconditionalTakeover),
        Scope::with_rollback(Variant::ImmediateTakeoverInNewEra),
        Scope::with_rollback(Variant::TakeoverAcrossEras),
        Scope::with_handover_and_rollback(Variant::ReleaseAcrossEras),
        Scope::with_handover_and_rollback(Variant::TakeoverAcrossEras),
        Scope::with_handover_and_rollback(Variant::OfferWithoutRelease),
        Scope::with_handover_and_rollback(Variant::HolderOnOffer),
    ];
    for scope in scopes {
        let (states, violated) = explore(scope);
        assert!(violated, "{scope:?}: {states} states without a violation");
    }
}

/// Guards against a successor that waits for the term of a lease that was released to it, and
/// against a holder that acquires the lease again after it has released it.
#[test]
fn successor_acquires_a_released_lease_at_once() {
    let now = start(1, 0).now;
    let mut holder = SliceLease::default();
    assert_eq!(holder.release(now), None, "released without being held");
    holder.observe(0, false, now);
    holder.record_write(7, now);
    assert_eq!(holder.release(now + STEP), Some(7.into()));
    assert!(!holder.is_held(now + STEP));
    // A response to a renewal that arrives after the release.
    holder.record_write(8, now + STEP);
    holder.observe(8, true, now + STEP);
    assert!(!holder.is_holder());
    assert_eq!(holder.acquirable_version(now + LEASE_TERM * 2), None);

    let mut successor = SliceLease::default();
    successor.observe(7, false, now);
    assert_eq!(successor.acquirable_version(now + STEP), None);
    assert!(successor.accept_release(7.into(), now + STEP));
    assert!(!successor.is_held(now + STEP));
    assert_eq!(successor.acquirable_version(now + STEP), Some(7));
    successor.record_write(8, now + STEP);
    assert!(successor.is_held(now + STEP));
    assert!(
        !successor.accept_release(7.into(), now + STEP),
        "a repeated offer"
    );

    let mut informed = SliceLease::default();
    informed.observe(9, false, now);
    assert!(!informed.accept_release(7.into(), now), "an outdated offer");
}
