//! The command line.

use crate::configuration::plan_commands;
use crate::configuration::{self, Config, ConfigError, Files};
use crate::gateway::{Gateway, StartError};
use crate::system::log::{print_error, Log};
use crate::system::os_error::retry_blocking;
use crate::system::signals::{SignalEvents, Signals};
use pico_args::Arguments;
use std::ffi::OsString;
use std::io;
use std::process::ExitCode;
use std::sync::Arc;
use thiserror::Error;
use tokio::runtime::Builder;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::Notify;
use tokio::task::JoinError;

const HELP: &str = "\
garnetwall: admission control for queries on a pool of engines

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

/// Why a command failed.
#[derive(Debug, Error)]
enum CommandError {
    #[error("{0}")]
    Arguments(#[from] pico_args::Error),
    #[error("unknown argument {0:?}; see garnetwall help")]
    UnknownArgument(OsString),
    #[error("unknown command '{0}'; see garnetwall help")]
    UnknownCommand(String),
    #[error("a command expected; see garnetwall help")]
    NoCommand,
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The thread that reads the configuration has panicked.
    #[error("the configuration could not be read: {0}")]
    ReadPanicked(#[from] JoinError),
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    #[error("log: {0}")]
    Log(#[source] io::Error),
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    #[error(transparent)]
    Start(#[from] StartError),
}

/// Runs the command that the arguments name; the exit code of a failure is 1, or 2 for a wrong call of a plan command.
pub fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if plan_commands::is_plan_command(&mut arguments) {
        return plan_commands::run(arguments);
    }
    match run_command(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error(&error);
            ExitCode::FAILURE
        }
    }
}

fn run_command(mut arguments: Arguments) -> Result<(), CommandError> {
    if arguments.contains(["-h", "--help"]) {
        print_help();
        return Ok(());
    }
    let name = arguments.subcommand()?;
    let files = Files {
        config: arguments.opt_value_from_str("--config")?,
        plan: arguments.opt_value_from_str("--plan")?,
    };
    if let Some(argument) = arguments.finish().into_iter().next() {
        return Err(CommandError::UnknownArgument(argument));
    }
    match name.as_deref() {
        Some("serve") => return serve(files),
        Some("check-config") => check_config(files)?,
        Some("version") => println!("garnetwall {}", env!("CARGO_PKG_VERSION")),
        Some("help") => print_help(),
        Some(other) => return Err(CommandError::UnknownCommand(other.into())),
        None => return Err(CommandError::NoCommand),
    }
    Ok(())
}

fn print_help() {
    print!("{}", HELP.replace("{PLAN}", plan_commands::HELP));
}

fn check_config(files: Files) -> Result<(), ConfigError> {
    let Config { name, listen, .. } = read_config(files)?;
    println!("configuration of {name} is good: {name} listens on {listen}");
    Ok(())
}

fn read_config(files: Files) -> Result<Config, ConfigError> {
    configuration::read(files, |name| std::env::var(name).ok())
}

fn serve(files: Files) -> Result<(), CommandError> {
    let signals = Signals::install().map_err(CommandError::Signals)?;
    let log = retry_blocking(Log::start).map_err(CommandError::Log)?;
    let runtime = retry_blocking(|| Builder::new_current_thread().enable_all().build());
    let runtime = runtime.map_err(CommandError::Runtime)?;
    let result = runtime.block_on(serve_until_stopped(files, signals));
    // A thread that still reads a file is not waited for.
    runtime.shutdown_background();
    log.flush();
    result
}

async fn serve_until_stopped(files: Files, signals: Signals) -> Result<(), CommandError> {
    let SignalEvents { mut stop, hangup } = signals.listen();
    let mut stopped = Box::pin(async move {
        // It fails only once the task that listens for signals has ended, which ends with the runtime.
        let _ = stop.wait_for(|stop| *stop).await;
    });
    let config = tokio::select! {
        biased;
        () = &mut stopped => return Ok(()),
        config = read_config_in_thread(files.clone()) => config?,
    };
    let (reload, reloads) = unbounded_channel();
    tokio::spawn(reload_on_hangup(files, hangup, reload));
    Gateway::new(config).run(stopped, reloads).await?;
    Ok(())
}

/// Reads the files again at each SIGHUP; a faulty configuration is logged and ignored.
async fn reload_on_hangup(files: Files, hangup: Arc<Notify>, reload: UnboundedSender<Config>) {
    loop {
        hangup.notified().await;
        match read_config_in_thread(files.clone()).await {
            // It fails only where the gateway has stopped.
            Ok(config) => {
                let _ = reload.send(config);
            }
            Err(error) => {
                // As a quoted field: the text of an invalid plan has several lines.
                let error = error.to_string();
                tracing::error!(error, "configuration not reloaded, the old one stays");
            }
        }
    }
}

/// Reads the files in a thread of its own: nothing that serves waits for a file.
async fn read_config_in_thread(files: Files) -> Result<Config, CommandError> {
    let config = tokio::task::spawn_blocking(move || read_config(files)).await?;
    Ok(config?)
}
