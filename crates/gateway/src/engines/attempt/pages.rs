//! The pages of an answer after the first.

use super::EngineAttempt;
use crate::engines::call::{AttemptResult, Call};
use crate::engines::response::{Fault, Reply, MEMORY, THIS_PAGE, WORK};
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
        let mut ended = AttemptResult {
            work: first
                .number(WORK)
                .map(|ms| ms / 1000.0)
                .filter(|v| *v > 0.0),
            memory: first.number(MEMORY).filter(|v| *v > 0.0),
            report: first.report(),
            ..AttemptResult::of(AttemptEnd::Succeeded)
        };
        ended.pages.push(first.body);
        let mut asking = self.polling();
        for page in 1..pages {
            let mut told = Ok(());
            loop {
                if !self.wait_for_next_poll(&mut asking, told).await {
                    return AttemptResult {
                        end: AttemptEnd::ConnectionLost,
                        ..ended
                    };
                }
                told = match self
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
                            ..ended
                        };
                    }
                    Ok(r)
                        if r.number(THIS_PAGE) == Some(page as f64)
                            && result_rows::whole(&r.body) =>
                    {
                        ended.pages.push(r.body);
                        break;
                    }
                    Ok(_) => Err(Fault::Garbled),
                    Err(fault) => Err(fault),
                };
            }
        }
        ended
    }
}
