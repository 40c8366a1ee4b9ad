//! Fetches the pages of a result after the first.

use super::polling::NextPoll;
use super::EngineSession;
use crate::engines::messages::{AttemptResult, CancellationState, ForwardedQuery};
use crate::engines::protocol::response_header;
use crate::engines::response::{CallError, Reply};
use crate::engines::result_rows;
use crate::system::result_memory::ResultReservation;
use bytes::Bytes;
use garnetwall::api::AttemptEnd;
use garnetwall_ledger::PollSchedule;
use http::StatusCode;
use std::time::Instant;
use tokio::sync::watch;

/// Number of pages of one result that are fetched again because their length had cut them.
const MAX_CUT_PAGES: usize = result_rows::MAX_PAGES;

/// The response that reports the success of an attempt.
pub(super) struct FirstPage {
    /// The response, whose body is the first page.
    pub(super) reply: Reply,
    /// Number of pages of the result, including the first.
    pub(super) page_count: usize,
}

impl EngineSession<'_> {
    /// Fetches all pages after the first, and again each page of which a call that followed showed that its length had
    /// cut it. If a page can't be fetched, `end` of the result tells the cause, and its pages are not complete.
    ///
    /// Waits until there is memory for the pages. The attempt counts as cancelled if its result is not wanted any more
    /// before.
    pub(super) async fn fetch_pages(
        &mut self,
        query: &ForwardedQuery,
        first_page: FirstPage,
        cancellation: &mut watch::Receiver<CancellationState>,
    ) -> AttemptResult {
        let FirstPage { reply, page_count } = first_page;
        let mut result = reply.into_result();
        if page_count > 1 {
            let wait_began = Instant::now();
            result.page_memory = self.reserve_pages(page_count, cancellation).await;
            result.memory_wait = wait_began.elapsed();
            if result.page_memory.is_none() {
                let end = AttemptEnd::Cancelled;
                return AttemptResult { end, ..result };
            }
        }
        result.pages.resize(page_count.max(1), Bytes::new());
        let mut schedule = self.poll_schedule();
        let mut last_page = 0;
        // The pages still to be fetched, the next one last.
        let mut missing: Vec<usize> = (1..page_count).rev().collect();
        let mut cut_pages = 0;
        while let Some(page) = missing.pop() {
            match self.fetch_page(query, page, &mut schedule).await {
                Ok(bytes) => result.pages[page] = bytes,
                Err(end) => return AttemptResult { end, ..result },
            }
            if std::mem::take(&mut self.last_reply_was_cut) {
                missing.push(last_page);
                cut_pages += 1;
            }
            if cut_pages > MAX_CUT_PAGES {
                let end = AttemptEnd::ConnectionLost;
                return AttemptResult { end, ..result };
            }
            last_page = page;
        }
        result
    }

    /// Reserves memory for a result. Returns `None` if the result is not wanted any more before there is enough.
    async fn reserve_pages(
        &self,
        page_count: usize,
        cancellation: &mut watch::Receiver<CancellationState>,
    ) -> Option<ResultReservation> {
        let longest = result_rows::MAX_RESULT_BYTES.min(page_count * result_rows::MAX_PAGE_BYTES);
        tokio::select! {
            biased;
            reservation = self.engines.page_memory.reserve(longest) => reservation,
            _ = cancellation.wait_for(|state| !state.allows_polling()) => None,
        }
    }

    /// Fetches one page, with as many calls as the schedule allows.
    ///
    /// # Errors
    ///
    /// The end of the attempt if the page can't be fetched: [`AttemptEnd::Failed`] if the engine has lost it, otherwise
    /// [`AttemptEnd::ConnectionLost`].
    async fn fetch_page(
        &mut self,
        query: &ForwardedQuery,
        page: usize,
        schedule: &mut PollSchedule,
    ) -> Result<Bytes, AttemptEnd> {
        let mut previous = Ok(());
        while self.wait_for_next_poll(schedule, previous).await == NextPoll::Due {
            let call = self.poll_call(query, page);
            let time_limit = self.poll_timeout();
            previous = match self.call(call, time_limit).await {
                Ok(reply) if reply.status == StatusCode::INTERNAL_SERVER_ERROR => {
                    let engine = self.target.engine;
                    tracing::debug!(
                        engine,
                        page,
                        "engine has lost a result page; the attempt failed"
                    );
                    return Err(AttemptEnd::Failed);
                }
                Ok(reply) if holds_page(&reply, page) => return Ok(reply.body),
                Ok(_) => Err(CallError::InvalidResponse),
                Err(error) => Err(error),
            };
        }
        Err(AttemptEnd::ConnectionLost)
    }
}

fn holds_page(reply: &Reply, page: usize) -> bool {
    let is_requested = match page {
        0 => reply.page_count().is_some(),
        _ => reply.number(response_header::PAGE_NUMBER) == Some(page as f64),
    };
    is_requested && reply.holds_whole_page()
}
