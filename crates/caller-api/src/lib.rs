//! HTTP/JSON for callers and operators.
