//! Tests of the peer protocol between two processes, over loopback TCP.

mod fakes;
mod faults;
mod round_trips;
mod values;
