//! A hollow gateway: the real decision module and the real subset, with neither sockets nor bodies.

use super::change_log::ListState;
use super::clients::{Clients, Query};
use super::engine::AttemptKey;
use super::event::Event;
use super::judge::{FinalAnswer, QueryName, SeenAttempt};
use super::membership::Membership;
use super::module_settings::module_settings;
use super::slip::Slip;
use super::slots::Slots;
use super::surroundings::Surroundings;
use super::time::SimTime;
use garnetwall::api::{
    self, AttemptEnd, AttemptOutcome, Endpoint, EndpointState, FollowUp, LoadReport, NextAction,
    Placement, QueryId,
};
use garnetwall::controller::AdmissionController;
use garnetwall_subset::{Action, Change, EngineKey, SubsetError};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Decisions without time passing after which a gateway is held to spin.
const MOST_DECISIONS: usize = 1_000_000;
/// Rounds of warming and joining in one moment.
const MOST_ROUNDS: usize = 64;
/// One in so many gateways or queries is struck by a slip that strikes some.
const SLIP_GATEWAYS: u32 = 10;
const SLIP_QUERIES: u32 = 100;
/// Seconds past the deadline at which a slip answers.
const SLIP_LATENESS: f64 = 1.0;

#[derive(Clone, Copy)]
struct OpenAttempt {
    number: u32,
    slot: usize,
    engine: usize,
    at: SimTime,
    deadline: SimTime,
    /// By which the engine finds it; `None` if it was not reached.
    done_at: Option<u64>,
}

struct OpenQuery {
    query: Query,
    deadline: SimTime,
    attempts: u32,
    open: Option<OpenAttempt>,
}

/// One gateway; its process may end and start anew.
pub struct Gateway {
    pub number: u32,
    pub zone: usize,
    /// Counts its processes.
    pub life: u32,
    pub up: bool,
    pub cut: bool,
    pub clients: Clients,
    next_query: QueryId,
    process: Option<Process>,
}

/// What a gateway's process holds, and loses when it ends.
struct Process {
    control: AdmissionController,
    membership: Membership,
    /// The list as last read, and the entry of the log up to which it was read.
    list: Rc<ListState>,
    read: usize,
    slots: Slots,
    queries: BTreeMap<QueryId, OpenQuery>,
    deadlines: BTreeSet<(SimTime, QueryId)>,
    wake_at: Option<SimTime>,
}

impl Gateway {
    pub fn new(number: usize, zone: usize, clients: Clients) -> Gateway {
        Gateway {
            number: number as u32,
            zone,
            life: 0,
            up: false,
            cut: false,
            clients,
            next_query: 0,
            process: None,
        }
    }

    // ---- its process ----

    pub fn start(
        &mut self,
        now: SimTime,
        seed: u64,
        around: &mut Surroundings,
    ) -> Result<(), SubsetError> {
        let experiment = Rc::clone(&around.experiment);
        let read = around.log.latest();
        let list = Rc::clone(&around.log.entry(read).list);
        let process = Process {
            control: AdmissionController::new(module_settings(&experiment), seed, now.seconds()),
            membership: Membership::new(&experiment, self.number as usize, self.zone)?,
            list: Rc::clone(&list),
            read,
            slots: Slots::default(),
            queries: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            wake_at: None,
        };
        self.process = Some(process);
        self.life += 1;
        self.up = true;
        around.judge.gateway_started(now, self.number, read);
        self.change_members(now, &list.as_changes(), around);
        if around.slips(Slip::AllConnected) {
            (0..around.engines.len())
                .for_each(|engine| around.judge.connected(now, self.number, engine));
        }
        let arrival = Event::Arrival {
            gateway: self.number,
            life: self.life,
        };
        around.queue.push(self.clients.next_arrival(now), arrival);
        self.pump(now, around);
        Ok(())
    }

    pub fn end(&mut self, now: SimTime, around: &mut Surroundings) {
        let Some(process) = self.process.take() else {
            return;
        };
        self.up = false;
        for (id, query) in &process.queries {
            let Some(open) = query.open else { continue };
            let key = AttemptKey {
                gateway: self.number,
                life: self.life,
                query: *id,
                attempt: open.number,
            };
            if let Some(done_at) = open.done_at {
                around.withdraw(now, key, open.engine, done_at);
            }
        }
        around.judge.gateway_ended(now, self.number);
    }

