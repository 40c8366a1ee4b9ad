//! The in-memory state of a gateway's process, which is lost when the process ends.

use crate::fleet::change_log::ListState;
use crate::fleet::clients::Query;
use crate::fleet::environment::Environment;
use crate::fleet::membership::Membership;
use crate::fleet::module_settings::module_settings;
use crate::fleet::slots::Slots;
use crate::fleet::time::SimTime;
use garnetwall::api::{AttemptEnd, LoadReport, QueryId};
use garnetwall::controller::AdmissionController;
use garnetwall_subset::SubsetError;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenAttempt {
    pub number: u32,
    pub slot: usize,
    pub engine: usize,
    pub started_at: SimTime,
    /// When the response timeout expires.
    pub deadline: SimTime,
    /// The engine's progress at which the attempt is done; `None` if the engine was not reached.
    pub done_at: Option<u64>,
}

/// A query without a final answer.
pub(super) struct OpenQuery {
    pub query: Query,
    pub deadline: SimTime,
    /// Number of attempts sent so far.
    pub attempts: u32,
    /// The attempt in flight, if any.
    pub open: Option<OpenAttempt>,
}

/// A running process of a gateway.
pub(super) struct Process {
    pub controller: AdmissionController,
    pub membership: Membership,
    /// The endpoint list as of the log entry `read_up_to`.
    pub list: Rc<ListState>,
    /// Number of the last change log entry that was read.
    pub read_up_to: usize,
    pub slots: Slots,
    pub queries: BTreeMap<QueryId, OpenQuery>,
    /// Response timeouts of the attempts in flight, earliest first.
    pub deadlines: BTreeSet<(SimTime, QueryId)>,
    /// When the next wake-up is scheduled.
    pub wake_at: Option<SimTime>,
}

impl Process {
    pub fn start(
        now: SimTime,
        gateway: u32,
        zone: usize,
        seed: u64,
        environment: &Environment,
    ) -> Result<Process, SubsetError> {
        let experiment = &environment.experiment;
        let read_up_to = environment.log.latest();
        Ok(Process {
            controller: AdmissionController::new(module_settings(experiment), seed, now.seconds()),
            membership: Membership::new(experiment, gateway as usize, zone)?,
            list: Rc::clone(&environment.log.entry(read_up_to).list),
            read_up_to,
            slots: Slots::default(),
            queries: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            wake_at: None,
        })
    }

    /// Returns the number of the query's attempt in flight, if there is one.
    pub fn open_attempt(&self, id: QueryId) -> Option<u32> {
        self.queries.get(&id)?.open.map(|open| open.number)
    }

    /// Reports the engine's current utilisation to the decision module, as engines do with each answer.
    pub fn report_load(&mut self, now: SimTime, open: &OpenAttempt, environment: &Environment) {
        let engine = &environment.engines[open.engine];
        let report = LoadReport {
            cpu_utilisation: Some(engine.utilisation(&environment.experiment.cold, now)),
            ..LoadReport::default()
        };
        self.controller
            .load_reported(now.seconds(), open.slot, report);
    }

    pub fn check_health(&mut self, now: SimTime, slot: usize, environment: &Environment) {
        let reached = self
            .slots
            .get(slot)
            .is_none_or(|member| environment.engines[member.engine].reachable());
        let end = if reached {
            AttemptEnd::Succeeded
        } else {
            AttemptEnd::ConnectFailed
        };
        self.controller.health_check_ended(now.seconds(), slot, end);
    }
}
