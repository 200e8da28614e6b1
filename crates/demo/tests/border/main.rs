//! Tests of the callers' interface: real entries and dispatchers on stand-ins, and callers that send arbitrary bytes.

mod bad_input;
mod caller;
mod good_calls;
mod memory;
mod page;
