//! Fetches the pages of a result after the first.

use super::polling::NextPoll;
use super::EngineSession;
use crate::engines::messages::{AttemptResult, ForwardedQuery};
use crate::engines::protocol::response_header;
use crate::engines::response::{CallError, Reply};
use crate::engines::result_rows;
use bytes::Bytes;
use garnetwall::api::AttemptEnd;
use garnetwall_ledger::PollSchedule;
use http::StatusCode;

impl EngineSession<'_> {
    /// Fetches all pages after the first. If a page can't be fetched, the result holds the pages fetched so far, and
    /// its `end` tells the cause.
    pub(super) async fn fetch_pages(
        &mut self,
        query: &ForwardedQuery,
        first_page: Reply,
        page_count: usize,
    ) -> AttemptResult {
        let mut result = first_page.into_result();
        let mut schedule = self.poll_schedule();
        for page in 1..page_count {
            match self.fetch_page(query, page, &mut schedule).await {
                Ok(bytes) => result.pages.push(bytes),
                Err(end) => return AttemptResult { end, ..result },
            }
        }
        result
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
    reply.number(response_header::PAGE_NUMBER) == Some(page as f64)
        && result_rows::is_complete_page(&reply.body)
}
