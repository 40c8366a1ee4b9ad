use super::*;

fn line(id: &str, condition: Condition) -> EngineLine {
    let address = SocketAddr::from(([127, 0, 0, 1], 4100));
    EngineLine { id: id.into(), address, zone: 0, kind: 0, cell: 0, came_up: None, condition }
}

/// Days on which engines come under new ids without end: what is kept does not grow with them.
#[test]
fn an_index_is_another_engines_only_once_its_own_is_long_gone() {
    let mut list = List::new(Duration::from_secs(20));
    let mut now = Instant::now();
    let mut take = |id: &str, condition, wait: u64| {
        now += Duration::from_secs(wait);
        let engine = list.take(&line(id, condition), now).map(|l| l.listed.engine);
        (engine, list.known.len(), list.ids.len())
    };
    assert_eq!(take("a", Condition::Ready, 0), (Some(0), 1, 1));
    assert_eq!(take("a", Condition::Gone, 1), (Some(0), 1, 1));
    assert_eq!(take("never known", Condition::Gone, 1), (None, 1, 1));
    assert_eq!(take("b", Condition::Ready, 10), (Some(1), 2, 2), "batches may still know a");
    assert_eq!(take("a", Condition::Gone, 5), (Some(0), 2, 2), "told twice");
    assert_eq!(take("c", Condition::Ready, 10), (Some(0), 2, 2));
    for n in 0..100 {
        take(&format!("d{n}"), Condition::Ready, 1);
        assert!(take(&format!("d{n}"), Condition::Gone, 30).1 <= 4);
    }
}
