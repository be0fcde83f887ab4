//! The settings of the serving path.

use std::time::Duration;

use goldcrest_types::names::DcName;
use goldcrest_types::units::{Bytes, Slots};

/// The protocol towards upstreams. Connections are in plain text, which has no negotiation, so it is configured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamProtocol {
    /// HTTP/1.1, one request at a time on a connection.
    Http1,
    /// HTTP/2 with prior knowledge, one connection to each upstream.
    Http2,
}

/// The settings of one entry's serving path. [`FrontCfg::new`] sets the default given at each field.
#[derive(Debug, Clone)]
pub struct FrontCfg {
    /// The data centre of this entry.
    pub dc: DcName,
    /// The most requests that run at one time. Default 16,384.
    pub running_max: Slots,
    /// The most requests that wait at one time. Default 8,192.
    pub waiting_max: Slots,
    /// The most connections from callers. Default 16,384.
    pub connections_max: usize,
    /// A connection that does not deliver a complete request head within this time is closed. Default 30 s.
    pub header_read_timeout: Duration,
    /// The largest request head, in bytes. Default 32 KiB.
    pub header_bytes_max: usize,
    /// The most header fields of a request. Default 100.
    pub headers_max: usize,
    /// The most streams that are open on one HTTP/2 connection of a caller. Default 256.
    pub streams_max: u32,
    /// A connection attempt to an upstream that takes longer counts as refused. Default 1 s.
    pub connect_timeout: Duration,
    /// A connection to an upstream is not reused after it was idle for this long. Default 30 s.
    pub idle_max: Duration,
    /// Like [`FrontCfg::idle_max`] for a request that is not idempotent: sent on a connection that the upstream has
    /// closed, it would end with an unknown outcome. Default 1 s.
    pub idle_max_once: Duration,
    /// The most idle HTTP/1.1 connections kept for one upstream. Default 64.
    pub idle_connections_max: usize,
    /// The protocol towards upstreams. Default HTTP/1.1.
    pub upstream_protocol: UpstreamProtocol,
    /// The longest time that an upstream takes to end its work on a request whose connection was closed. Until then the
    /// request counts as running. Default 1 s.
    pub cancel_bound: Duration,
    /// The longest wait for a claim on an idempotency key, and for its release. Default 1 s.
    pub claim_timeout: Duration,
    /// The time that the balancer takes to notice that this entry is not ready. Default 3 s.
    pub settle: Duration,
    /// The time for which idle connections stay open after [`FrontCfg::settle`] during a drain. Default 2 s.
    pub idle_grace: Duration,
    /// The number of recent requests for which an explanation is kept. Default 2,048.
    pub explanations_max: usize,
    /// The seed of random choices. Drawn at random by default.
    pub seed: u64,
}

impl FrontCfg {
    /// Returns the defaults for an entry in `dc`.
    #[must_use]
    pub fn new(dc: DcName) -> Self {
        Self {
            dc,
            running_max: Slots::new(16_384),
            waiting_max: Slots::new(8_192),
            connections_max: 16_384,
            header_read_timeout: Duration::from_secs(30),
            header_bytes_max: 32 << 10,
            headers_max: 100,
            streams_max: 256,
            connect_timeout: Duration::from_secs(1),
            idle_max: Duration::from_secs(30),
            idle_max_once: Duration::from_secs(1),
            idle_connections_max: 64,
            upstream_protocol: UpstreamProtocol::Http1,
            cancel_bound: Duration::from_secs(1),
            claim_timeout: Duration::from_secs(1),
            settle: Duration::from_secs(3),
            idle_grace: Duration::from_secs(2),
            explanations_max: 2_048,
            seed: rand::random(),
        }
    }

    /// Sets the bounds on running and waiting requests.
    #[must_use]
    pub fn with_bounds(self, running_max: Slots, waiting_max: Slots) -> Self {
        Self {
            running_max,
            waiting_max,
            ..self
        }
    }

    /// Sets the bound on connections from callers.
    #[must_use]
    pub fn with_connections_max(self, connections_max: usize) -> Self {
        Self {
            connections_max,
            ..self
        }
    }

    /// Sets the time limit on reading a request head.
    #[must_use]
    pub fn with_header_read_timeout(self, header_read_timeout: Duration) -> Self {
        Self {
            header_read_timeout,
            ..self
        }
    }

    /// Sets the protocol towards upstreams.
    #[must_use]
    pub fn with_upstream_protocol(self, upstream_protocol: UpstreamProtocol) -> Self {
        Self {
            upstream_protocol,
            ..self
        }
    }

    /// Sets the settle time and the idle grace period of a drain.
    #[must_use]
    pub fn with_drain(self, settle: Duration, idle_grace: Duration) -> Self {
        Self {
            settle,
            idle_grace,
            ..self
        }
    }

    /// Sets the time that upstreams get to end cancelled work.
    #[must_use]
    pub fn with_cancel_bound(self, cancel_bound: Duration) -> Self {
        Self {
            cancel_bound,
            ..self
        }
    }

    /// Sets the seed of random choices.
    #[must_use]
    pub fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Returns [`FrontCfg::header_bytes_max`] as a size.
    #[must_use]
    pub fn header_bytes(&self) -> Bytes {
        Bytes::new(u64::try_from(self.header_bytes_max).unwrap_or(u64::MAX))
    }
}
