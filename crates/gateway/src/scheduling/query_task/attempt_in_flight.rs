//! An attempt in flight. Its exchange with the engine runs concurrently with its response deadline, its events and the
//! scheduler's commands.

use super::{EndedAttempt, QueryStatus, QueryTask, ScheduledAttempt};
use crate::engines::{AttemptEvents, AttemptResult, AttemptStart, CancellationState, EngineTarget};
use crate::scheduling::scheduler::Command;
use crate::storage::query_journal::SendPermission;
use garnetwall::api::{AttemptEnd, Progress};
use std::future::{ready, Future};
use std::time::Instant;
use tokio::sync::watch;

/// The state of an attempt's response deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseDeadline {
    /// The deadline has not passed.
    Pending,
    /// The deadline has passed and the exchange is being cancelled. The future of the exchange is polled once more
    /// before the outcome counts as unknown, because that poll ends an attempt that has not started.
    Passed,
    /// The deadline has passed, and the scheduler has been told that the outcome is unknown.
    Reported,
}

/// An attempt in flight, with its cancellation state and the events that it has reported.
pub(super) struct AttemptInFlight<'a> {
    task: &'a mut QueryTask,
    attempt: ScheduledAttempt,
    cancellation: watch::Sender<CancellationState>,
    unknown_outcome: watch::Receiver<Option<AttemptEnd>>,
    progress: watch::Receiver<Option<Progress>>,
    deadline: ResponseDeadline,
    query_status: QueryStatus,
}

impl<'a> AttemptInFlight<'a> {
    /// Runs an attempt until it has ended.
    pub(super) async fn run(
        task: &'a mut QueryTask,
        attempt: ScheduledAttempt,
        target: EngineTarget,
        start: AttemptStart,
    ) -> EndedAttempt {
        let (cancellation, cancellation_requests) = watch::channel(CancellationState::NotRequested);
        let (unknown_outcome_events, unknown_outcome) = watch::channel(None);
        let (progress_events, progress) = watch::channel(None);
        let events = AttemptEvents {
            unknown_outcome: unknown_outcome_events,
            progress: progress_events,
        };
        let scheduler = task.scheduler.clone();
        let response_deadline = start.response_deadline;
        let deadline = async move { scheduler.until_answer_due(response_deadline).await };
        let exchange = exchange(task, attempt, target, start, cancellation_requests, events);
        let in_flight = AttemptInFlight {
            task,
            attempt,
            cancellation,
            unknown_outcome,
            progress,
            deadline: ResponseDeadline::Pending,
            query_status: QueryStatus::Open,
        };
        in_flight.run_until_ended(exchange, deadline).await
    }

    async fn run_until_ended(
        mut self,
        exchange: impl Future<Output = AttemptResult>,
        deadline: impl Future<Output = ()>,
    ) -> EndedAttempt {
        tokio::pin!(exchange, deadline);
        loop {
            tokio::select! {
                biased;
                result = &mut exchange => return self.into_ended_attempt(result),
                () = &mut deadline, if self.deadline == ResponseDeadline::Pending => self.deadline_passed(),
                // If the attempt had not started, the cancelled exchange has ended by now with a known outcome, and
                // this branch is not reached.
                () = ready(()), if self.deadline == ResponseDeadline::Passed => self.report_timeout(),
                Ok(()) = self.unknown_outcome.changed() => self.outcome_unknown(),
                Ok(()) = self.progress.changed() => self.progressed(),
                Some(command) = self.task.commands.recv() => self.command_received(command),
            }
        }
    }

    fn into_ended_attempt(self, result: AttemptResult) -> EndedAttempt {
        let has_timed_out =
            self.deadline != ResponseDeadline::Pending && result.end != AttemptEnd::NotNeeded;
        let end = match has_timed_out {
            true => AttemptEnd::TimedOut,
            false => result.end,
        };
        EndedAttempt {
            result: AttemptResult { end, ..result },
            query_status: self.query_status,
            ended_at: Instant::now(),
        }
    }

    /// Cancels the attempt, which may still run at the engine, because its response deadline has passed or a shutdown
    /// makes its answer due.
    fn deadline_passed(&mut self) {
        self.deadline = ResponseDeadline::Passed;
        self.cancellation
            .send_replace(CancellationState::QueryFinished);
    }

