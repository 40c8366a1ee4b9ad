use super::*;
use crate::supervision::Task;
use garnetwall_settings::Names;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::timeout;

/// Serves the events 1 to 3 to each connection, from the one after its last, and keeps the connection open.
fn serve_three_events() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let lines = BufReader::new(stream.try_clone().unwrap()).lines();
            let head = lines
                .map_while(Result::ok)
                .take_while(|line| !line.is_empty());
            let last_event = head
                .filter_map(|line| line.strip_prefix("last-event-id: ")?.parse().ok())
                .next()
                .unwrap_or(0);
            let mut text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n".to_owned();
            for number in last_event + 1..=3 {
                let full = number == 1;
                let event = format!(
                    r#"{{"seq":{number},"fleet":{{"version":{number},"full":{full},"servers":[]}}}}"#
                );
                text += &format!("id: {number}\ndata: {event}\n\n");
            }
            stream.write_all(text.as_bytes()).unwrap();
            open.push(stream);
        }
    });
    address
}

#[tokio::test]
async fn watch_goes_on_after_an_event_whose_handling_panics() {
    let log = watch::Sender::new(serve_three_events());
    let (applied, mut numbers) = unbounded_channel();
    let apply = move |event: Event| {
        assert_ne!(event.number, 2, "event 2 panics");
        applied.send(event.number).unwrap();
    };
    let supervisor = Supervisor::default();
    let watch = ChangeLogWatch::new(
        log.subscribe(),
        0,
        NameIndex::new(&Names::default()),
        Box::new(apply),
        ReconnectBackoff::new(Duration::from_millis(10), 7),
        supervisor.clone(),
    );
    supervisor.spawn_restarting(Task::ChangeLogWatch, watch, |watch| {
        Box::pin(watch.follow())
    });
    for expected in [1, 3] {
        let number = timeout(Duration::from_secs(5), numbers.recv()).await;
        assert_eq!(number, Ok(Some(expected)));
    }
    let page = supervisor.metrics().render(true).unwrap();
    assert!(page.contains("garnetwall_task_panics_total{task=\"ChangeLogWatch\"} 1"));
}