    // ---- the list ----

    /// Reads the log up to an entry.
    pub fn deliver(&mut self, now: SimTime, sequence: usize, around: &mut Surroundings) {
        let deaf = around.slips(Slip::Deaf) && self.number.is_multiple_of(SLIP_GATEWAYS);
        let Some(process) = self
            .process
            .as_mut()
            .filter(|process| process.read < sequence && !deaf)
        else {
            return;
        };
        let entries = process.read + 1..=sequence;
        process.read = sequence;
        let configuration_before = around.log.entry(entries.start() - 1).configuration;
        let changes: Vec<Change> = entries
            .clone()
            .flat_map(|entry| around.log.entry(entry).changes.clone())
            .collect();
        let restarted: Vec<EngineKey> = entries
            .flat_map(|entry| around.log.entry(entry).restarted.clone())
            .collect();
        process.list = Rc::clone(&around.log.entry(sequence).list);
        if around.log.entry(sequence).configuration != configuration_before {
            process
                .control
                .update_classes(&module_settings(&around.experiment).classes);
        }
        around.judge.delivered(now, self.number, sequence);
        self.change_members(now, &changes, around);
        self.list_again(&restarted);
        let stuck = around.slips(Slip::NeverInForce) && self.number.is_multiple_of(SLIP_GATEWAYS);
        if !stuck {
            around.judge.in_force(now, self.number, sequence);
        }
        self.pump(now, around);
    }

    fn change_members(&mut self, now: SimTime, changes: &[Change], around: &mut Surroundings) {
        let Some(process) = &mut self.process else {
            return;
        };
        let list = Rc::clone(&process.list);
        process
            .membership
            .changed(now.seconds(), &list.catalog, changes);
        self.follow_membership(now, around);
    }

    /// Does what the subset asks for.
    fn follow_membership(&mut self, now: SimTime, around: &mut Surroundings) {
        let Some(process) = &mut self.process else {
            return;
        };
        let list = Rc::clone(&process.list);
        for _ in 0..MOST_ROUNDS {
            let actions = process.membership.poll(now.seconds(), &list.catalog);
            if actions.is_empty() {
                return;
            }
            let mut lines = Vec::new();
            for action in actions {
                lines.extend(process.follow(now, action, self.number, around));
            }
            process.list(&lines);
        }
    }

    /// Tells the module again of members whose process started anew.
    fn list_again(&mut self, restarted: &[EngineKey]) {
        let Some(process) = &mut self.process else {
            return;
        };
        let lines: Vec<Endpoint> = restarted
            .iter()
            .filter_map(|key| process.member_line(*key))
            .collect();
        process.list(&lines);
    }

    // ---- queries ----

    pub fn arrival(&mut self, now: SimTime, around: &mut Surroundings) {
        let event = Event::Arrival {
            gateway: self.number,
            life: self.life,
        };
        around.queue.push(self.clients.next_arrival(now), event);
        let query = self.clients.query(&around.demand);
        let Some(process) = &mut self.process else {
            return;
        };
        let id = self.next_query;
        self.next_query += 1;
        let left = around.experiment.classes[query.class].deadline;
        let name = QueryName {
            gateway: self.number,
            query: id,
        };
        around.judge.query_came(now, name, query.class, query.key);
        let open = OpenQuery {
            query,
            deadline: now.after(left),
            attempts: 0,
            open: None,
        };
        process.queries.insert(id, open);
        let batch = api::Query {
            id,
            class: query.class,
            tenant: 0,
            ordering_key: query.key,
            remaining_time: left,
            estimated_work: None,
            estimated_memory: None,
            data_set: 0,
            endpoint_subset: None,
        };
        process.control.admit(now.seconds(), batch);
        self.pump(now, around);
    }

    /// Whether the wake-up at this time is still wanted.
    pub fn wakes(&mut self, now: SimTime) -> bool {
        let Some(process) = self
            .process
            .as_mut()
            .filter(|process| process.wake_at == Some(now))
        else {
            return false;
        };
        process.wake_at = None;
        true
    }

