use super::*;
use std::sync::atomic::AtomicU32;
use tokio::time::timeout;

const WAIT_LIMIT: Duration = Duration::from_secs(5);

fn panic_count(supervisor: &Supervisor, task: Task) -> u64 {
    let page = supervisor.metrics().render(true).unwrap();
    let start = format!("garnetwall_task_panics_total{{task=\"{task:?}\"}} ");
    let count = page.lines().find_map(|line| line.strip_prefix(&start));
    count.map_or(0, |count| count.parse().unwrap())
}

#[tokio::test]
async fn panic_of_a_future_or_call_is_returned_with_its_message() {
    let panic = catch_panic(async { panic!("length {} instead of 56", 4) }).await;
    assert_eq!(
        panic.map(|(): ()| ()).unwrap_err().to_string(),
        "length 4 instead of 56"
    );
    assert_eq!(catch_panic(async { 7 }).await, Ok(7));
    let panic = catch_panic_of_call(|| panic!("a text"));
    assert_eq!(panic.map(|(): ()| ()).unwrap_err().to_string(), "a text");
}

#[tokio::test]
async fn task_that_has_to_run_is_restarted_with_its_state_after_each_panic() {
    let supervisor = Supervisor::default();
    let (finished, runs) = tokio::sync::oneshot::channel();
    let state = (0_u32, Some(finished));
    supervisor.spawn_restarting(Task::Signals, state, |(runs, finished)| {
        Box::pin(async move {
            *runs += 1;
            assert!(*runs > 3, "run {runs} panics");
            let _ = finished.take().map(|finished| finished.send(*runs));
        })
    });
    assert_eq!(timeout(WAIT_LIMIT, runs).await.unwrap(), Ok(4));
    assert_eq!(panic_count(&supervisor, Task::Signals), 3);
    assert_eq!(supervisor.panicking_tasks(), [Task::Signals]);
}

#[tokio::test]
async fn kind_of_task_fails_after_three_panics_in_a_row_and_recovers_with_a_success() {
    let supervisor = Supervisor::default();
    let panics = Arc::new(AtomicU32::new(0));
    let panic_once = || {
        let panics = panics.clone();
        async move {
            panics.fetch_add(1, Ordering::Relaxed);
            panic!("each time")
        }
    };
    for expected in [&[][..], &[], &[Task::Request]] {
        let result: Result<(), _> = supervisor.watch(Task::Request, panic_once()).await;
        assert!(result.is_err());
        assert_eq!(supervisor.panicking_tasks(), expected);
    }
    // A success of another kind of task changes nothing.
    let _ = supervisor.watch(Task::Query, async {}).await;
    assert_eq!(supervisor.panicking_tasks(), [Task::Request]);
    assert_eq!(supervisor.watch(Task::Request, async {}).await, Ok(()));
    assert_eq!(supervisor.panicking_tasks(), []);
    assert_eq!(panic_count(&supervisor, Task::Request), 3);
    assert_eq!(panics.load(Ordering::Relaxed), 3);
}

#[test]
fn panics_that_are_ten_seconds_old_are_forgotten() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let history = FailureHistory::first_panic(start)
        .next_panic(at(4))
        .next_panic(at(8));
    assert!(history.repeats(at(17)));
    assert!(!history.repeats(at(18)));
    assert_eq!(history.next_panic(at(18)).consecutive_panics, 1);
    assert_eq!(history.next_panic(at(17)).consecutive_panics, 4);
}

#[test]
fn restart_pause_doubles_up_to_its_limit() {
    let pauses = [1, 2, 3, 8, 40, u32::MAX].map(|panics| restart_pause(panics).as_millis());
    assert_eq!(pauses, [10, 20, 40, 1000, 1000, 1000]);
}
