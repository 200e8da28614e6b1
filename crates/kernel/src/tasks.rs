//! Tasks that are aborted when their owner is dropped.

use std::cell::RefCell;

use tokio::task::JoinHandle;

/// Tasks of one thread that are aborted when the set is dropped. Otherwise a component that a test or demo has stopped
/// would go on answering on the connections that it has accepted.
#[derive(Debug, Default)]
pub struct TaskSet {
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl TaskSet {
    /// Adds a task and removes those that have finished.
    pub fn add(&self, task: JoinHandle<()>) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }
}

impl Drop for TaskSet {
    fn drop(&mut self) {
        for task in self.tasks.borrow().iter() {
            task.abort();
        }
    }
}
