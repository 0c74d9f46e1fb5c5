//! Export of the counters by statsd.

use std::{
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::Duration,
};

use cadence::{BufferedUdpMetricSink, Counted, MetricSink, StatsdClient};
use rustc_hash::FxHashMap;

use super::Metrics;

/// Interval between exports.
const EXPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Prefix of all metric names.
const PREFIX: &str = "chervillug";

struct SharedSink(BufferedUdpMetricSink);

impl MetricSink for SharedSink {
    fn emit(&self, metric: &str) -> std::io::Result<usize> {
        self.0.emit(metric)
    }

    fn flush(&self) -> std::io::Result<()> {
        self.0.flush()
    }
}

/// Sends the increments of the counters to the statsd server at `address` until the daemon exits.
pub async fn statsd_export_task(metrics: Rc<Metrics>, address: SocketAddr, host: String) {
    let Some(client) = open_client(address, &host) else {
        log::error!("cannot open a socket to statsd at {address}; counters are not exported");
        return;
    };
    let mut sent: FxHashMap<String, u64> = FxHashMap::default();
    loop {
        monoio::time::sleep(EXPORT_INTERVAL).await;
        metrics.for_each_counter(|name, value| {
            let last = sent.entry(name.to_owned()).or_default();
            if value > *last {
                // An increment that could not be sent is included in the next one.
                if client.count(name, value - *last).is_ok() {
                    *last = value;
                }
            }
        });
        let _ = client.flush();
    }
}

fn open_client(address: SocketAddr, host: &str) -> Option<StatsdClient> {
    let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = BufferedUdpMetricSink::from(address, socket).ok()?;
    let client = StatsdClient::builder(PREFIX, SharedSink(sink))
        .with_tag("host", host)
        .build();
    Some(client)
}
