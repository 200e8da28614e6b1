//! The process that runs on the users' platform: it accepts customers' jobs, submits each to the owner of a pool of
//! workers, and owns pools itself.
//!
//! Every VM runs one such process, and all are equal. The node that a customer's request reaches is the entry of the
//! request's job; the node that owns a pool is the pool's owner. (An entry of the workers' directory is something
//! else: the row that lists a worker.)
//!
//! All state of a process is on one thread: its machine has a quarter of a core, where a second thread would only add
//! wake-ups. The decisions are made in `pool` and `claims`, which do no I/O; this crate carries their inputs and
//! outputs.

mod attempts;
mod clients;
mod customer_server;
mod directory;
mod entry;
mod error;
mod event_lines;
mod feeds;
mod groups;
mod kept_jobs;
mod list_schedule;
mod metrics;
mod operator;
mod owner;
mod pause;
mod peers;
mod pool_port;
mod process;
mod ready;
mod request_lines;
mod run_time_news;
mod state;
mod traffic;
mod workers;

pub use crate::{
    error::NodeError,
    metrics::{counter_families, TIME_FAMILIES},
    process::{run, start, NodeProcess},
};
