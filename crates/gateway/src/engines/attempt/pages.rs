//! The pages of an answer after the first.

use super::EngineAttempt;
use crate::engines::call::{AttemptResult, Call};
use crate::engines::response::{CallError, Reply, MEMORY, PAGE_NUMBER, WORK_MS};
use crate::engines::result_rows;
use garnetwall::api::AttemptEnd;
use http::StatusCode;

impl EngineAttempt<'_> {
    /// The pages after the first, so that a lost one is still an outcome.
    pub(super) async fn fetch_pages(
        &mut self,
        call: &Call,
        first: Reply,
        pages: usize,
    ) -> AttemptResult {
        let mut result = AttemptResult {
            work: first
                .number(WORK_MS)
                .map(|ms| ms / 1000.0)
                .filter(|v| *v > 0.0),
            memory: first.number(MEMORY).filter(|v| *v > 0.0),
            report: first.report(),
            ..AttemptResult::of(AttemptEnd::Succeeded)
        };
        result.pages.push(first.body);
        let mut schedule = self.poll_schedule();
        for page in 1..pages {
            let mut response = Ok(());
            loop {
                if !self.wait_for_next_poll(&mut schedule, response).await {
                    return AttemptResult {
                        end: AttemptEnd::ConnectionLost,
                        ..result
                    };
                }
                response = match self
                    .call(
                        self.poll_request(call, page),
                        None,
                        self.poll_timeout(),
                        true,
                    )
                    .await
                {
                    Ok(r) if r.status == StatusCode::INTERNAL_SERVER_ERROR => {
                        tracing::debug!(engine = self.target.engine, page, "page lost");
                        return AttemptResult {
                            end: AttemptEnd::Failed,
                            ..result
                        };
                    }
                    Ok(r)
                        if r.number(PAGE_NUMBER) == Some(page as f64)
                            && result_rows::is_complete_page(&r.body) =>
                    {
                        result.pages.push(r.body);
                        break;
                    }
                    Ok(_) => Err(CallError::InvalidResponse),
                    Err(fault) => Err(fault),
                };
            }
        }
        result
    }
}
