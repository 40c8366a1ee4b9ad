//! The task of one query. It carries out the scheduler's commands until the query is finished and its last attempt has
//! ended.

mod attempt_in_flight;

use crate::engines::result_rows;
use crate::engines::{
    AttemptResult, AttemptStart, ClientPresence, Engines, ForwardedQuery, Statement,
};
use crate::scheduling::log_millis;
use crate::scheduling::scheduler::{Command, QueryAnswer, Scheduler};
use crate::storage::query_journal::QueryJournal;
use crate::supervision::{catch_panic, Supervisor, Task, TaskPanic};
use crate::system::result_memory::ResultMemory;
use attempt_in_flight::AttemptInFlight;
use bytes::Bytes;
use garnetwall::api::{AttemptEnd, AttemptOutcome, EngineId, FollowUp, QueryId};
use garnetwall_ledger::records::StartedQuery;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::sleep;

/// An admitted query with everything that its attempts need.
pub struct QueryTask {
    /// Receives the ends of attempts and the final answer.
    pub scheduler: Arc<Scheduler>,
    /// The client that sends attempts to engines.
    pub engines: Arc<Engines>,
    /// The query's number, assigned by the scheduler.
    pub query_id: QueryId,
    /// The query as it is sent to engines.
    pub forwarded_query: Arc<ForwardedQuery>,
    /// The scheduler's commands.
    pub commands: UnboundedReceiver<Command>,
    /// The journal that records a non-idempotent query before it is sent.
    pub journal: Arc<QueryJournal>,
    /// The record to be written to the journal before an attempt is sent; `None` for a query that may be sent again.
    pub journal_entry: Option<StartedQuery>,
    /// Flag that tells whether a client waits for the answer.
    pub client_presence: ClientPresence,
    /// The memory budget of the answer.
    pub answer_memory: ResultMemory,
    /// Records a panic of the task.
    pub supervisor: Supervisor,
    /// The statement's part of the memory budget, held until the task ends.
    pub _memory: OwnedSemaphorePermit,
}

/// Attempts of a query so far.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptHistory {
    begun: u32,
    /// The attempt whose end is not reported to the scheduler yet.
    in_flight: Option<ScheduledAttempt>,
}

/// Whether a query still needs an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueryStatus {
    /// The query has not been answered.
    Open,
    /// The query has been answered, or its client has left.
    Finished,
}

/// Identifies an attempt in reports to the scheduler, which chose its engine.
#[derive(Clone, Copy, Debug)]
struct ScheduledAttempt {
    engine: EngineId,
    /// The attempt's number within the query, counted from 0.
    number: u32,
    started_at: Instant,
}

impl ScheduledAttempt {
    fn outcome(
        &self,
        result: &AttemptResult,
        query_status: QueryStatus,
        ended_at: Instant,
    ) -> AttemptOutcome {
        let is_finished = query_status == QueryStatus::Finished;
        AttemptOutcome {
            engine: self.engine,
            attempt: self.number,
            end: result.end,
            latency: (ended_at - self.started_at)
                .saturating_sub(result.memory_wait)
                .as_secs_f64(),
            query_finished: is_finished || result.end == AttemptEnd::Succeeded,
            work: result.work,
            memory: result.memory,
        }
    }
}

/// The result of an attempt and the status of its query at that time.
struct EndedAttempt {
    result: AttemptResult,
    query_status: QueryStatus,
    ended_at: Instant,
}

/// The result of an attempt after its rows were checked. `json_bytes` is the length of the rows as JSON; set if the
/// attempt succeeded and all rows are well-formed.
struct CheckedResult {
    result: AttemptResult,
    json_bytes: Option<usize>,
}

impl QueryTask {
    /// Runs until the query is finished and every attempt has ended. The task may outlive the client's connection. After
    /// a panic the query is answered as failed.
    pub async fn run(mut self) {
        let mut attempts = AttemptHistory::default();
        // Each future that wraps another one by value holds its memory once more.
        let result = catch_panic(Box::pin(self.run_commands(&mut attempts))).await;
        match result {
            Ok(()) => self.supervisor.record_success(Task::Query),
            Err(panic) => self.end_after_panic(attempts, &panic).await,
        }
        self.release(attempts.begun);
    }

