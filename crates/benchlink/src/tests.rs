#[test]
fn t() {}
