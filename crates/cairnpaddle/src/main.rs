//! cairnpaddle.

fn main() {}
