//! The bench's adapter: decodes frames from standard input into calls on the decision module, and encodes on standard
//! output what it returns. It has the framing, the timers and the open queries, and decides nothing.

mod actions;
mod apply;
mod endpoints;
mod events;
mod fields;
mod frame;
mod instance;
mod protocol;
mod session;

use frame::{read_frame, AdapterError};
use session::Session;
use std::io::{self, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("garnetwall-bench-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers each frame with a reply, until the input ends between two frames.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut session = Session::default();
    let mut number = 0;
    while let Some(frame) = read_frame(input).map_err(|error| error.in_frame(number))? {
        let reply = session
            .process(&frame)
            .map_err(|malformed| AdapterError::from(malformed).in_frame(number))?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(AdapterError::Reply)?;
        number += 1;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
