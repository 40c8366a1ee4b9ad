//! The command line.

use crate::configuration::plan_commands;
use crate::configuration::{self, Config, Files};
use crate::gateway::Gateway;
use crate::system::log::{print_error, Log};
use crate::system::os_error::retry_blocking;
use crate::system::signals::{SignalEvents, Signals};
use pico_args::Arguments;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::runtime::Builder;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::Notify;

const HELP: &str = "\
garnetwall: admission control for batches on a pool of engines

Usage: garnetwall COMMAND [--config FILE] [--plan FILE]

Commands:
  serve         run a gateway until SIGTERM or SIGINT; SIGHUP reads the configuration again
  check-config  read and check the configuration, and say what is wrong
  version       print the version
  help          print this text

Commands on plans (docs/plan.md):
{PLAN}
Options:
  --config FILE  the configuration; otherwise the file that PROXY_CONFIG names
  --plan FILE    the plan; otherwise the file that GARNETWALL_PLAN names; without either there is none

Environment: PROXY_NAME and PROXY_LISTEN go before the file's name and listen;
GARNETWALL_LOG sets the level of the log on standard error (info).
";

/// Runs the command that the arguments name.
pub fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if plan_commands::is_meant(&mut arguments) {
        return plan_commands::run(arguments);
    }
    match command(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            print_error(&what);
            ExitCode::FAILURE
        }
    }
}

fn command(mut arguments: Arguments) -> Result<(), String> {
    if arguments.contains(["-h", "--help"]) {
        print!("{}", help());
        return Ok(());
    }
    let name = arguments.subcommand().map_err(|e| e.to_string())?;
    let mut named = |option| {
        arguments
            .opt_value_from_str(option)
            .map_err(|e| e.to_string())
    };
    let files = Files {
        config: named("--config")?,
        plan: named("--plan")?,
    };
    if let Some(left) = arguments.finish().first() {
        return Err(format!("unknown argument {left:?}; see garnetwall help"));
    }
    match name.as_deref() {
        Some("serve") => serve(files),
        Some("check-config") => {
            let config = read(files)?;
            println!(
                "configuration of {} is good: {} listens on {}",
                config.name, config.name, config.listen
            );
            Ok(())
        }
        Some("version") => {
            println!("garnetwall {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some("help") => {
            print!("{}", help());
            Ok(())
        }
        Some(other) => Err(format!("unknown command '{other}'; see garnetwall help")),
        None => Err("a command expected; see garnetwall help".into()),
    }
}

fn help() -> String {
    HELP.replace("{PLAN}", plan_commands::HELP)
}

fn read(files: Files) -> Result<Config, String> {
    configuration::read(files, |name| std::env::var(name).ok()).map_err(|e| e.to_string())
}

fn serve(files: Files) -> Result<(), String> {
    let signals = Signals::install().map_err(|e| format!("signals: {e}"))?;
    let log = retry_blocking(Log::start).map_err(|e| format!("log: {e}"))?;
    let runtime = retry_blocking(|| Builder::new_current_thread().enable_all().build());
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let served = runtime.block_on(serve_until_stopped(files, signals));
    // What still reads a file is not waited for.
    runtime.shutdown_background();
    log.flush();
    served
}

async fn serve_until_stopped(files: Files, signals: Signals) -> Result<(), String> {
    let SignalEvents { mut stop, hangup } = signals.listen();
    let mut stopped = Box::pin(async move {
        // It fails only with the task gone that hears signals, which goes with the runtime.
        let _ = stop.wait_for(|stop| *stop).await;
    });
    let config = tokio::select! {
        biased;
        () = &mut stopped => return Ok(()),
        config = read_beside(files.clone()) => config?,
    };
    let listen = config.listen;
    let (reload, reloads) = unbounded_channel();
    tokio::spawn(reload_on_hangup(files, hangup, reload));
    Gateway::new(config)
        .run(stopped, reloads)
        .await
        .map_err(|e| format!("{listen}: {e}"))
}

/// Reads the files again at each SIGHUP; a faulty one is told and passed over.
async fn reload_on_hangup(files: Files, hangup: Arc<Notify>, reload: UnboundedSender<Config>) {
    loop {
        hangup.notified().await;
        match read_beside(files.clone()).await {
            Ok(config) => drop(reload.send(config)),
            Err(what) => tracing::error!(what, "configuration not reloaded, the old one stays"),
        }
    }
}

/// Reads the files in a thread of its own: nothing that serves waits for a file.
async fn read_beside(files: Files) -> Result<Config, String> {
    let reading = tokio::task::spawn_blocking(move || read(files));
    reading
        .await
        .unwrap_or_else(|e| Err(format!("the configuration could not be read: {e}")))
}
