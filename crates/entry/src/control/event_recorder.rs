//! Records the authority's events as metrics and as the history that `explain` shows.

use std::{sync::Arc, time::Instant};

use authority::{AuthorityEvent, DispatcherKey};
use model::{ByteSize, FastMap, SubmissionId, SubmissionOutcome, VmId};
use telemetry::{
    CounterKind, ExplainEvent, ExplainHistory, ExplainReport, MetricSet, SubmissionSummary,
    TimeKind,
};

/// Memory limit for the histories of submissions, in bytes. A job of 40 tasks takes about 10 KB, so about the last
/// thousand can be explained.
const HISTORY_LIMIT: ByteSize = ByteSize(8 * 1024 * 1024);

/// Metrics and submission histories of one entry.
pub(crate) struct EventRecorder {
    metrics: Arc<MetricSet>,
    history: ExplainHistory,
    accepted: FastMap<SubmissionId, Instant>,
}

impl EventRecorder {
    pub(crate) fn new(metrics: Arc<MetricSet>) -> Self {
        Self {
            metrics,
            history: ExplainHistory::new(HISTORY_LIMIT),
            accepted: FastMap::default(),
        }
    }

    pub(crate) fn metrics(&self) -> &MetricSet {
        &self.metrics
    }

    pub(crate) fn explain(&self, id: SubmissionId) -> Option<ExplainReport> {
        self.history.explain(id)
    }

    /// Counts a refusal of a submission that had no id yet.
    pub(crate) fn count_refusal(&self, outcome: &SubmissionOutcome) {
        self.metrics.answered(outcome);
    }

    /// Counts messages about tasks sent by this process.
    pub(crate) fn count_sent(&self, messages: u64) {
        self.metrics.count(CounterKind::Messages, messages);
    }

    /// Counts messages that did not lead to a start.
    pub(crate) fn count_wasted(&self, messages: u64) {
        self.metrics.count(CounterKind::WastedMessages, messages);
    }

    pub(crate) fn record_answer(
        &mut self,
        now: Instant,
        id: SubmissionId,
        outcome: &SubmissionOutcome,
    ) {
        self.metrics.answered(outcome);
        if let Some(accepted) = self.accepted.remove(&id) {
            self.metrics
                .time(TimeKind::Response, now.saturating_duration_since(accepted));
        }
        self.history.record(
            id,
            ExplainEvent::Answered {
                outcome: outcome.into(),
            },
            now,
        );
    }

    pub(crate) fn record(
        &mut self,
        now: Instant,
        event: AuthorityEvent,
        address_of: impl Fn(DispatcherKey) -> VmId,
    ) {
        match event {
            AuthorityEvent::Admitted {
                id,
                customer,
                version,
                tasks,
            } => {
                self.metrics.submitted(&customer);
                self.accepted.insert(id, now);
                let summary = SubmissionSummary {
                    customer,
                    contract: Some(version),
                    tasks,
                };
                self.history.accept(id, summary, now);
                self.history.record(id, ExplainEvent::Admitted, now);
            }
            AuthorityEvent::Refused { .. } | AuthorityEvent::Answered(_) => {}
            AuthorityEvent::Offered(attempt, dispatcher) => {
                self.metrics.count(CounterKind::TaskOffers, 1);
                let offered = ExplainEvent::Offered {
                    task: attempt.task,
                    dispatcher: address_of(dispatcher),
                };
                self.history.record(attempt.submission, offered, now);
            }
            AuthorityEvent::Queued(attempt) => {
                self.history.record(
                    attempt.submission,
                    ExplainEvent::Queued { task: attempt.task },
                    now,
                );
            }
            AuthorityEvent::Claimed(attempt) => {
                self.history.record(
                    attempt.submission,
                    ExplainEvent::Claimed { task: attempt.task },
                    now,
                );
            }
            AuthorityEvent::Started(attempt) => {
                let started = ExplainEvent::Started {
                    task: attempt.task,
                    attempt: attempt.attempt,
                };
                self.history.record(attempt.submission, started, now);
            }
            AuthorityEvent::Ended(attempt, end) => {
                let end = (&end).into();
                let ended = ExplainEvent::Ended {
                    task: attempt.task,
                    attempt: attempt.attempt,
                    end,
                };
                self.history.record(attempt.submission, ended, now);
            }
            AuthorityEvent::Retried(attempt, reason) => {
                self.metrics.retried(reason);
                // The offer that led to no start, and its answer.
                self.count_wasted(2);
                log::debug!("entry: retrying {attempt}: {reason}");
            }
        }
    }
}
