//! cairnctl.

fn main() {}
