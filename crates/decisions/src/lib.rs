//! Policy without I/O: admit, queue, refuse, place, shift, retry.