    /// An engine or the network ended an attempt.
    pub fn attempt_ended(
        &mut self,
        now: SimTime,
        key: AttemptKey,
        end: AttemptEnd,
        around: &mut Surroundings,
    ) {
        if self.life != key.life {
            return;
        }
        let lost = around.slips(Slip::AnswersLost)
            && key.query.is_multiple_of(2)
            && end == AttemptEnd::Succeeded;
        let end = if lost { AttemptEnd::Failed } else { end };
        self.attempt_over(now, key.query, key.attempt, end, around);
        self.pump(now, around);
    }

    /// Asks the module until it has nothing more to do now.
    pub fn pump(&mut self, now: SimTime, around: &mut Surroundings) {
        self.time_out(now, around);
        if self.membership_due(now) {
            self.follow_membership(now, around);
        }
        for _ in 0..MOST_DECISIONS {
            let Some(process) = &mut self.process else {
                return;
            };
            match process.control.next_action(now.seconds()) {
                NextAction::Wait(seconds) => {
                    self.schedule_wake(now, seconds, around);
                    return;
                }
                NextAction::Subscribe => {}
                NextAction::HealthCheck(slot) => process.probe(now, slot, around),
                NextAction::Cancel { query: id, attempt } => {
                    self.attempt_over(now, id, attempt, AttemptEnd::Cancelled, around)
                }
                NextAction::Place(id) => self.place(now, id, around),
            }
        }
        tracing::error!(
            gateway = self.number,
            "the module asked for {MOST_DECISIONS} decisions at once"
        );
    }

    fn membership_due(&self, now: SimTime) -> bool {
        let wake = self
            .process
            .as_ref()
            .and_then(|process| process.membership.wake());
        wake.is_some_and(|at| SimTime::from_seconds(at) <= now)
    }

    fn time_out(&mut self, now: SimTime, around: &mut Surroundings) {
        while let Some((at, id)) = self
            .process
            .as_ref()
            .and_then(|process| process.deadlines.first().copied())
        {
            if at > now {
                return;
            }
            let number = self
                .process
                .as_ref()
                .and_then(|process| process.open_attempt(id));
            match number {
                Some(number) => self.attempt_over(now, id, number, AttemptEnd::TimedOut, around),
                None => drop(
                    self.process
                        .as_mut()
                        .map(|process| process.deadlines.remove(&(at, id))),
                ),
            }
        }
    }

    fn schedule_wake(&mut self, now: SimTime, seconds: f64, around: &mut Surroundings) {
        let Some(process) = &mut self.process else {
            return;
        };
        let mut next = now.after(seconds);
        if let Some((deadline, _)) = process.deadlines.first() {
            next = next.min(*deadline);
        }
        if let Some(at) = process.membership.wake() {
            next = next.min(SimTime::from_seconds(at));
        }
        let next = next.max(now.after(0.0));
        if process.wake_at.is_none_or(|at| next < at) {
            process.wake_at = Some(next);
            around.queue.push(
                next,
                Event::Wake {
                    gateway: self.number,
                    life: self.life,
                },
            );
        }
    }

    fn place(&mut self, now: SimTime, id: QueryId, around: &mut Surroundings) {
        let Some(process) = &mut self.process else {
            return;
        };
        match process.control.place(now.seconds(), id) {
            Placement::Wait => {}
            Placement::Answer(answer) => self.answer(now, id, answer, around),
            Placement::Attempt {
                engine,
                response_timeout: time_out,
                ..
            } => self.send(now, id, engine, time_out, around),
        }
    }

    fn send(
        &mut self,
        now: SimTime,
        id: QueryId,
        slot: usize,
        time_out: f64,
        around: &mut Surroundings,
    ) {
        let Some(process) = &mut self.process else {
            return;
        };
        let (Some(member), Some(query)) =
            (process.slots.get_mut(slot), process.queries.get_mut(&id))
        else {
            tracing::error!(
                gateway = self.number,
                query = id,
                slot,
                "no such member or query"
            );
            return;
        };
        let key = AttemptKey {
            gateway: self.number,
            life: self.life,
            query: id,
            attempt: query.attempts,
        };
        let attempt = SeenAttempt {
            name: QueryName {
                gateway: self.number,
                query: id,
            },
            class: query.query.class,
            key: query.query.key,
            engine: member.engine,
            work: query.query.work,
        };
        let deadline = now.after(time_out);
        member.open += 1;
        query.attempts += 1;
        query.open = Some(OpenAttempt {
            number: key.attempt,
            slot,
            engine: member.engine,
            at: now,
            deadline,
            done_at: None,
        });
        process.deadlines.insert((deadline, id));
        let done_at = around.send(now, key, attempt);
        if let Some(open) = query.open.as_mut() {
            open.done_at = done_at;
        }
    }

