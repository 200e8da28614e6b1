//! What came of the demonstration.

use std::fmt;

use serde::Serialize;

use crate::CallerReply;

/// What came of the demonstration.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DemoReport {
    /// Each call and its answer, in order.
    pub calls: Vec<CallSummary>,
    /// Tasks that the endpoints started.
    pub starts: usize,
    /// Submissions and tasks that the stop at the end cut.
    pub cut: usize,
}

/// One call.
#[derive(Clone, Debug, Serialize)]
pub struct CallSummary {
    /// What was called.
    pub call: String,
    /// The answer's status.
    pub status: String,
    /// The answer's reason, unless complete.
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
            "endpoints started {} tasks; the stop cut {}",
            self.starts, self.cut
        )
    }
}