    async fn run_commands(&mut self, attempts: &mut AttemptHistory) {
        let mut status = QueryStatus::Open;
        while status == QueryStatus::Open {
            let Some(command) = self.commands.recv().await else {
                return;
            };
            status = match command {
                Command::BeginAttempt {
                    engine,
                    response_deadline,
                    send_deadline,
                } => {
                    let start = AttemptStart {
                        is_retry: attempts.begun > 0,
                        response_deadline,
                        send_deadline,
                        client_presence: self.client_presence.clone(),
                    };
                    self.begin_attempt(attempts, engine, start).await
                }
                Command::Answer(answer) => {
                    self.scheduler
                        .record_final_answer(self.query_id, answer.into());
                    QueryStatus::Finished
                }
                Command::ClientLeft => QueryStatus::Finished,
                // The attempt ended before the command arrived.
                Command::CancelAttempt { .. } => QueryStatus::Open,
            };
        }
    }

    /// Runs the next attempt of the query, and keeps it in `attempts` until its end is reported.
    async fn begin_attempt(
        &mut self,
        attempts: &mut AttemptHistory,
        engine: EngineId,
        start: AttemptStart,
    ) -> QueryStatus {
        let attempt = ScheduledAttempt {
            engine,
            number: attempts.begun,
            started_at: Instant::now(),
        };
        self.supervisor.metrics().attempt_started(start.is_retry);
        attempts.begun += 1;
        attempts.in_flight = Some(attempt);
        let status = self.run_attempt(attempt, start).await;
        attempts.in_flight = None;
        status
    }

    /// Answers the query as failed, and waits until the engine cannot be running its last attempt any more, so that no
    /// query of its ordering key begins before.
    async fn end_after_panic(&self, attempts: AttemptHistory, panic: &TaskPanic) {
        self.supervisor.record_panic(Task::Query, panic);
        let engine = attempts.in_flight.map(|attempt| attempt.engine);
        let query_key = &self.forwarded_query.query_key;
        tracing::error!(
            query_id = self.query_id,
            ?query_key,
            attempts = attempts.begun,
            engine,
            "task of a query panicked; the query is answered as failed"
        );
        self.scheduler.end_as_failed(self.query_id);
        let Some(attempt) = attempts.in_flight else {
            return;
        };
        sleep(self.engines.longest_run_without_task(&self.forwarded_query)).await;
        let result = AttemptResult::from_end(AttemptEnd::Cancelled);
        let outcome = attempt.outcome(&result, QueryStatus::Finished, Instant::now());
        self.scheduler.attempt_ended(self.query_id, outcome, None);
    }

    /// Records the end of the query in the journal and releases the query. By then every attempt is proved to have
    /// ended.
    fn release(self, attempts_begun: u32) {
        if let Some(entry) = self.journal_entry.filter(|_| attempts_begun > 0) {
            self.journal.record_end(entry.query_key);
        }
        self.scheduler.release(self.query_id, attempts_begun);
    }

    /// Runs one attempt until it has ended, which may be after the query was answered. An engine that has left the
    /// endpoint list counts as a failed connection.
    async fn run_attempt(&mut self, attempt: ScheduledAttempt, start: AttemptStart) -> QueryStatus {
        let deadline = start.response_deadline;
        let ended = match self.engines.target(attempt.engine) {
            Some(target) => AttemptInFlight::run(self, attempt, target, start).await,
            None => EndedAttempt {
                result: AttemptResult::from_end(AttemptEnd::ConnectFailed),
                query_status: QueryStatus::Open,
                ended_at: Instant::now(),
            },
        };
        self.attempt_ended(attempt, ended, deadline).await
    }

    /// Reports that the outcome of an attempt is unknown for now, and answers the query if the scheduler decides so.
    fn outcome_unknown(&self, attempt: ScheduledAttempt, end: AttemptEnd) -> QueryStatus {
        self.report_discarded_body();
        let result = AttemptResult::from_end(end);
        let outcome = attempt.outcome(&result, QueryStatus::Open, Instant::now());
        match self.scheduler.outcome_unknown(self.query_id, outcome) {
            FollowUp::Nothing => QueryStatus::Open,
            FollowUp::Answer(answer) => {
                self.scheduler
                    .record_final_answer(self.query_id, answer.into());
                QueryStatus::Finished
            }
        }
    }

