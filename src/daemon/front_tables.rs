//! Synchronization of an entry daemon with the tables of the store.

use std::{rc::Rc, time::Duration};

use crate::{
    follow::{
        follow_table, ChangesHandler, ConfigurationSink, FollowOptions, FollowParts, FollowedTable,
        MemberSink, ProofHandler, ReaderParts, ReaderTask, SharedReaderRole, SharedTables,
        TargetSink, MEMBERS_TABLE,
    },
    peer::{MessageKind, PeerRouter},
    platform,
    quota::SliceHolders,
};

use super::front::{BalancerParts, FrontDaemon};

/// Options for following the configuration. One response proves to a whole data centre that the
/// keys are fresh, so the long poll must be shorter than the maximum age that others accept as
/// proof.
const FOLLOW_CONFIGURATION: FollowOptions = FollowOptions {
    long_poll: Duration::from_millis(800),
    batch_delay: Duration::ZERO,
    tracks_connectivity: true,
    bootstraps: false,
};
/// Options for following targets. A dead connection is detected after the long poll, within the
/// time that the operator's rules allow after a store failure. The batch delay is well below the
/// time within which a leaving target must stop receiving work.
const FOLLOW_TARGETS: FollowOptions = FollowOptions {
    long_poll: Duration::from_secs(3),
    batch_delay: Duration::from_millis(300),
    tracks_connectivity: false,
    bootstraps: false,
};
/// Options for following the fleet's daemons; nothing needs membership changes within seconds.
const FOLLOW_MEMBERS: FollowOptions = FollowOptions {
    long_poll: Duration::from_secs(10),
    batch_delay: Duration::from_secs(2),
    tracks_connectivity: false,
    bootstraps: true,
};

impl FrontDaemon {
    /// Starts following the tables of the store, directly or through other daemons.
    pub(super) fn follow_tables(&self, tables: &SharedTables, router: &mut PeerRouter) {
        let base = &self.base;
        let handler = ProofHandler {
            view: base.view.clone(),
            tables: tables.clone(),
            connectivity: base.connectivity.clone(),
            clock: base.clock.clone(),
        };
        router.register(MessageKind::Proof, Rc::new(handler));
        router.register(MessageKind::Changes, Rc::new(ChangesHandler::new(tables)));
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
            metrics: base.metrics.clone(),
            clock: base.clock.clone(),
        });
        monoio::spawn(reader.run());
    }

    /// Creates the local copies of the tables, which pass changes on to their sinks.
    pub(super) fn make_tables(
        &self,
        balancer: &BalancerParts,
        holders: &SliceHolders,
    ) -> SharedTables {
        let base = &self.base;
        let configuration = ConfigurationSink::new(
            base.view.clone(),
            platform::CONFIGURATION_KEY,
            platform::decode_configuration,
        );
        let targets = TargetSink::new(
            balancer.handle.clone(),
            platform::decode_target,
            base.view.clone(),
            base.clock.clone(),
        );
        let members = MemberSink::new(self.peers.directory().clone(), holders.clone());
        let table = |name, sink| Rc::new(FollowedTable::new(name, sink));
        SharedTables {
            configuration: table(platform::CONFIGURATION_TABLE, Rc::new(configuration)),
            targets: table(platform::TARGETS_TABLE, Rc::new(targets)),
            members: table(MEMBERS_TABLE, Rc::new(members)),
        }
    }
}
