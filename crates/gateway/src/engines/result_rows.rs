//! Pages of a result into the rows of one JSON answer, unchanged and in order.

use bytes::Bytes;

/// Protocol: columns of every row.
const COLUMN_COUNT: usize = 3;
/// Protocol: bytes of one page, and of a whole result.
pub const MAX_PAGE_BYTES: usize = 6_000;
pub const MAX_RESULT_BYTES: usize = 48_000;
pub const MAX_PAGES: usize = MAX_RESULT_BYTES / MAX_PAGE_BYTES * 2;

/// The body of a whole answer; says what is wrong where a page holds no whole rows.
pub fn answer(pages: &[Bytes]) -> Result<Bytes, String> {
    let bytes: usize = pages.iter().map(Bytes::len).sum();
    if bytes > MAX_RESULT_BYTES {
        return Err(format!("{bytes} bytes of result"));
    }
    let mut json = Vec::with_capacity(bytes + bytes / 4 + 64);
    json.extend_from_slice(b"{\"data\":[");
    let mut first = true;
    for page in pages {
        let text = std::str::from_utf8(page).map_err(|_| "a page is not UTF-8".to_string())?;
        let mut remaining = text;
        while let Some((row, after_row)) = remaining.split_once('\n') {
            if !first {
                json.push(b',');
            }
            first = false;
            write_row(&mut json, row)?;
            remaining = after_row;
        }
        if !remaining.is_empty() {
            return Err("a page ends within a row".into());
        }
    }
    json.extend_from_slice(b"]}");
    Ok(json.into())
}

/// Whether a page holds whole rows: one spoilt or cut on its way does not, but by chance.
pub fn is_complete_page(page: &[u8]) -> bool {
    let mut columns = 1;
    let mut row = |byte: &u8| {
        match byte {
            b'\t' => columns += 1,
            b'\n' => return std::mem::replace(&mut columns, 1) == COLUMN_COUNT,
            _ => {}
        }
        true
    };
    page.iter().all(&mut row)
        && page.last().is_none_or(|b| *b == b'\n')
        && std::str::from_utf8(page).is_ok()
}

fn write_row(json: &mut Vec<u8>, row: &str) -> Result<(), String> {
    json.push(b'[');
    let mut columns = 0;
    for column in row.split('\t') {
        if columns > 0 {
            json.push(b',');
        }
        columns += 1;
        serde_json::to_writer(&mut *json, column).map_err(|e| e.to_string())?;
    }
    json.push(b']');
    if columns == COLUMN_COUNT {
        Ok(())
    } else {
        Err(format!("a row of {columns} columns"))
    }
}

#[cfg(test)]
mod tests;
