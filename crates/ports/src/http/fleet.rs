//! The platform's list of VMs and its commands about VMs, over HTTP.
//!
//! The list is at `/v1/vms`; a reboot is a `POST` to `/v1/vms/<vm>/reboot`. The list is large and seldom changes, so
//! each read sends the entity tag of the last one, and an unchanged list is answered without its body.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use goldcrest_types::names::VmName;
use goldcrest_types::units::Epoch;
use http::header::{ETAG, IF_NONE_MATCH};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use serde::{Deserialize, Serialize};

use super::call::{Answer, CallError, HttpCaller};
use crate::fleet::{Fleet, FleetError, VmListing};

/// The body of a reboot request.
#[derive(Debug, Serialize, Deserialize)]
pub struct RebootVm {
    /// The fencing epoch of the role that commands the reboot.
    pub epoch: Epoch,
}

/// The last list that was read, with its entity tag.
#[derive(Debug)]
struct Tagged {
    tag: HeaderValue,
    listing: VmListing,
}

/// A client of the platform at one address. Clones share the cached list.
#[derive(Debug, Clone)]
pub struct HttpFleet {
    caller: HttpCaller,
    address: SocketAddr,
    last: Arc<Mutex<Option<Tagged>>>,
}

impl HttpFleet {
    /// Returns a client of the platform at `address`. Each call waits at most `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            caller: HttpCaller::new(timeout),
            address,
            last: Arc::default(),
        }
    }

    fn last(&self) -> MutexGuard<'_, Option<Tagged>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read_listing(&self, answer: &Answer) -> Result<VmListing, FleetError> {
        let listing: VmListing = serde_json::from_slice(&answer.body)
            .map_err(|error| FleetError::Malformed(error.to_string().into()))?;
        let tag = answer.headers.get(ETAG).cloned();
        *self.last() = tag.map(|tag| Tagged {
            tag,
            listing: listing.clone(),
        });
        Ok(listing)
    }
}

impl Fleet for HttpFleet {
    async fn list(&self) -> Result<VmListing, FleetError> {
        let mut headers = HeaderMap::new();
        if let Some(last) = self.last().as_ref() {
            headers.insert(IF_NONE_MATCH, last.tag.clone());
        }
        let answer = self
            .caller
            .call(
                Method::GET,
                self.address,
                "/v1/vms",
                headers,
                Bytes::new(),
                Duration::ZERO,
            )
            .await
            // A read changes nothing, so its outcome is never unknown.
            .map_err(|_| FleetError::Unreachable)?;
        match answer.status {
            StatusCode::OK => self.read_listing(&answer),
            StatusCode::NOT_MODIFIED => self
                .last()
                .as_ref()
                .map(|last| last.listing.clone())
                .ok_or_else(|| FleetError::Malformed(answer.detail())),
            StatusCode::SERVICE_UNAVAILABLE => Err(FleetError::Unreachable),
            _ => Err(FleetError::Malformed(answer.detail())),
        }
    }

    async fn reboot(&self, vm: &VmName, epoch: Epoch) -> Result<(), FleetError> {
        let body = serde_json::to_vec(&RebootVm { epoch })
            .map_err(|error| FleetError::Malformed(error.to_string().into()))?;
        let path = format!("/v1/vms/{vm}/reboot");
        let answer = self
            .caller
            .call(
                Method::POST,
                self.address,
                &path,
                HeaderMap::new(),
                body.into(),
                Duration::ZERO,
            )
            .await
            .map_err(fleet_error)?;
        match answer.status {
            StatusCode::ACCEPTED => Ok(()),
            StatusCode::CONFLICT => Err(FleetError::Fenced),
            StatusCode::NOT_FOUND => Err(FleetError::NoSuchVm),
            StatusCode::SERVICE_UNAVAILABLE => Err(FleetError::Unreachable),
            _ => Err(FleetError::Malformed(answer.detail())),
        }
    }
}

fn fleet_error(error: CallError) -> FleetError {
    match error {
        CallError::NotSent => FleetError::Unreachable,
        CallError::NoAnswer => FleetError::OutcomeUnknown,
        CallError::BadRequest(detail) => FleetError::Malformed(detail),
    }
}