    fn report_timeout(&mut self) {
        self.deadline = ResponseDeadline::Reported;
        self.report_unknown_outcome(AttemptEnd::TimedOut);
    }

    fn outcome_unknown(&mut self) {
        let end = *self.unknown_outcome.borrow_and_update();
        if let Some(end) = end {
            self.report_unknown_outcome(end);
        }
    }

    fn report_unknown_outcome(&mut self, end: AttemptEnd) {
        if self.task.outcome_unknown(self.attempt, end) == QueryStatus::Finished {
            self.query_status = QueryStatus::Finished;
        }
    }

    fn progressed(&mut self) {
        let progress = *self.progress.borrow_and_update();
        if let Some(progress) = progress {
            let task = &self.task;
            task.scheduler
                .attempt_progressed(task.query_id, self.attempt.number, progress);
        }
    }

    fn command_received(&mut self, command: Command) {
        match command {
            Command::ClientLeft => self.client_left(),
            Command::CancelAttempt { attempt } if attempt == self.attempt.number => self.cancel(),
            // A query has at most one attempt in flight, and the scheduler sends no answer until it has ended.
            Command::CancelAttempt { .. } | Command::BeginAttempt { .. } | Command::Answer(_) => {}
        }
    }

    fn client_left(&mut self) {
        self.query_status = QueryStatus::Finished;
        self.request_cancellation(CancellationState::UnlessSent, |state| {
            state == CancellationState::NotRequested
        });
    }

    fn cancel(&mut self) {
        let requested = match self.query_status {
            QueryStatus::Open => CancellationState::Requested,
            QueryStatus::Finished => CancellationState::QueryFinished,
        };
        self.request_cancellation(requested, |state| {
            matches!(
                state,
                CancellationState::NotRequested | CancellationState::UnlessSent
            )
        });
    }

    /// Requests a cancellation, unless one that goes at least as far has already been requested.
    fn request_cancellation(
        &self,
        requested: CancellationState,
        may_replace: impl Fn(CancellationState) -> bool,
    ) {
        self.cancellation.send_if_modified(|state| {
            let is_replaced = may_replace(*state);
            if is_replaced {
                *state = requested;
            }
            is_replaced
        });
    }
}

/// Runs the exchange with the engine. A non-idempotent query is recorded in the journal first.
fn exchange(
    task: &QueryTask,
    attempt: ScheduledAttempt,
    target: EngineTarget,
    start: AttemptStart,
    cancellation: watch::Receiver<CancellationState>,
    events: AttemptEvents,
) -> impl Future<Output = AttemptResult> {
    let query_id = task.query_id;
    let journal = task.journal.clone();
    let journal_entry = task.journal_entry;
    let engines = task.engines.clone();
    let forwarded_query = task.forwarded_query.clone();
    async move {
        if let Some(entry) = journal_entry {
            let record = journal.record_before_send(entry);
            if let Err(end) = wait_for_send_permission(record, cancellation.clone()).await {
                return AttemptResult::from_end(end);
            }
        }
        tracing::debug!(
            query_id,
            attempt = attempt.number,
            engine = attempt.engine,
            "attempt started"
        );
        engines
            .run_attempt(target, &forwarded_query, start, cancellation, events)
            .await
    }
}

/// Waits until the journal permits sending the attempt, or until the attempt is cancelled, since the disk may take
/// longer than the query's deadline allows.
///
/// # Errors
///
/// The end of the attempt if it must not be sent.
async fn wait_for_send_permission(
    record: impl Future<Output = SendPermission>,
    mut cancellation: watch::Receiver<CancellationState>,
) -> Result<(), AttemptEnd> {
    let cancelled = cancellation.wait_for(|state| *state != CancellationState::NotRequested);
    tokio::select! {
        biased;
        // Waiting fails only if the sender is dropped, and the sender's owner awaits this future.
        state = cancelled => match state.map(|state| *state) {
            Ok(CancellationState::Requested) => Err(AttemptEnd::ConnectFailed),
            _ => Err(AttemptEnd::NotNeeded),
        },
        // The engine is not at fault if the journal write fails, since nothing was sent.
        permission = record => match permission {
            SendPermission::Granted => Ok(()),
            SendPermission::Denied => Err(AttemptEnd::NotNeeded),
        },
    }
}

#[cfg(test)]
mod tests;
