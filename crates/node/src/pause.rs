//! Handles pauses of this process: what it had in hand before one may by now be running elsewhere.

use std::{rc::Rc, time::Duration};

use kernel::PauseCount;
use pool::WorkerPool;
use telemetry::{EventKind, EventLine};

use crate::{owner, state::NodeState};

/// A tick that is later than this means that the process has paused: it was frozen or suspended, or got no share of
/// the processor. Other processes regard it as gone after about the same time.
pub(crate) const PAUSE_THRESHOLD: Duration = Duration::from_millis(450);

/// Handles a pause that was not noticed yet: the pools let all their jobs go. Returns how many pauses there were.
///
/// Everything that changes a pool comes through here first, not only the tick. Otherwise, on waking, the answers of
/// workers that are read before the tick would have waiting tasks started, whose customers may already run them
/// elsewhere. A freeze after this check can delay what was decided, but a start carries the end of its lease.
pub(crate) fn notice(state: &Rc<NodeState>) -> PauseCount {
    notice_at(state, state.clock.since_boot())
}

/// Records a tick, after handling a pause that was not noticed yet.
pub(crate) fn record_tick(state: &Rc<NodeState>) {
    // The clock is read once: the tick would hide a freeze between two readings.
    let now = state.clock.since_boot();
    notice_at(state, now);
    let is_draining = state.accept_drain.is_pending();
    state.pauses.borrow_mut().tick(now, is_draining);
}

fn notice_at(state: &Rc<NodeState>, now: Duration) -> PauseCount {
    // The pause counts as noticed before the pools are changed, which leads here again.
    let noticed = state.pauses.borrow_mut().notice(now);
    if let Some(pause) = noticed {
        let line = EventLine::new("process_paused").millis("for_ms", pause);
        state.log(EventKind::Important, line);
        state.last_pause.set(Some(state.now()));
        state.accept_drain.begin();
        owner::for_each_pool(state, WorkerPool::give_up_all);
        state.directory.borrow_mut().forget_reads();
    }
    state.pauses.borrow().count()
}
