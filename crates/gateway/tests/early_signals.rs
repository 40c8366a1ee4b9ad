//! Signals that come while the gateway is still starting: its configuration is a pipe that has not been written yet.

mod helper;

use helper::process::ms;
use helper::*;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A gateway that waits for its configuration.
struct Starting {
    child: Child,
    pipe: PathBuf,
}

impl Starting {
    fn begin() -> Starting {
        let pipe = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("pipe-{}", new_id()));
        let _ = std::fs::remove_file(&pipe);
        assert!(Command::new("mkfifo")
            .arg(&pipe)
            .status()
            .unwrap()
            .success());
        let mut command = gateway_command(&["serve"]);
        let child = command
            .env("PROXY_CONFIG", &pipe)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Starting { child, pipe }
    }

    /// Waits until it has opened the pipe, where it then waits.
    fn opened(&self) -> std::fs::File {
        std::fs::OpenOptions::new()
            .write(true)
            .open(&self.pipe)
            .unwrap()
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh")
            .args(["-c", &kill])
            .status()
            .unwrap()
            .success());
    }
}

impl Drop for Starting {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn signals_during_the_start_are_heard() {
    sighup_during_the_start_takes_effect_after_it();
    sigterm_during_the_start_ends_it_with_0();
}

fn sighup_during_the_start_takes_effect_after_it() {
    let (engine, log, moved) = (Engine::start(), ChangeLog::start(), ChangeLog::start());
    let starting = Starting::begin();
    let mut pipe = starting.opened();
    starting.signal("HUP");
    sleep(ms(50));
    let mut told = config(engine.address, log.address);
    pipe.write_all(told.to_string().as_bytes()).unwrap();
    drop(pipe);
    // It serves, whatever its files wait for.
    let address: std::net::SocketAddr = told["listen"].as_str().unwrap().parse().unwrap();
    wait_until("it listens", || {
        std::net::TcpStream::connect(address).is_ok()
    });
    // It reads its configuration again: there the change log is at another place.
    let mut again = starting.opened();
    told["changelog"] = moved.address.to_string().into();
    again.write_all(told.to_string().as_bytes()).unwrap();
    drop(again);
    wait_until("it follows the other log", || {
        !moved.last_event_ids.lock().unwrap().is_empty()
    });
    let stream = std::net::TcpStream::connect(address).unwrap();
    let answer = call(
        stream,
        "POST /v1/report",
        &request_fields(&new_id(), 3000),
        "SELECT 1",
    );
    assert!(Answer::of(answer.expect("an answer")).succeeded());
}

fn sigterm_during_the_start_ends_it_with_0() {
    let mut starting = Starting::begin();
    let _pipe = starting.opened();
    starting.signal("TERM");
    let told = Instant::now();
    while told.elapsed() < Duration::from_secs(3) {
        if let Some(status) = starting.child.try_wait().unwrap() {
            assert_eq!(status.code(), Some(0));
            return;
        }
        sleep(ms(10));
    }
    panic!("it never ended");
}
