//! Runs one case of the second review: `standins-2 CASE FOLDER RUN`, where `RUN` is the command `run` of the deploy
//! file and `FOLDER` takes `record.txt`. The case plays without its disruption if `TROUBLE` is 0. Exits with 1 if the
//! rule was broken, 0 if it held, 2 if the case couldn't run.

mod case;
mod change_log;
mod engine;
mod flood;
mod gateway;
mod http;
mod record;
mod settings;
mod system;

mod memory;
mod reuse;
mod spoilt;
mod wrong_length;

use case::{Case, Verdict};
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder, run] = arguments.as_slice() else {
        eprintln!("usage: standins-2 CASE FOLDER RUN");
        exit(2);
    };
    let case = match Case::new(folder, run) {
        Ok(case) => case,
        Err(error) => {
            eprintln!("{error}");
            exit(2);
        }
    };
    let verdict = match name.as_str() {
        "flood" => flood::play(&case),
        "memory" => memory::play(&case),
        "reuse" => reuse::play(&case),
        "spoilt" => spoilt::play(&case),
        "wrong-length" => wrong_length::play(&case),
        other => Err(format!("no case '{other}'")),
    };
    let code = match verdict {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(error) => {
            case.record.say(format!("the case could not run: {error}"));
            2
        }
    };
    case.record.say(format!("exit {code}"));
    drop(case);
    exit(code);
}
