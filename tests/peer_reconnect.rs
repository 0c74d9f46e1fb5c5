//! Calls to a daemon that was restarted while connections to it were kept.

use std::{cell::Cell, rc::Rc, time::Duration};

use chervillug::{
    metrics::Metrics,
    peer::{
        encode, peer_server_task, FleetSecrets, MessageKind, PeerClient, PeerDirectory, PeerError,
        PeerHandler, PeerRouter, PeerServer,
    },
    store::{BoxFuture, ListedHost},
};
use monoio::{net::TcpListener, time::sleep, LegacyDriver, RuntimeBuilder};
use standins::{free_address, Link};

/// Timeout of one call.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which a link closes its connections.
const CUT_TIME: Duration = Duration::from_millis(500);

/// Counts the messages.
struct CountingHandler {
    handled: Rc<Cell<u32>>,
}

impl PeerHandler for CountingHandler {
    fn handle<'a>(&'a self, _: &'a str, _: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            self.handled.set(self.handled.get() + 1);
            encode(&())
        })
    }
}

async fn close_connections(link: &Link) {
    link.set_faults(|f| f.cut = true);
    sleep(CUT_TIME).await;
    link.set_faults(|f| f.cut = false);
}

/// Guards against holders, successors and readers that seem to be gone, and announcements that are
/// lost, because of connections from before their daemon was restarted.
#[test]
fn repeatable_message_is_sent_again_if_a_kept_connection_fails() {
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    runtime.expect("no runtime").block_on(async {
        let secrets = FleetSecrets::new(&["secret".to_owned()]);
        let handled = Rc::new(Cell::new(0));
        let handler = CountingHandler {
            handled: handled.clone(),
        };
        let mut router = PeerRouter::default();
        router.register(MessageKind::SliceStatus, Rc::new(handler));
        let address = free_address().expect("no address");
        let server = PeerServer {
            secrets: secrets.clone(),
            router,
            metrics: Rc::default(),
        };
        let listener = TcpListener::bind(address).expect("cannot bind");
        monoio::spawn(peer_server_task(Rc::new(server), listener));
        let link = Link::start(free_address().expect("no address"), address).expect("no link");
        let directory = PeerDirectory::new("own", &Default::default());
        directory.set_hosts(&[ListedHost {
            name: "other".to_owned(),
            data_centre: "a".to_owned(),
            address: link.address,
            service: None,
            slots: 0,
            leaving: false,
            cold: false,
            born: None,
        }]);
        let peers = PeerClient::new(secrets, directory, Rc::new(Metrics::default()));
        let kind = MessageKind::SliceStatus;

        assert_eq!(peers.call("other", kind, &(), TIMEOUT).await, Ok(()));
        close_connections(&link).await;
        let once: Result<(), PeerError> = peers.call("other", kind, &(), TIMEOUT).await;
        assert_eq!(once, Err(PeerError::NoAnswer));

        assert_eq!(peers.call("other", kind, &(), TIMEOUT).await, Ok(()));
        close_connections(&link).await;
        let repeated = peers.call_repeatable("other", kind, &(), TIMEOUT).await;
        assert_eq!(repeated, Ok(()));
        assert_eq!(handled.get(), 3);

        link.set_faults(|f| f.cut = true);
        let gone = peers.call_repeatable::<_, ()>("other", kind, &(), TIMEOUT);
        assert_eq!(gone.await, Err(PeerError::NoAnswer));
    });
}
