use super::*;

#[tokio::test]
async fn silent_connections_are_evicted_before_idle_ones_and_active_ones_never() {
    let connections = ClientConnections::new(Arc::new(Semaphore::new(3)));
    let (active, idle, silent) = (
        connections.acquire(1).await,
        connections.acquire(2).await,
        connections.acquire(3).await,
    );
    active.request_started();
    idle.request_started();
    idle.response_ready();
    connections.entries().get_mut(&3).unwrap().state_since -= NEW_CONNECTION_GRACE * 2;
    let acquiring = tokio::spawn({
        let connections = connections.clone();
        async move { (connections.acquire(4).await, connections.acquire(5).await) }
    });
    silent.eviction.notified().await;
    drop(silent);
    idle.eviction.notified().await;
    drop(idle);
    let (fourth, fifth) = acquiring.await.unwrap();
    fourth.request_started();
    fifth.request_started();
    let last = tokio::spawn({
        let connections = connections.clone();
        async move { connections.acquire(6).await }
    });
    tokio::task::yield_now().await;
    assert!(
        connections
            .entries()
            .values()
            .all(|entry| entry.eviction_requested_at.is_none()),
        "no active connection is asked to close"
    );
    fourth.response_ready();
    fourth.eviction.notified().await;
    drop(fourth);
    assert!(last.await.unwrap().awaits_first_request());
}
