//! The bench's adapter: decodes frames into calls on the decision module and encodes what it returns.
//! It keeps the framing, the timers and the batches in hand, and decides nothing.

mod frame;
mod instance;
mod link;

use std::io::{self, ErrorKind, Read, Write};
use std::process::ExitCode;

/// Bytes read at a time, so that a length field alone never makes the adapter allocate.
const CHUNK: usize = 1 << 20;

fn main() -> ExitCode {
    match serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("garnetwall-bench-adapter: {what}");
            ExitCode::FAILURE
        }
    }
}

fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut link = link::Link::default();
    let mut frame = 0u64;
    while let Some((count, clock, body)) =
        read_frame(input).map_err(|e| format!("frame {frame}: {e}"))?
    {
        let reply = link
            .round(count, clock, &body)
            .map_err(|e| format!("frame {frame}: {e}"))?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("reply: {e}"))?;
        frame += 1;
    }
    Ok(())
}

/// One frame, or `None` where the input ends between two frames.
fn read_frame(input: &mut impl Read) -> Result<Option<(u32, f64, Vec<u8>)>, String> {
    let mut header = [0u8; 16];
    let got = fill(input, &mut header)?;
    if got == 0 {
        return Ok(None);
    }
    if got < header.len() {
        return Err(format!("header: 16 bytes expected, input ends after {got}"));
    }
    let mut r = frame::Reader::new(&header);
    let bad = |e: frame::Malformed| e.to_string();
    let length = r.u32("length").map_err(bad)? as usize;
    let count = r.u32("record count").map_err(bad)?;
    let clock = r.time("clock").map_err(bad)?;
    let mut body = Vec::new();
    while body.len() < length {
        let start = body.len();
        body.resize(length.min(start + CHUNK), 0);
        let got = fill(input, &mut body[start..])?;
        if start + got < body.len() {
            return Err(format!(
                "body: {length} bytes announced, input ends after {}",
                start + got
            ));
        }
    }
    Ok(Some((count, clock, body)))
}

fn fill(input: &mut impl Read, buffer: &mut [u8]) -> Result<usize, String> {
    let mut got = 0;
    while got < buffer.len() {
        match input.read(&mut buffer[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("input: {e}")),
        }
    }
    Ok(got)
}

#[cfg(test)]
mod tests;
