//! Synchronization of an entry daemon with the tables of the store.

use std::{rc::Rc, time::Duration};

use crate::{
    admission::{AdmissionHandler, AdmissionTask, AdmissionTaskParts},
    follow::{
        follow_table, ChangesHandler, ConfigurationSink, EvacuationFormat, EvacuationSink,
        FollowOptions, FollowParts, FollowedTable, LeavingReaders, LostRowsParts, LostRowsTask,
        MemberSink, ProofHandler, ReaderParts, ReaderTask, SharedReaderRole, SharedTables,
        SinkSequence, TableSink, TargetSink, WarmupSink, MEMBERS_TABLE,
    },
    peer::{FleetSecrets, MessageKind, PeerRouter},
    platform,
    quota::SliceHolders,
};

use super::{
    front::{BalancerParts, FrontDaemon},
    front_base::FrontBase,
};

/// Longest time that the store holds a call for the configuration open. One response proves to a
/// whole data centre that the keys are fresh, so that it must be shorter than the maximum age that
/// others accept as proof.
const CONFIGURATION_POLL: Duration = Duration::from_millis(800);
/// The same for the targets. A dead connection is detected after it, within the time that the
/// operator's rules allow after a store failure.
const TARGETS_POLL: Duration = Duration::from_secs(3);
/// Pause after a change of the targets, well below the time within which a leaving target must stop
/// receiving work.
const TARGETS_BATCH: Duration = Duration::from_millis(300);
/// The same for the fleet's daemons; nothing needs membership changes within seconds.
const MEMBERS_POLL: Duration = Duration::from_secs(10);
/// Pause after a change of the members.
const MEMBERS_BATCH: Duration = Duration::from_secs(2);
/// Part of a table that is not divided.
const WHOLE_TABLE: &str = "";

/// The tasks that follow the tables of the store, directly or through other daemons.
pub(super) struct Following {
    parts: FollowParts,
    followed: Vec<(Rc<FollowedTable>, FollowOptions)>,
    reader: ReaderTask,
    /// Channel for the names of readers that leave.
    pub(super) leaving_readers: LeavingReaders,
    admission: AdmissionTask,
}

impl Following {
    /// Returns this daemon's role as a reader of the store.
    pub(super) fn role(&self) -> &SharedReaderRole {
        &self.parts.role
    }

    /// Starts the tasks; the members of the data centre must be known.
    pub(super) fn start(self) {
        for (table, opts) in self.followed {
            monoio::spawn(follow_table(self.parts.clone(), table, opts));
        }
        monoio::spawn(self.reader.run());
        monoio::spawn(self.admission.run());
    }
}

impl FrontBase {
    /// Returns the task that writes lost rows of this daemon and of the fleet again.
    pub(super) fn lost_rows_task(
        &self,
        tables: &SharedTables,
        secrets: &FleetSecrets,
        secret: String,
    ) -> LostRowsTask {
        LostRowsTask::new(LostRowsParts {
            store: self.store.clone(),
            members: tables.members.clone(),
            host: self.settings.host.clone(),
            row: self.member_row(),
            secret,
            secrets: secrets.clone(),
            metrics: self.metrics.clone(),
        })
    }
}

impl FrontDaemon {
    /// Registers the handlers for other daemons, and returns the tasks that follow the tables.
    pub(super) fn prepare_following(
        &self,
        tables: &SharedTables,
        router: &mut PeerRouter,
    ) -> Following {
        let base = &self.base;
        let handler = ProofHandler {
            view: base.view.clone(),
            tables: tables.clone(),
            connectivity: base.connectivity.clone(),
            admission: self.admission.clone(),
            clock: base.clock.clone(),
        };
        router.register(MessageKind::Proof, Rc::new(handler));
        router.register(MessageKind::Changes, Rc::new(ChangesHandler::new(tables)));
        let handler = AdmissionHandler {
            admission: self.admission.clone(),
            data_centre: base.settings.data_centre.clone(),
        };
        router.register(MessageKind::Admission, Rc::new(handler));
        let role = self.role.clone();
        let parts = FollowParts {
            store: base.store.clone(),
            clock: base.clock.clone(),
            connectivity: base.connectivity.clone(),
            role: role.clone(),
        };
        let whole = vec![WHOLE_TABLE.to_owned()];
        let configuration = FollowOptions {
            parts: whole.clone(),
            long_poll: CONFIGURATION_POLL,
            batch_delay: Duration::ZERO,
            tracks_connectivity: true,
        };
        let targets = FollowOptions {
            parts: whole.clone(),
            long_poll: TARGETS_POLL,
            batch_delay: TARGETS_BATCH,
            tracks_connectivity: false,
        };
        let members = FollowOptions {
            parts: [whole, base.settings.data_centres.clone()].concat(),
            long_poll: MEMBERS_POLL,
            batch_delay: MEMBERS_BATCH,
            tracks_connectivity: false,
        };
        let followed = vec![
            (tables.configuration.clone(), configuration),
            (tables.targets.clone(), targets),
            (tables.members.clone(), members),
        ];
        let (leaving_readers, leaving) = LeavingReaders::new();
        let reader = ReaderTask::new(ReaderParts {
            peers: self.peers.clone(),
            data_centre: base.settings.data_centre.clone(),
            view: base.view.clone(),
            tables: tables.clone(),
            connectivity: base.connectivity.clone(),
            role,
            leaving,
            admission: self.admission.clone(),
            metrics: base.metrics.clone(),
            clock: base.clock.clone(),
        });
        let admission = AdmissionTask::new(AdmissionTaskParts {
            admission: self.admission.clone(),
            peers: self.peers.clone(),
            data_centre: base.settings.data_centre.clone(),
            clock: base.clock.clone(),
        });
        Following {
            parts,
            followed,
            reader,
            leaving_readers,
            admission,
        }
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
        let format = EvacuationFormat {
            data_centre: platform::evacuated_data_centre,
            check_value: platform::check_evacuation_value,
        };
        let evacuation = EvacuationSink::new(
            format,
            &base.settings.data_centres,
            balancer.handle.clone(),
            base.metrics.clone(),
        );
        // Evacuations come first, so that they are in force before the first configuration is.
        let mut sinks: Vec<Rc<dyn TableSink>> = vec![Rc::new(evacuation), Rc::new(configuration)];
        if let Some(tolerance) = base.settings.warmup_tolerance() {
            let (view, balancer) = (base.view.clone(), balancer.handle.clone());
            sinks.push(Rc::new(WarmupSink::new(view, tolerance, balancer)));
        }
        let operator = SinkSequence::new(sinks);
        let targets = TargetSink::new(
            balancer.handle.clone(),
            platform::decode_target,
            platform::decode_entry_warmup,
            base.view.clone(),
            self.admission.clone(),
            base.clock.clone(),
        );
        let members = MemberSink::new(self.peers.directory().clone(), holders.clone());
        let table = |name, sink| Rc::new(FollowedTable::new(name, sink));
        SharedTables {
            configuration: table(platform::CONFIGURATION_TABLE, Rc::new(operator)),
            targets: table(platform::TARGETS_TABLE, Rc::new(targets)),
            members: table(MEMBERS_TABLE, Rc::new(members)),
        }
    }
}
