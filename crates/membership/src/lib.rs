//! Live dispatchers, ownership by rendezvous hashing, and leased grants, without I/O.
