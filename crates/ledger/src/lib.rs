//! The dispatcher's state: slots, reservations and attempts, without I/O.
