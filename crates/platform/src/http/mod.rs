//! The platform over HTTP.
