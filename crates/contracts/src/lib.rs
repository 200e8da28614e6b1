//! Contracts: versioned rows, compare-and-set changes, a local view that never goes back.
