//! Signals that arrive while the gateway is starting. Its configuration file is a pipe that the test writes late, which
//! keeps the gateway in its startup.

mod helper;

use helper::process::ms;
use helper::*;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A gateway that waits for its configuration from a pipe.
struct StartingGateway {
    child: Child,
    pipe: PathBuf,
}

impl StartingGateway {
    fn spawn() -> StartingGateway {
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
        StartingGateway { child, pipe }
    }

    /// Opens the pipe for writing; blocks until the gateway has opened it for reading.
    fn open_pipe(&self) -> std::fs::File {
        std::fs::OpenOptions::new()
            .write(true)
            .open(&self.pipe)
            .unwrap()
    }

    /// Sends a signal such as `HUP` to the gateway.
    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh")
            .args(["-c", &kill])
            .status()
            .unwrap()
            .success());
    }
}

impl Drop for StartingGateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn signals_during_startup_are_handled() {
    assert_sighup_during_startup_takes_effect();
    assert_sigterm_during_startup_exits_with_0();
}

fn assert_sighup_during_startup_takes_effect() {
    let (engine, log, second_log) = (
        FakeEngine::start(),
        FakeChangeLog::start(),
        FakeChangeLog::start(),
    );
    let gateway = StartingGateway::spawn();
    let mut pipe = gateway.open_pipe();
    gateway.signal("HUP");
    sleep(ms(50));
    let mut configuration = config(engine.address, log.address);
    pipe.write_all(configuration.to_string().as_bytes())
        .unwrap();
    drop(pipe);
    // The gateway serves although the pipe has not been written again for the reload.
    let address: std::net::SocketAddr = configuration["listen"].as_str().unwrap().parse().unwrap();
    wait_until("the gateway listens", || {
        std::net::TcpStream::connect(address).is_ok()
    });
    // The reload reads a configuration that names another change log.
    let mut second_pipe = gateway.open_pipe();
    configuration["changelog"] = second_log.address.to_string().into();
    second_pipe
        .write_all(configuration.to_string().as_bytes())
        .unwrap();
    drop(second_pipe);
    wait_until("the gateway follows the other log", || {
        !second_log.last_event_ids.lock().unwrap().is_empty()
    });
    let stream = std::net::TcpStream::connect(address).unwrap();
    let answer = round_trip(
        stream,
        "POST /v1/report",
        &request_headers(&new_id(), 3000),
        "SELECT 1",
    );
    assert!(Answer::of(answer.expect("an answer should arrive")).succeeded());
}

fn assert_sigterm_during_startup_exits_with_0() {
    let mut gateway = StartingGateway::spawn();
    let _pipe = gateway.open_pipe();
    gateway.signal("TERM");
    let signalled_at = Instant::now();
    while signalled_at.elapsed() < Duration::from_secs(3) {
        if let Some(status) = gateway.child.try_wait().unwrap() {
            assert_eq!(status.code(), Some(0));
            return;
        }
        sleep(ms(10));
    }
    panic!("the gateway did not exit within 3 s of SIGTERM");
}
