//! The I/O of the serving path: forwards each request of a caller to one upstream and streams the answer back.
//!
//! Start with [`Front`]. `ingress` accepts connections and parses request heads, `call` carries one request
//! through admission, routing and retries, `upstream` pools the connections to upstreams, `body` streams bodies
//! in both directions, [`refusal`] builds problem documents, `claims` keeps repeated requests from running twice,
//! `explain` and `metrics` report what was decided, and `drain` stops without cutting a request.
//!
//! All decisions are made in `goldcrest-serve`; this crate passes it the time and carries out what it decides.

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
