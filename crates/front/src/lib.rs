//! The serving path's I/O: from a caller's connection to one upstream and back.
//!
//! Start with [`Front`]. `ingress` takes connections and reads requests, `call` carries one request
//! through admission, routing and retries, `upstream` holds the connections to upstreams, `body` streams bodies
//! both ways, [`refusal`] writes problem documents, `claims` keeps repeated requests from running twice,
//! `explain` and `metrics` show what was decided, and `drain` stops without cutting a request.
//!
//! All decisions are made in `goldcrest-serve`; this crate passes it the time and acts on its answers.

mod body;
mod call;
mod cfg;
mod claims;
mod drain;
mod explain;
mod front;
mod ingress;
mod metrics;
pub mod refusal;
mod upstream;

pub use cfg::{FrontCfg, UpstreamProtocol};
pub use claims::{Claim, Claims, LocalClaims};
pub use drain::DrainReport;
pub use explain::{Explanation, Step};
pub use front::{Front, FrontError, FrontStatus, KeyFreshness, OutcomeCounts, UpstreamStatus};
pub use goldcrest_serve::admission::{PoolUsage, TeamGrant, TeamGrants, TeamUsage};
pub use goldcrest_serve::routing::{UpstreamSet, UpstreamSpec, UpstreamState};
