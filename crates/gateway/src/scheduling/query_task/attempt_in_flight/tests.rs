use super::*;

/// A journal write that takes longer than the query: the cancellation ends the wait, and nothing is sent afterwards.
#[tokio::test]
async fn attempt_is_sent_only_if_the_journal_permits_it_and_it_is_not_cancelled() {
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
            "permission granted and cancellation requested together"
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
        "a failed journal write is not counted against the engine"
    );
}
