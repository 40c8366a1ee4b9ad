use super::*;

/// A journal write that takes longer than the query: the cancellation ends the wait, and nothing is sent afterwards.
#[tokio::test]
async fn an_attempt_cancelled_before_its_journal_write_sends_nothing() {
    let ends = [
        (CancellationState::QueryFinished, AttemptEnd::NotNeeded),
        (CancellationState::UnlessSent, AttemptEnd::NotNeeded),
        (CancellationState::Requested, AttemptEnd::ConnectFailed),
    ];
    for (last, end) in ends {
        let (cancellation, requests) = watch::channel(CancellationState::NotRequested);
        let waiting = wait_for_send_permission(std::future::pending(), requests.clone());
        cancellation.send_replace(last);
        assert_eq!(waiting.await, Err(end));
        assert_eq!(
            wait_for_send_permission(std::future::ready(SendPermission::Granted), requests).await,
            Err(end),
            "both at once"
        );
    }
    let (_cancellation, requests) = watch::channel(CancellationState::NotRequested);
    assert_eq!(
        wait_for_send_permission(
            std::future::ready(SendPermission::Granted),
            requests.clone()
        )
        .await,
        Ok(())
    );
    assert_eq!(
        wait_for_send_permission(std::future::ready(SendPermission::Denied), requests).await,
        Err(AttemptEnd::NotNeeded),
        "no engine is at fault"
    );
}
