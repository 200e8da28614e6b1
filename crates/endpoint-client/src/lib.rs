//! Calls a task on an endpoint over HTTP and classifies the answer.
