//! Following the tables of the store in an entry daemon.

use std::{rc::Rc, time::Duration};

use crate::{
    follow::{
        follow_table, ConfigurationSink, FollowOptions, FollowParts, FollowedTable, MemberSink,
        ProofHandler, ReaderParts, ReaderTask, SharedReaderRole, SharedTables, TargetSink,
        MEMBERS_TABLE,
    },
    peer::{MessageKind, PeerRouter},
    platform,
    quota::SliceHolders,
};

use super::front::{Front, Targets};

/// How the configuration is followed. An answer proves for a whole data centre that keys are
/// fresh, so the wait must be shorter than the age up to which others take it for a proof.
const FOLLOW_CONFIGURATION: FollowOptions = FollowOptions {
    long_poll: Duration::from_millis(800),
    batch_delay: Duration::ZERO,
    tracks_connectivity: true,
    bootstraps: false,
};
/// How targets are followed. A connection that went silent is found behind the wait, within the
/// time that the operator's rules give behind trouble of the store; the gathering is well below
/// the time within which a leaving target must get no more work.
const FOLLOW_TARGETS: FollowOptions = FollowOptions {
    long_poll: Duration::from_secs(3),
    batch_delay: Duration::from_millis(300),
    tracks_connectivity: false,
    bootstraps: false,
};
/// How the daemons of the fleet are followed; nothing depends on knowing them within seconds.
const FOLLOW_MEMBERS: FollowOptions = FollowOptions {
    long_poll: Duration::from_secs(10),
    batch_delay: Duration::from_secs(2),
    tracks_connectivity: false,
    bootstraps: true,
};
impl Front {
    /// Starts to follow the tables of the store, directly or through other daemons.
    pub(super) fn follow_tables(&self, tables: &SharedTables, router: &mut PeerRouter) {
        let base = &self.base;
        let handler = ProofHandler {
            view: base.view.clone(),
            tables: tables.clone(),
            connectivity: base.connectivity.clone(),
            clock: base.clock.clone(),
        };
        router.register(MessageKind::Proof, Rc::new(handler));
        let role = SharedReaderRole::default();
        let parts = FollowParts {
            store: base.store.clone(),
            clock: base.clock.clone(),
            connectivity: base.connectivity.clone(),
            role: role.clone(),
        };
        let follow = |table: &Rc<FollowedTable>, opts| {
            monoio::spawn(follow_table(parts.clone(), table.clone(), opts));
        };
        follow(&tables.configuration, FOLLOW_CONFIGURATION);
        follow(&tables.targets, FOLLOW_TARGETS);
        follow(&tables.members, FOLLOW_MEMBERS);
        let reader = ReaderTask::new(ReaderParts {
            peers: self.peers.clone(),
            data_centre: base.settings.data_centre.clone(),
            view: base.view.clone(),
            tables: tables.clone(),
            connectivity: base.connectivity.clone(),
            role,
            clock: base.clock.clone(),
        });
        monoio::spawn(reader.run());
    }

    /// Makes the copies of the tables, which tell the parts of this daemon of changes.
    pub(super) fn tables(&self, targets: &Targets, owners: &SliceHolders) -> SharedTables {
        let base = &self.base;
        let configuration = ConfigurationSink::new(
            base.view.clone(),
            platform::CONFIGURATION_KEY,
            platform::decode_configuration,
        );
        let targets = TargetSink::new(
            targets.balancer.clone(),
            platform::decode_target,
            base.view.clone(),
            base.clock.clone(),
        );
        let members = MemberSink::new(self.peers.directory().clone(), owners.clone());
        let table = |name, sink| Rc::new(FollowedTable::new(name, sink));
        SharedTables {
            configuration: table(platform::CONFIGURATION_TABLE, Rc::new(configuration)),
            targets: table(platform::TARGETS_TABLE, Rc::new(targets)),
            members: table(MEMBERS_TABLE, Rc::new(members)),
        }
    }
}
