//! Converts the pages of a result into one JSON document, with the rows unchanged and in order.

use bytes::Bytes;
use std::io::{self, Write};
use thiserror::Error;

/// Protocol: the number of columns of each row.
const COLUMN_COUNT: usize = 3;
const COLUMN_SEPARATOR: char = '\t';
const ROW_END: char = '\n';

/// Longest encoding of a character in UTF-8, in bytes.
const MAX_CHARACTER_BYTES: usize = 4;

/// Protocol: the maximum length of a page, in bytes.
pub const MAX_PAGE_BYTES: usize = 6_000;
/// Protocol: the maximum length of a result, in bytes.
pub const MAX_RESULT_BYTES: usize = 48_000;
/// The maximum number of pages of a result. Twice the number of pages of maximum length, because each page ends with a
/// row and may therefore be shorter.
pub const MAX_PAGES: usize = MAX_RESULT_BYTES / MAX_PAGE_BYTES * 2;

/// Violation of the protocol by a result. Pages and rows are counted from 0.
#[derive(Debug, Error)]
pub enum ResultError {
    /// All pages together are longer than [`MAX_RESULT_BYTES`].
    #[error("result is too long: {bytes} bytes")]
    TooLong {
        /// Length of all pages, in bytes.
        bytes: usize,
    },
    /// A page is not valid UTF-8.
    #[error("result page is not valid UTF-8")]
    NotUtf8 {
        /// Index of the page.
        page: usize,
        /// The decoding error, with its position in the page.
        source: std::str::Utf8Error,
    },
    /// A page does not end with the end of a row.
    #[error("result page ends with an incomplete row")]
    IncompleteRow {
        /// Index of the page.
        page: usize,
    },
    /// A row has more or fewer columns than the protocol requires.
    #[error("result row has the wrong number of columns: {columns}")]
    ColumnCount {
        /// Index of the page.
        page: usize,
        /// Index of the row in its page.
        row: usize,
        /// Number of columns of the row.
        columns: usize,
    },
    /// A column could not be written as JSON.
    #[error("result row can't be written as JSON: {source}")]
    Json {
        /// Index of the page.
        page: usize,
        /// The error of the JSON writer.
        source: serde_json::Error,
    },
}

/// Converts all pages of a result into the JSON document `{"data":[[...],...]}`, which has `json_bytes` bytes.
///
/// # Errors
///
/// [`ResultError`] if the result is too long or a page does not consist of complete rows.
pub fn to_json(pages: &[Bytes], json_bytes: usize) -> Result<Vec<u8>, ResultError> {
    write_json(pages, Vec::with_capacity(json_bytes))
}

/// Returns the length in bytes of the document that [`to_json`] makes of these pages. Short rows and control characters
/// make it several times as long as the pages.
///
/// # Errors
///
/// [`ResultError`] if the result is too long or a page does not consist of complete rows.
pub fn json_length(pages: &[Bytes]) -> Result<usize, ResultError> {
    let ByteCounter { bytes } = write_json(pages, ByteCounter::default())?;
    Ok(bytes)
}

fn write_json<W: Write>(pages: &[Bytes], output: W) -> Result<W, ResultError> {
    let bytes: usize = pages.iter().map(Bytes::len).sum();
    if bytes > MAX_RESULT_BYTES {
        return Err(ResultError::TooLong { bytes });
    }
    let mut writer = RowWriter::new(output);
    for (page, content) in pages.iter().enumerate() {
        writer.write_page(page, content)?;
    }
    Ok(writer.finish())
}

/// Whether a page consists of complete rows. A page that was corrupted or truncated on its way rarely does.
pub fn is_complete_page(page: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(page) else {
        return false;
    };
    let is_complete = text.is_empty() || text.ends_with(ROW_END);
    is_complete
        && text
            .split_terminator(ROW_END)
            .all(|row| row.split(COLUMN_SEPARATOR).count() == COLUMN_COUNT)
}

/// Whether bytes begin with a row, or with a part of a row that has a column separator.
pub fn begins_with_row(bytes: &[u8]) -> bool {
    let row_length = bytes.iter().position(|byte| *byte == ROW_END as u8);
    let (row, is_whole) = match row_length {
        Some(length) => (&bytes[..length], true),
        None => (bytes, false),
    };
    let Some(text) = row.utf8_chunks().next().map(|chunk| chunk.valid()) else {
        return false;
    };
    let columns = text.split(COLUMN_SEPARATOR).count();
    match is_whole {
        true => columns == COLUMN_COUNT && text.len() == row.len(),
        // The last character may have arrived in part.
        false => {
            (2..=COLUMN_COUNT).contains(&columns) && row.len() - text.len() < MAX_CHARACTER_BYTES
        }
    }
}

/// Counts the bytes that are written to it.
#[derive(Default)]
struct ByteCounter {
    bytes: usize,
}

impl Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes rows as JSON. Neither of its outputs, a vector and a counter, fails.
struct RowWriter<W> {
    output: W,
    is_empty: bool,
}

impl<W: Write> RowWriter<W> {
    fn new(output: W) -> Self {
        let mut writer = RowWriter {
            output,
            is_empty: true,
        };
        writer.write(b"{\"data\":[");
        writer
    }

    fn write(&mut self, bytes: &[u8]) {
        let _ = self.output.write_all(bytes);
    }

    fn write_page(&mut self, page: usize, content: &[u8]) -> Result<(), ResultError> {
        let text =
            std::str::from_utf8(content).map_err(|source| ResultError::NotUtf8 { page, source })?;
        let mut remaining = text;
        let mut row = 0;
        while let Some((content, after_row)) = remaining.split_once(ROW_END) {
            self.write_row(page, row, content)?;
            remaining = after_row;
            row += 1;
        }
        if !remaining.is_empty() {
            return Err(ResultError::IncompleteRow { page });
        }
        Ok(())
    }

    fn write_row(&mut self, page: usize, row: usize, content: &str) -> Result<(), ResultError> {
        if !self.is_empty {
            self.write(b",");
        }
        self.is_empty = false;
        self.write(b"[");
        let mut columns = 0;
        for column in content.split(COLUMN_SEPARATOR) {
            if columns > 0 {
                self.write(b",");
            }
            columns += 1;
            serde_json::to_writer(&mut self.output, column)
                .map_err(|source| ResultError::Json { page, source })?;
        }
        self.write(b"]");
        if columns != COLUMN_COUNT {
            return Err(ResultError::ColumnCount { page, row, columns });
        }
        Ok(())
    }

    fn finish(mut self) -> W {
        self.write(b"]}");
        self.output
    }
}

#[cfg(test)]
mod tests;
