//! Clients that do not behave, against real processes on loopback addresses.
//!
//! Each test starts the processes, lets a crowd of such clients in, and checks that the process lives, that its peak
//! resident memory and its open descriptors stay under a bound, and that an ordinary request is answered afterwards,
//! while the crowd is still connected and once it has left. The tests take turns: memory and descriptors are those of
//! one crowd.

mod crowd;
mod node;
mod own_interface;
mod process;

use tokio::sync::Mutex;

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::const_new(());
