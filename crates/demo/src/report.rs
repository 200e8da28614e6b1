//! The report of the demonstration.

use std::fmt;

use serde::Serialize;

use crate::CallerReply;

/// Report of the demonstration.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DemoReport {
    /// The calls and their answers, in the order of sending.
    pub calls: Vec<CallSummary>,
    /// Number of tasks that the endpoints started.
    pub starts: usize,
    /// Number of submissions and tasks that were still open when the drain limit passed and were therefore cut.
    pub cut: usize,
}

/// One call and its answer.
#[derive(Clone, Debug, Serialize)]
pub struct CallSummary {
    /// Description of the call.
    pub call: String,
    /// Status of the answer.
    pub status: String,
    /// Reason given in the answer, unless the call is complete.
    pub reason: Option<String>,
}

impl DemoReport {
    pub(crate) fn record(&mut self, call: &str, reply: CallerReply) {
        self.calls.push(CallSummary {
            call: call.to_owned(),
            status: reply.status,
            reason: reply.reason,
        });
    }

    /// Whether every call is complete.
    pub fn is_complete(&self) -> bool {
        self.calls
            .iter()
            .all(|summary| summary.status == "complete")
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for summary in &self.calls {
            write!(f, "{}: {}", summary.call, summary.status)?;
            match &summary.reason {
                Some(reason) => writeln!(f, " ({reason})")?,
                None => writeln!(f)?,
            }
        }
        writeln!(
            f,
            "the endpoints started {} tasks; stopping the fleet cut {} submissions and tasks",
            self.starts, self.cut
        )
    }
}