    /// Takes in the end of an attempt, whoever ended it.
    fn attempt_over(
        &mut self,
        now: SimTime,
        id: QueryId,
        attempt: u32,
        end: AttemptEnd,
        around: &mut Surroundings,
    ) {
        let Some(process) = &mut self.process else {
            return;
        };
        let Some(query) = process.queries.get_mut(&id) else {
            return;
        };
        let Some(open) = query.open.take_if(|open| open.number == attempt) else {
            return;
        };
        let (key, work) = (query.query.key, query.query.work);
        process.deadlines.remove(&(open.deadline, id));
        let name = QueryName {
            gateway: self.number,
            query: id,
        };
        let attempt_key = AttemptKey {
            gateway: self.number,
            life: self.life,
            query: id,
            attempt,
        };
        if let Some(done_at) = open.done_at {
            around.withdraw(now, attempt_key, open.engine, done_at);
            around.judge.attempt_ended(name, key);
        }
        if end == AttemptEnd::Succeeded {
            process.report(now, &open, around);
        }
        let outcome = AttemptOutcome {
            engine: open.slot,
            attempt,
            end,
            latency: now.since(open.at),
            query_finished: end == AttemptEnd::Succeeded,
            work: (end == AttemptEnd::Succeeded).then_some(work),
            memory: None,
        };
        let next = process.control.attempt_ended(now.seconds(), id, outcome);
        process.let_go(now, &open, end, self.number, around);
        match next {
            FollowUp::Answer(answer) => self.answer(now, id, answer, around),
            FollowUp::Nothing if end == AttemptEnd::Succeeded => {
                self.finish(now, id, FinalAnswer::Succeeded, around)
            }
            FollowUp::Nothing => {}
        }
    }

    fn answer(
        &mut self,
        now: SimTime,
        id: QueryId,
        answer: api::FinalAnswer,
        around: &mut Surroundings,
    ) {
        let answer = match answer {
            api::FinalAnswer::Rejected { .. } => FinalAnswer::Rejected,
            api::FinalAnswer::Failed => FinalAnswer::Failed,
        };
        self.finish(now, id, answer, around);
    }

    fn finish(
        &mut self,
        now: SimTime,
        id: QueryId,
        answer: FinalAnswer,
        around: &mut Surroundings,
    ) {
        let Some(process) = &mut self.process else {
            return;
        };
        let Some(query) = process.queries.remove(&id) else {
            return;
        };
        let name = QueryName {
            gateway: self.number,
            query: id,
        };
        let struck = id.is_multiple_of(SLIP_QUERIES);
        let late = struck && around.slips(Slip::AnswerLate);
        let at = if late {
            query.deadline.after(SLIP_LATENESS)
        } else {
            now
        };
        around.judge.answered(at, name, query.query.key, answer);
        if struck && around.slips(Slip::AnswerTwice) {
            around.judge.answered(now, name, query.query.key, answer);
        }
        if struck && around.slips(Slip::SendAfterAnswer) {
            self.send_once_more(now, name, &query, around);
        }
    }

    /// A slip: one more attempt after the answer, which nobody waits for.
    fn send_once_more(
        &mut self,
        now: SimTime,
        name: QueryName,
        query: &OpenQuery,
        around: &mut Surroundings,
    ) {
        let Some(engine) = self
            .process
            .as_ref()
            .and_then(|process| process.slots.first_engine())
        else {
            return;
        };
        let key = AttemptKey {
            gateway: self.number,
            life: self.life,
            query: name.query,
            attempt: query.attempts,
        };
        let Query { class, work, .. } = query.query;
        around.send(
            now,
            key,
            SeenAttempt {
                name,
                class,
                key: None,
                engine,
                work,
            },
        );
    }
}

impl Process {
    fn open_attempt(&self, id: QueryId) -> Option<u32> {
        self.queries.get(&id)?.open.map(|open| open.number)
    }

    fn list(&mut self, lines: &[Endpoint]) {
        if !lines.is_empty() {
            self.control.update_endpoints(lines, false);
        }
    }

