//! Responds to the sums of other data centres.

use crate::{
    peer::{decode, encode, PeerHandler},
    store::BoxFuture,
};

use super::{AdmissionHandle, CentreReport};

/// Records the sums of another data centre, and responds with those of this one.
pub struct AdmissionHandler {
    /// The admission state of this daemon.
    pub admission: AdmissionHandle,
    /// Data centre of this daemon.
    pub data_centre: String,
}

impl PeerHandler for AdmissionHandler {
    fn handle<'a>(&'a self, _: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let req: CentreReport = decode(body)?;
            if req.data_centre != self.data_centre {
                self.admission.record_centre(&req.data_centre, req.sums);
            }
            encode(&CentreReport {
                data_centre: self.data_centre.clone(),
                sums: self.admission.centre_sums().unwrap_or_default(),
            })
        })
    }
}
