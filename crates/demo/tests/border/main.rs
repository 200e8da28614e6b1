//! The border of callers: real entries and dispatchers on stand-ins, and callers that send any bytes.

mod bad_input;
mod caller;
mod good_calls;
mod memory;
mod page;
