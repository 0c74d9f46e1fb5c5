//! Responds to the messages of readers.

use crate::{
    peer::{decode, encode, PeerHandler},
    store::BoxFuture,
};

use super::{AdmissionHandle, AdmissionMessage, AdmissionReply, CentreReport};

/// Records the sums of another data centre, or puts the levels of this daemon's reader into force.
pub struct AdmissionHandler {
    /// The admission state of this daemon.
    pub admission: AdmissionHandle,
    /// Data centre of this daemon.
    pub data_centre: String,
}

impl AdmissionHandler {
    fn exchange(&self, report: CentreReport) -> CentreReport {
        if report.data_centre != self.data_centre {
            let admission = &self.admission;
            admission.record_centre(&report.data_centre, report.sums);
        }
        CentreReport {
            data_centre: self.data_centre.clone(),
            sums: self.admission.centre_sums().unwrap_or_default(),
        }
    }
}

impl PeerHandler for AdmissionHandler {
    fn handle<'a>(&'a self, _: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let reply = match decode(body)? {
                AdmissionMessage::Sums(report) => AdmissionReply::Sums(self.exchange(report)),
                AdmissionMessage::Levels(levels) => {
                    self.admission.apply_levels(&levels);
                    AdmissionReply::Load(self.admission.own_report().unwrap_or_default())
                }
            };
            encode(&reply)
        })
    }
}
