//! Tasks that end with their owner.

use std::cell::RefCell;

use tokio::task::JoinHandle;

/// Tasks of one thread that are ended when this is dropped. Without it a stopped part of a test or demo would go on
/// answering on the connections that it has accepted.
#[derive(Debug, Default)]
pub struct TaskSet {
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl TaskSet {
    /// Takes a task, and forgets those that have ended.
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
