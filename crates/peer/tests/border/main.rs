//! The border between the system's own processes, over TCP on the loopback.

mod fakes;
mod faults;
mod round_trips;
mod values;
