//! Load tests of the authority in virtual time: what callers get, and how many messages it costs.

mod admission;
mod placement;
mod predicted_late;
mod retries;
mod run_times;
mod simulation;
