use super::{find_data_set, DataSetSearch, SearchState};

/// Searches a statement in slices of these many bytes, and returns the data set and the number of slices.
fn search_in_slices(statement: &[u8], slice_bytes: usize) -> (Option<u32>, usize) {
    let mut search = DataSetSearch::new(statement);
    let mut slices = 1;
    loop {
        match search.run(slice_bytes) {
            SearchState::Finished(data_set) => return (data_set, slices),
            SearchState::Unfinished => slices += 1,
        }
    }
}

fn data_set(statement: &[u8]) -> Option<u32> {
    search_in_slices(statement, usize::MAX).0
}

#[test]
fn data_set_is_the_schema_number_of_the_table_read_or_written() {
    let cases: [(&str, Option<u32>); 20] = [
        (
            "SELECT day, count(*) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day",
            Some(17),
        ),
        (
            "insert into load_5.target select * from staging.rows",
            Some(5),
        ),
        ("UPDATE a_b_12.t SET x = 1", Some(12)),
        ("DELETE FROM s_7 . t", Some(7)),
        ("SELECT 'from x_1.t' FROM \"s_2\".\"t\"", Some(2)),
        (
            "SELECT 'it''s from x_1.t' -- from x_3.t\n FROM s_4.t",
            Some(4),
        ),
        (
            "/* from x_1.t /* nested */ from x_2.t */ SELECT 1 FROM s_9.t",
            Some(9),
        ),
        ("SELECT t_8.a, \"x_3.y\" FROM s_6.orders t_8", Some(6)),
        (
            "SELECT trim(both ' ' FROM t_8.a) FROM s_6.orders t_8",
            Some(6),
        ),
        (
            "SELECT 1 FROM staging.raw r_2 JOIN s_3.t ON r_2.id = t.id",
            Some(3),
        ),
        (
            "SELECT 1 FROM plain, s_11.t WHERE a_4.b IS DISTINCT FROM c_5.d",
            Some(11),
        ),
        (
            "SELECT 1 FROM (SELECT x_1.y FROM s_13.t x_1) AS q_2",
            Some(13),
        ),
        (
            "SELECT $$ from x_1.t $$, $q$ from x_2.t $q$ FROM s_10.t",
            Some(10),
        ),
        ("SELECT 1.5e3 FROM orders", None),
        ("SELECT 1 FROM staging.t_5", None),
        ("'unended from s_1.t", None),
        ("SELECT é_1.x FROM (wärme_3.\"ö\"\"t\") größe", Some(3)),
        ("SELECT 1 FROM a . s_14 . t, s_15.t", Some(14)),
        ("SELECT $1, $a$b$ from x_1.t $a$ FROM s_16.t", Some(16)),
        ("SELECT `from`.`s_1`, x FROM staging.t", None),
    ];
    for (statement, expected) in cases {
        assert_eq!(data_set(statement.as_bytes()), expected, "{statement}");
        let (found, _) = search_in_slices(statement.as_bytes(), 1);
        assert_eq!(found, expected, "{statement}, token by token");
    }
}

/// Parentheses nested deeper than they are tracked hide no table after them.
#[test]
fn table_after_deeply_nested_parentheses_is_found() {
    let open = "(".repeat(1000);
    let close = ")".repeat(1000);
    let statement = format!("SELECT x_1.y, {open}1{close} FROM s_5.t");
    assert_eq!(data_set(statement.as_bytes()), Some(5));
}

#[test]
fn malformed_statements_do_not_panic() {
    for bytes in [
        &b"\xff\xfe from s_3.t"[..],
        b"$",
        b"\"",
        b"`a",
        b"/*",
        b"--",
        b"a.",
        b"$a$",
        b"((()))))",
        b"",
    ] {
        data_set(bytes);
    }
}

#[tokio::test]
async fn long_statement_is_searched_in_slices() {
    let names = "a,".repeat(100_000);
    let statement = format!("SELECT {names} 1 FROM s_5.t");
    let (found, slices) = search_in_slices(statement.as_bytes(), 10_000);
    assert_eq!((found, slices), (Some(5), 21));
    assert_eq!(find_data_set(statement.as_bytes()).await, Some(5));
}
