//! The platform's list of VMs and its control over them, over HTTP.
//!
//! The list is at `/v1/vms`; a reboot is a `POST` to `/v1/vms/<vm>/reboot`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use goldcrest_types::names::VmName;
use goldcrest_types::units::Epoch;
use http::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};

use super::call::{CallError, HttpCaller};
use crate::fleet::{Fleet, FleetError, VmListing};

/// Asks for a reboot.
#[derive(Debug, Serialize, Deserialize)]
pub struct RebootVm {
    /// The epoch of the role that decided it.
    pub epoch: Epoch,
}

/// The platform at one address.
#[derive(Debug, Clone)]
pub struct HttpFleet {
    caller: HttpCaller,
    address: SocketAddr,
}

impl HttpFleet {
    /// The platform at `address`; each call waits at most `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            caller: HttpCaller::new(timeout),
            address,
        }
    }
}

impl Fleet for HttpFleet {
    async fn list(&self) -> Result<VmListing, FleetError> {
        let answer = self
            .caller
            .call(
                Method::GET,
                self.address,
                "/v1/vms",
                HeaderMap::new(),
                Bytes::new(),
                Duration::ZERO,
            )
            .await
            // A read changes nothing, so its outcome is never unknown.
            .map_err(|_| FleetError::Unreachable)?;
        match answer.status {
            StatusCode::OK => serde_json::from_slice(&answer.body)
                .map_err(|error| FleetError::Malformed(error.to_string().into())),
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
