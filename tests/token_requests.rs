//! Token requests of a daemon whose link delays all responses, with fake holders on real
//! connections.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use chervillug::{
    catalog::Plan,
    clock::{Clock, SystemClock},
    limit::{Admission, Limiter},
    metrics::Metrics,
    peer::{
        encode, peer_server_task, FleetSecrets, MessageKind, PeerClient, PeerDirectory,
        PeerHandler, PeerRouter, PeerServer,
    },
    quota::{LocalSlice, QuotaLimiter, QuotaParts, SliceHolders, SliceShare, TokenResponse},
    store::{BoxFuture, ListedHost},
};
use monoio::{net::TcpListener, time::sleep, LegacyDriver, RuntimeBuilder};
use standins::free_address;

/// Time by which a link of 10 Mbit/s delays responses behind an upload of 360 KB.
const UPLOAD_DELAY: Duration = Duration::from_millis(300);
/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(2);

/// A holder that grants every token after the present delay.
struct FakeHolder {
    delay: Rc<Cell<Duration>>,
    asked: Rc<Cell<usize>>,
}

impl PeerHandler for FakeHolder {
    fn handle<'a>(&'a self, _: &'a str, _: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            self.asked.set(self.asked.get() + 1);
            sleep(self.delay.get()).await;
            encode(&TokenResponse::Granted)
        })
    }
}

fn start_holder(secrets: &FleetSecrets, handler: FakeHolder) -> SocketAddr {
    let address = free_address().expect("no address");
    let mut router = PeerRouter::default();
    router.register(MessageKind::Ask, Rc::new(handler));
    let server = PeerServer {
        secrets: secrets.clone(),
        router,
        metrics: Rc::new(Metrics::default()),
    };
    let listener = TcpListener::bind(address).expect("cannot bind");
    monoio::spawn(peer_server_task(Rc::new(server), listener));
    address
}

/// A limiter with holders in the data centres `a`, its own, and `b`.
struct Fleet {
    limiter: QuotaLimiter,
    metrics: Rc<Metrics>,
    delays: [Rc<Cell<Duration>>; 2],
    asked: [Rc<Cell<usize>>; 2],
}

impl Fleet {
    /// Starts the holders; one whose address is refused if `is_gone`.
    fn start(is_gone: [bool; 2]) -> Self {
        let secrets = FleetSecrets::new(&["secret".to_owned()]);
        let directory = PeerDirectory::new("own", &Default::default());
        let holders = SliceHolders::default();
        let delays: [Rc<Cell<Duration>>; 2] = Default::default();
        let asked: [Rc<Cell<usize>>; 2] = Default::default();
        let mut hosts = Vec::new();
        for (i, centre) in ["a", "b"].into_iter().enumerate() {
            let handler = FakeHolder {
                delay: delays[i].clone(),
                asked: asked[i].clone(),
            };
            let address = if is_gone[i] {
                free_address().expect("no address")
            } else {
                start_holder(&secrets, handler)
            };
            let host = format!("holder-{centre}");
            holders.set(centre, &host, 1.into());
            hosts.push(ListedHost {
                name: host,
                data_centre: centre.to_owned(),
                address,
                service: None,
                slots: 0,
                leaving: false,
                cold: false,
                born: None,
            });
        }
        directory.set_hosts(&hosts);
        let metrics = Rc::new(Metrics::default());
        let limiter = QuotaLimiter::new(QuotaParts {
            slice: LocalSlice::new(SliceShare {
                slices: 2,
                slack: 0.0,
            }),
            holders,
            peers: PeerClient::new(secrets, directory, metrics.clone()),
            data_centre: "a".to_owned(),
            clock: Rc::new(SystemClock),
            metrics: metrics.clone(),
        });
        Self {
            limiter,
            metrics,
            delays,
            asked,
        }
    }

    async fn admit(&self) -> Admission {
        let plan = Plan {
            plan: "w".to_owned(),
            rate_per_s: 100.0,
            burst: 100,
        };
        let deadline = SystemClock.now() + DEADLINE;
        self.limiter.admit(&Rc::from("w"), &plan, deadline).await
    }

    fn counter(&self, wanted: &str) -> u64 {
        let value = RefCell::new(0);
        self.metrics.for_each_counter(|name, n| {
            if name == wanted {
                *value.borrow_mut() = n;
            }
        });
        value.into_inner()
    }
}

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    runtime.expect("no runtime").block_on(test);
}

/// Guards against the rejection of requests within plan while uploads delay the responses of all
/// holders beyond the usual timeout, by the request that finds out and by those that follow while
/// the holders are paused.
#[test]
fn requests_are_admitted_while_all_responses_are_late() {
    run(async {
        let fleet = Fleet::start([false, false]);
        assert!(matches!(fleet.admit().await, Admission::Granted(_)));
        fleet.delays.iter().for_each(|d| d.set(UPLOAD_DELAY));
        for _ in 0..4 {
            let sent = Instant::now();
            assert!(matches!(fleet.admit().await, Admission::Granted(_)));
            assert!(sent.elapsed() < DEADLINE / 2, "{:?}", sent.elapsed());
        }
        assert!(fleet.counter("asks_extended") >= 4);
        sleep(UPLOAD_DELAY * 2).await;
        let asked = fleet.asked[0].get() + fleet.asked[1].get();
        let unused = fleet.counter("tokens_unused") as usize;
        assert_eq!(
            asked,
            5 + unused,
            "tokens that were neither used nor counted"
        );
    });
}

/// Guards against delays by a holder that is gone while the other one can admit the request.
#[test]
fn holder_that_is_gone_does_not_delay_requests() {
    for gone in [0, 1] {
        run(async move {
            let fleet = Fleet::start([gone == 0, gone == 1]);
            fleet.delays[1 - gone].set(UPLOAD_DELAY);
            for _ in 0..3 {
                let sent = Instant::now();
                assert!(matches!(fleet.admit().await, Admission::Granted(_)));
                let waited = sent.elapsed();
                assert!(
                    waited < UPLOAD_DELAY + Duration::from_millis(100),
                    "{waited:?}"
                );
            }
        });
    }
}

/// Guards against waiting for holders all of which are gone.
#[test]
fn request_is_rejected_at_once_if_all_holders_are_gone() {
    run(async {
        let fleet = Fleet::start([true, true]);
        let sent = Instant::now();
        assert_eq!(fleet.admit().await, Admission::Unavailable);
        assert!(sent.elapsed() < Duration::from_millis(200));
    });
}
