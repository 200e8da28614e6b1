//! Logs, metrics and the explain history.