    /// The line by which the module knows a member.
    fn member_line(&mut self, key: EngineKey) -> Option<Endpoint> {
        let facts = self.list.catalog.facts(key)?;
        let (slot, member) = self.slots.joined(key)?;
        let line = Endpoint {
            engine: slot,
            zone: facts.zone,
            kind: facts.kind as usize,
            cell: facts.cell,
            started_at: self.list.started[member.engine].map(SimTime::seconds),
            state: EndpointState::Ready,
            gateways: Some(member.holders),
        };
        member.line = Some(line);
        Some(line)
    }

    /// Does one thing that the subset asks for; returns the line to tell the module.
    fn follow(
        &mut self,
        now: SimTime,
        action: Action,
        gateway: u32,
        around: &mut Surroundings,
    ) -> Option<Endpoint> {
        match action {
            Action::Warm(key) => {
                let engine = self.list.engine(key)?;
                let reached = around.engines[engine].reachable();
                if reached && !join_skipped(now, engine, around) {
                    around.judge.connected(now, gateway, engine);
                }
                self.membership.warmed(now.seconds(), key, reached);
                None
            }
            Action::Join {
                engine: key,
                holders,
            } => {
                let engine = self.list.engine(key)?;
                if join_skipped(now, engine, around) {
                    return None;
                }
                if around.engines[engine].reachable() {
                    around.judge.connected(now, gateway, engine);
                }
                self.slots.join(key, engine, holders);
                self.member_line(key)
            }
            Action::Update {
                engine: key,
                holders,
            } => {
                self.slots.update(key, holders);
                self.member_line(key)
            }
            Action::Leave(key) if around.slips(Slip::SendToDraining) => {
                tracing::debug!(engine = key.0, "a slip keeps the engine");
                None
            }
            Action::Leave(key) => {
                let left = self.slots.leave(key)?;
                if left.freed {
                    around.judge.disconnected(gateway, left.engine);
                }
                if left.freed {
                    return Some(gone_line(left.slot));
                }
                left.line.map(|line| Endpoint {
                    state: EndpointState::Draining,
                    ..line
                })
            }
        }
    }

    fn report(&mut self, now: SimTime, open: &OpenAttempt, around: &Surroundings) {
        let utilisation = around.engines[open.engine].utilisation(&around.experiment.cold, now);
        let report = LoadReport {
            cpu_utilisation: Some(utilisation),
            ..LoadReport::default()
        };
        self.control.load_reported(now.seconds(), open.slot, report);
    }

    fn probe(&mut self, now: SimTime, slot: usize, around: &Surroundings) {
        let reached = self
            .slots
            .get(slot)
            .is_none_or(|member| around.engines[member.engine].reachable());
        let end = if reached {
            AttemptEnd::Succeeded
        } else {
            AttemptEnd::ConnectFailed
        };
        self.control.health_check_ended(now.seconds(), slot, end);
    }

    /// An attempt is over: the subset hears how it went, and a member that left may be forgotten.
    fn let_go(
        &mut self,
        now: SimTime,
        open: &OpenAttempt,
        end: AttemptEnd,
        gateway: u32,
        around: &mut Surroundings,
    ) {
        let Some(let_go) = self.slots.attempt_over(open.slot) else {
            return;
        };
        let failed = matches!(
            end,
            AttemptEnd::ConnectFailed | AttemptEnd::ConnectionLost | AttemptEnd::TimedOut
        );
        if failed || end == AttemptEnd::Succeeded {
            self.membership.attempted(now.seconds(), let_go.key, failed);
        }
        if let_go.freed {
            self.control
                .update_endpoints(&[gone_line(open.slot)], false);
            around.judge.disconnected(gateway, open.engine);
        }
    }
}

/// Nothing is known at this index. It tells of no start, so that the module forgets what it knew when the index is used
/// again.
fn gone_line(slot: usize) -> Endpoint {
    let condition = EndpointState::Removed;
    Endpoint {
        engine: slot,
        zone: 0,
        kind: 0,
        cell: 0,
        started_at: None,
        state: condition,
        gateways: None,
    }
}

fn join_skipped(now: SimTime, engine: usize, around: &Surroundings) -> bool {
    let settled = now.seconds() >= around.experiment.settle;
    (around.slips(Slip::HalfJoined) && engine % 2 == 1) || (around.slips(Slip::NoRefill) && settled)
}
