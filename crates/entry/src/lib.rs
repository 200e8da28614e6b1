//! The entry process: callers and operators on one side, dispatchers on the other.
