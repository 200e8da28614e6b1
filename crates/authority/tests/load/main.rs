//! The authority under load, in virtual time: what callers get, and how many messages it costs.

mod admission;
mod hopeless;
mod placing;
mod retries;
mod run_times;
mod world;