    /// Reports the end of an attempt. Answers the query if the attempt succeeded or the scheduler decides so. The answer
    /// is due at `deadline`.
    async fn attempt_ended(
        &mut self,
        attempt: ScheduledAttempt,
        ended: EndedAttempt,
        deadline: Instant,
    ) -> QueryStatus {
        let CheckedResult { result, json_bytes } = self.check_rows(attempt, ended.result);
        let success = match json_bytes.filter(|_| ended.query_status == QueryStatus::Open) {
            Some(bytes) => Some(self.assemble_answer(&result.pages, bytes, deadline).await),
            None => None,
        };
        self.supervisor.metrics().attempt_ended(result.end);
        self.engines.record_attempt_end(attempt.engine, result.end);
        let outcome = attempt.outcome(&result, ended.query_status, ended.ended_at);
        tracing::debug!(
            query_id = self.query_id,
            attempt = attempt.number,
            engine = attempt.engine,
            end = ?result.end,
            latency_ms = log_millis(outcome.latency),
            "attempt ended"
        );
        self.report_discarded_body();
        let follow_up = self
            .scheduler
            .attempt_ended(self.query_id, outcome, result.report);
        let answer = match (success, follow_up) {
            (Some(answer), _) => answer,
            (None, FollowUp::Answer(answer)) => answer.into(),
            (None, FollowUp::Nothing) => return ended.query_status,
        };
        self.scheduler.record_final_answer(self.query_id, answer);
        QueryStatus::Finished
    }

    /// Assembles the answer of a successful attempt, once there is memory for it. The query fails if there is none until
    /// its answer is due, or its client leaves first. It stays open meanwhile, so that the limit on open queries bounds
    /// the pages that wait.
    async fn assemble_answer(
        &mut self,
        pages: &[Bytes],
        json_bytes: usize,
        deadline: Instant,
    ) -> QueryAnswer {
        let reservation = tokio::select! {
            biased;
            reservation = self.answer_memory.reserve(json_bytes) => reservation,
            () = self.scheduler.until_answer_due(deadline) => None,
            () = client_left(&mut self.commands) => None,
        };
        let Some(reservation) = reservation else {
            let query_id = self.query_id;
            tracing::debug!(query_id, json_bytes, "no memory for the answer in time");
            return QueryAnswer::Failed;
        };
        match result_rows::to_json(pages, json_bytes) {
            Ok(json) => QueryAnswer::Succeeded(reservation.hold(json)),
            Err(_) => QueryAnswer::Failed,
        }
    }

    /// Checks the rows of a successful attempt. An attempt with malformed rows counts as a failure of its engine.
    fn check_rows(&self, attempt: ScheduledAttempt, result: AttemptResult) -> CheckedResult {
        if result.end != AttemptEnd::Succeeded {
            return CheckedResult {
                result,
                json_bytes: None,
            };
        }
        match result_rows::json_length(&result.pages) {
            Ok(json_bytes) => CheckedResult {
                result,
                json_bytes: Some(json_bytes),
            },
            Err(error) => {
                tracing::warn!(
                    engine = attempt.engine,
                    %error,
                    "engine sent a malformed result; the attempt counts as failed"
                );
                let failure = AttemptResult {
                    report: result.report,
                    ..AttemptResult::from_end(AttemptEnd::Failed)
                };
                CheckedResult {
                    result: failure,
                    json_bytes: None,
                }
            }
        }
    }

    /// Tells the scheduler if the streamed body of the statement has been discarded, so that it can't be sent again.
    fn report_discarded_body(&self) {
        if matches!(&self.forwarded_query.statement, Statement::Streamed(body) if !body.is_readable_from_start())
        {
            self.scheduler.body_discarded(self.query_id);
        }
    }
}

/// Waits until the scheduler tells that the client has left, or drops the query.
async fn client_left(commands: &mut UnboundedReceiver<Command>) {
    while let Some(command) = commands.recv().await {
        if matches!(command, Command::ClientLeft) {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
