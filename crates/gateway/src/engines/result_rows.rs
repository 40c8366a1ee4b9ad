//! Pages of a result into the rows of one JSON answer, unchanged and in order.

use bytes::Bytes;

/// Protocol: columns of every row.
const COLUMNS: usize = 3;
/// Protocol: bytes of one page, and of a whole result.
pub const PAGE: usize = 6_000;
pub const RESULT: usize = 48_000;
pub const PAGES: usize = RESULT / PAGE * 2;

/// The body of a whole answer; says what is wrong where a page holds no whole rows.
pub fn answer(pages: &[Bytes]) -> Result<Bytes, String> {
    let bytes: usize = pages.iter().map(Bytes::len).sum();
    if bytes > RESULT {
        return Err(format!("{bytes} bytes of result"));
    }
    let mut out = Vec::with_capacity(bytes + bytes / 4 + 64);
    out.extend_from_slice(b"{\"data\":[");
    let mut first = true;
    for page in pages {
        let text = std::str::from_utf8(page).map_err(|_| "a page is not UTF-8".to_string())?;
        let mut rest = text;
        while let Some((row, later)) = rest.split_once('\n') {
            if !first {
                out.push(b',');
            }
            first = false;
            write_row(&mut out, row)?;
            rest = later;
        }
        if !rest.is_empty() {
            return Err("a page ends within a row".into());
        }
    }
    out.extend_from_slice(b"]}");
    Ok(out.into())
}

/// Whether a page holds whole rows: one spoilt or cut on its way does not, but by chance.
pub fn whole(page: &[u8]) -> bool {
    let mut columns = 1;
    let mut row = |byte: &u8| {
        match byte {
            b'\t' => columns += 1,
            b'\n' => return std::mem::replace(&mut columns, 1) == COLUMNS,
            _ => {}
        }
        true
    };
    page.iter().all(&mut row)
        && page.last().is_none_or(|b| *b == b'\n')
        && std::str::from_utf8(page).is_ok()
}

fn write_row(out: &mut Vec<u8>, row: &str) -> Result<(), String> {
    out.push(b'[');
    let mut columns = 0;
    for column in row.split('\t') {
        if columns > 0 {
            out.push(b',');
        }
        columns += 1;
        serde_json::to_writer(&mut *out, column).map_err(|e| e.to_string())?;
    }
    out.push(b']');
    if columns == COLUMNS {
        Ok(())
    } else {
        Err(format!("a row of {columns} columns"))
    }
}

#[cfg(test)]
mod tests;
