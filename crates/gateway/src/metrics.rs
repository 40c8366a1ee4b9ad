//! Counts events of the gateway, and renders the counters in the text format of Prometheus.

use crate::supervision::Task;
use garnetwall::api::AttemptEnd;
use garnetwall::attempt_guard::ViolatedRule;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// Reason for which the gateway has closed a client connection, or sees it closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ConnectionEnd {
    /// The client closed it.
    ClientClosed,
    /// No complete head of a first request arrived in time.
    Silent,
    /// Evicted before the head of its first request had arrived.
    EvictedUnserved,
    /// Evicted while no request was open.
    Evicted,
    /// The last response announced the close, or the HTTP protocol failed.
    LastResponse,
    /// The gateway shuts down.
    Shutdown,
    /// HTTP processing panicked.
    Panicked,
}

/// Answer to the client of a connection whose HTTP processing panicked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum PanicAnswer {
    /// 500: the query may have run.
    Failed,
    /// 503: nothing of the request was handled.
    Busy,
    /// No answer was due, or a part of it was already written.
    None,
}

/// Reason for which a query is rejected to keep the order of its ordering key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum OrderRejection {
    /// An earlier query may still have been unread when its time was over.
    NotKnownToBeNext,
    /// A query of its key that may have arrived later was admitted before it was read.
    Overtaken,
    /// No turns are granted, since the gateway stops.
    NoTurn,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrderRejectionLabel {
    reason: OrderRejection,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RuleLabel {
    rule: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TaskLabel {
    task: Task,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabel {
    reason: ConnectionEnd,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabel {
    answer: PanicAnswer,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabel {
    end: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct QueryLabel {
    answer: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabel {
    status: u16,
}

/// Number of panics in this process, in all of its threads.
static PANICS: AtomicU64 = AtomicU64::new(0);

/// Counts a panic, in whichever thread it is. For the process's panic hook.
pub fn count_panic() {
    PANICS.fetch_add(1, Ordering::Relaxed);
}

/// The counters of a gateway.
pub struct Metrics {
    registry: Registry,
    panics: Counter,
    task_panics: Family<TaskLabel, Counter>,
    connections_accepted: Counter,
    accept_failures: Counter,
    connections_ended: Family<EndLabel, Counter>,
    responses: Family<StatusLabel, Counter>,
    panic_answers: Family<AnswerLabel, Counter>,
    attempts_started: Counter,
    retries_started: Counter,
    attempts_ended: Family<AttemptLabel, Counter>,
    query_answers: Family<QueryLabel, Counter>,
    requests_closed_unanswered: Counter,
    order_rejections: Family<OrderRejectionLabel, Counter>,
    rule_violations: Family<RuleLabel, Counter>,
    ready: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("garnetwall"),
            panics: Counter::default(),
            task_panics: Family::default(),
            connections_accepted: Counter::default(),
            accept_failures: Counter::default(),
            connections_ended: Family::default(),
            responses: Family::default(),
            panic_answers: Family::default(),
            attempts_started: Counter::default(),
            retries_started: Counter::default(),
            attempts_ended: Family::default(),
            query_answers: Family::default(),
            requests_closed_unanswered: Counter::default(),
            order_rejections: Family::default(),
            rule_violations: Family::default(),
            ready: Gauge::default(),
        };
        metrics.register_panics();
        metrics.register_connections();
        metrics.register_queries();
        metrics
    }
}

impl Metrics {
    fn register_panics(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "panics",
            "Panics in this process, in all of its threads",
            self.panics.clone(),
        );
        registry.register(
            "task_panics",
            "Panics by kind of task",
            self.task_panics.clone(),
        );
        registry.register(
            "panic_answers",
            "Client connections on which HTTP processing panicked, by the answer that was written",
            self.panic_answers.clone(),
        );
        registry.register(
            "ready",
            "1 if the health check answers 200, otherwise 0",
            self.ready.clone(),
        );
    }

    fn register_connections(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "client_connections_accepted",
            "Accepted client connections",
            self.connections_accepted.clone(),
        );
        registry.register(
            "client_accept_failures",
            "Client connections that could not be accepted",
            self.accept_failures.clone(),
        );
        registry.register(
            "client_connections_ended",
            "Ended client connections by reason",
            self.connections_ended.clone(),
        );
        registry.register(
            "responses",
            "Responses to clients by status",
            self.responses.clone(),
        );
        registry.register(
            "requests_closed_unanswered",
            "Client connections that the gateway ended with a request open whose client has not left",
            self.requests_closed_unanswered.clone(),
        );
    }

    fn register_queries(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "attempts_started",
            "Attempts given to engines, retries among them",
            self.attempts_started.clone(),
        );
        registry.register(
            "retries_started",
            "Attempts after the first one of their query",
            self.retries_started.clone(),
        );
        registry.register(
            "attempts_ended",
            "Ended attempts by end",
            self.attempts_ended.clone(),
        );
        registry.register(
            "query_answers",
            "Final answers by kind of queries whose client has not left",
            self.query_answers.clone(),
        );
        registry.register(
            "order_rejections",
            "Queries rejected to keep the order of their ordering key, by reason",
            self.order_rejections.clone(),
        );
        registry.register(
            "rule_violations",
            "Attempts not sent because they would have broken a rule, by rule",
            self.rule_violations.clone(),
        );
    }

    /// Counts a panic of a task.
    pub fn task_panicked(&self, task: Task) {
        self.task_panics.get_or_create(&TaskLabel { task }).inc();
    }

    /// Counts an accepted client connection.
    pub fn connection_accepted(&self) {
        self.connections_accepted.inc();
    }

    /// Counts a client connection that could not be accepted.
    pub fn accept_failed(&self) {
        self.accept_failures.inc();
    }

    /// Counts the end of a client connection.
    pub fn connection_ended(&self, reason: ConnectionEnd) {
        self.connections_ended
            .get_or_create(&EndLabel { reason })
            .inc();
    }

    /// Counts a connection that the gateway ends although an answer is owed on it.
    pub fn closed_unanswered(&self) {
        self.requests_closed_unanswered.inc();
    }

    /// Counts a response of a request handler.
    pub fn response_ready(&self, status: u16) {
        self.responses.get_or_create(&StatusLabel { status }).inc();
    }

    /// Counts how the client of a connection was answered after HTTP processing panicked.
    pub fn answered_after_panic(&self, answer: PanicAnswer) {
        self.panic_answers
            .get_or_create(&AnswerLabel { answer })
            .inc();
    }

    /// Counts an attempt that begins; `is_retry` unless it is the first one of its query.
    pub fn attempt_started(&self, is_retry: bool) {
        self.attempts_started.inc();
        if is_retry {
            self.retries_started.inc();
        }
    }

    /// Counts the end of an attempt.
    pub fn attempt_ended(&self, end: AttemptEnd) {
        let end = attempt_end_name(end);
        self.attempts_ended
            .get_or_create(&AttemptLabel { end })
            .inc();
    }

    /// Counts the final answer of a query by the name of its kind.
    pub fn query_answered(&self, answer: &'static str) {
        self.query_answers
            .get_or_create(&QueryLabel { answer })
            .inc();
    }

    /// Counts a query that is rejected to keep the order of its ordering key.
    pub fn rejected_to_keep_order(&self, reason: OrderRejection) {
        self.order_rejections
            .get_or_create(&OrderRejectionLabel { reason })
            .inc();
    }

    /// Counts an attempt that was not sent because it would have broken a rule.
    pub fn rule_violated(&self, rule: ViolatedRule) {
        let rule = violated_rule_name(rule);
        self.rule_violations
            .get_or_create(&RuleLabel { rule })
            .inc();
    }

    /// Renders all counters in the text format of Prometheus. `is_ready` is the answer of the health check.
    ///
    /// # Errors
    ///
    /// A counter could not be rendered.
    pub fn render(&self, is_ready: bool) -> Result<String, fmt::Error> {
        self.ready.set(i64::from(is_ready));
        let panics = PANICS.load(Ordering::Relaxed);
        self.panics.inner().store(panics, Ordering::Relaxed);
        let mut page = String::new();
        encode(&mut page, &self.registry)?;
        Ok(page)
    }
}

/// The name of the end of an attempt, as it stands in the log.
fn attempt_end_name(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Succeeded => "Succeeded",
        AttemptEnd::Failed => "Failed",
        AttemptEnd::Rejected => "Rejected",
        AttemptEnd::ConnectFailed => "ConnectFailed",
        AttemptEnd::ConnectionLost => "ConnectionLost",
        AttemptEnd::TimedOut => "TimedOut",
        AttemptEnd::Cancelled => "Cancelled",
        AttemptEnd::NotNeeded => "NotNeeded",
        AttemptEnd::NotSent => "NotSent",
    }
}

fn violated_rule_name(rule: ViolatedRule) -> &'static str {
    match rule {
        ViolatedRule::FinalAnswer => "FinalAnswer",
        ViolatedRule::ClientLeft => "ClientLeft",
        ViolatedRule::OneAttemptAtATime => "OneAttemptAtATime",
        ViolatedRule::NoEffectTwice => "NoEffectTwice",
        ViolatedRule::KeyOneAtATime => "KeyOneAtATime",
        ViolatedRule::KeyOrder => "KeyOrder",
    }
}

#[cfg(test)]
mod tests;
