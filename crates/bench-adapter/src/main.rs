//! Runs the gateway's admission controller for a benchmark simulator, in the simulator's time.
//!
//! The adapter reads frames from standard input, decodes their records into calls on the controller, and writes the
//! controller's actions as reply frames to standard output. It handles framing, timers and the ids of open queries; all
//! decisions are made by the controller. It exits with code 0 at the end of the input, and with 1 and a message on
//! standard error if the input is malformed or cut off, or cannot be read, or if a reply cannot be written.

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

/// Writes one reply to each frame, until the input ends between two frames. Frames are numbered from 0 in errors.
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
