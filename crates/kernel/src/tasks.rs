//! Tasks that are aborted when their owner is dropped, and what happens when one ends that must not.

use std::{cell::RefCell, future::Future, pin::Pin, task::Poll};

use thiserror::Error;
use tokio::task::JoinHandle;

/// The exit status of a process in which something has panicked.
const PANIC_EXIT_STATUS: i32 = 101;

/// Has any panic end the process, after its message was printed. A panic by itself ends only its task or thread: the process
/// would go on without it, with a state that it left half changed, and would seem alive to others.
pub fn exit_on_panic() {
    let print_message = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        print_message(panic);
        std::process::exit(PANIC_EXIT_STATUS);
    }));
}

/// A task that was to run for as long as its process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the task {0} has ended")]
pub struct TaskEnded(pub &'static str);

/// The tasks without which a process cannot go on. They are aborted when the group is dropped.
#[derive(Debug, Default)]
pub struct TaskGroup {
    tasks: Vec<(&'static str, JoinHandle<()>)>,
}

impl TaskGroup {
    /// Starts a task on this thread.
    pub fn spawn(&mut self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        self.tasks.push((name, actix_rt::spawn(task)));
    }

    /// Waits until one of the tasks ends, by a return or by a panic.
    pub async fn first_ended(&mut self) -> TaskEnded {
        std::future::poll_fn(|context| {
            for (name, handle) in &mut self.tasks {
                if Pin::new(handle).poll(context).is_ready() {
                    return Poll::Ready(TaskEnded(name));
                }
            }
            Poll::Pending
        })
        .await
    }
}

impl Drop for TaskGroup {
    fn drop(&mut self) {
        for (_, handle) in &self.tasks {
            handle.abort();
        }
    }
}

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
