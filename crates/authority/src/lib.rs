//! The entry's state: one authority per submission, without I/O.
