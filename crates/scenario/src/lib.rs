//! A small test language for failure scenarios, run against real processes.
