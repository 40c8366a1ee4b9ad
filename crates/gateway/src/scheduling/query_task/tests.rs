use super::*;

/// A disk that takes longer than the batch has: nothing is sent after the answer, and the wait ends with it.
#[tokio::test]
async fn a_promise_that_comes_after_the_answer_sends_nothing() {
    let over = [
        (CancellationState::QueryFinished, AttemptEnd::NotNeeded),
        (CancellationState::IfNotStarted, AttemptEnd::NotNeeded),
        (CancellationState::Requested, AttemptEnd::ConnectFailed),
    ];
    for (last, end) in over {
        let (wish, wishes) = watch::channel(CancellationState::NotRequested);
        let waiting = promised(std::future::pending(), wishes.clone());
        wish.send_replace(last);
        assert_eq!(waiting.await, Err(end));
        assert_eq!(
            promised(std::future::ready(true), wishes).await,
            Err(end),
            "both at once"
        );
    }
    let (_wish, wishes) = watch::channel(CancellationState::NotRequested);
    assert_eq!(
        promised(std::future::ready(true), wishes.clone()).await,
        Ok(())
    );
    assert_eq!(
        promised(std::future::ready(false), wishes).await,
        Err(AttemptEnd::NotNeeded),
        "no engine is at fault"
    );
}
