use super::*;

fn rows(pages: &[&str]) -> Result<Vec<Vec<String>>, ResultError> {
    let pages: Vec<Bytes> = pages
        .iter()
        .map(|p| Bytes::copy_from_slice(p.as_bytes()))
        .collect();
    let length = json_length(&pages)?;
    let json = to_json(&pages, length)?;
    assert_eq!(json.len(), length, "length of the document");
    let json: serde_json::Value = serde_json::from_slice(&json).expect("valid JSON");
    Ok(serde_json::from_value(json["data"].clone()).expect("rows of strings"))
}

#[test]
fn rows_are_converted_unchanged_and_in_order() {
    assert_eq!(rows(&[""]).unwrap(), Vec::<Vec<String>>::new());
    let odd = ["quote\"", "back\\slash", "\u{1}\r\u{7f} é 漢"];
    let page = format!("a\t\t\n{}\n", odd.join("\t"));
    assert_eq!(
        rows(&[&page, "x\ty\tz\n"]).unwrap(),
        vec![vec!["a", "", ""], odd.to_vec(), vec!["x", "y", "z"]]
    );
    assert!(
        is_complete_page(page.as_bytes())
            && is_complete_page(b"")
            && !is_complete_page(b"\xff\t\t\n")
    );
}

#[test]
fn incomplete_or_malformed_row_is_an_error() {
    for page in ["a\tb\n", "a\tb\tc\td\n", "a\tb\tc", "\n"] {
        assert!(
            rows(&[page]).is_err() && !is_complete_page(page.as_bytes()),
            "{page:?}"
        );
    }
    assert!(json_length(&[Bytes::from_static(&[0xff, b'\t', b'\t', b'\n'])]).is_err());
    assert!(json_length(&[Bytes::from(vec![b'a'; MAX_RESULT_BYTES + 1])]).is_err());
}

#[test]
fn rows_behind_a_page_are_told_from_other_bytes() {
    for rows in ["a\tb\tc\n", "\t\t\nx", "a\tb", "a\tb\tc", "é\t漢\t"] {
        assert!(begins_with_row(rows.as_bytes()), "{rows:?}");
    }
    assert!(begins_with_row(b"a\tb\t\xe6\xbc"));
    for other in [
        "",
        "a",
        "noise\r\n\r\n",
        "HTTP/1.1 200 OK\r\nResult-Pages: 1\r\n\r\na\tb\tc\n",
        "a\tb\n",
        "a\tb\tc\td",
    ] {
        assert!(!begins_with_row(other.as_bytes()), "{other:?}");
    }
    assert!(!begins_with_row(b"\xff\xfe\t\xff\xff\xff"));
}
