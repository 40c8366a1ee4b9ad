//! Implements the command line of the program `garnetwall`.

use crate::configuration::plan_commands;
use crate::configuration::{self, Config, ConfigError, Files};
use crate::gateway::{Gateway, StartError};
use crate::supervision::{Supervisor, Task};
use crate::system::log::{print_error, Log};
use crate::system::os_error::{retry, retry_blocking};
use crate::system::signals::{SignalEvents, Signals};
use crate::system::thread::run_in_thread;
use pico_args::Arguments;
use std::ffi::OsString;
use std::io;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::runtime::Builder;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::oneshot::error::RecvError;
use tokio::sync::Notify;

/// Time after which an idle thread of the pool for blocking calls ends: longer than any run of the program.
const POOL_THREAD_KEEP_ALIVE: Duration = Duration::from_secs(u32::MAX as u64);

const HELP: &str = "\
garnetwall: admission control for queries on a pool of engines

Usage: garnetwall COMMAND [--config FILE] [--plan FILE]

Commands:
  serve         run a gateway until SIGTERM or SIGINT; SIGHUP reloads the configuration
  check-config  check the configuration and report errors
  version       print the version
  help          print this text

Commands on plans (docs/plan.md):
{PLAN}
Options:
  --config FILE  the configuration file; PROXY_CONFIG names it if this option is absent
  --plan FILE    the plan file; GARNETWALL_PLAN names it if this option is absent; without both there is no plan

Environment: PROXY_NAME and PROXY_LISTEN override name and listen in the configuration file;
GARNETWALL_LOG sets the level of the log on standard error (default: info).
";

/// An error that ends a command other than those on plans.
#[derive(Debug, Error)]
enum CommandError {
    #[error("{0}")]
    Arguments(#[from] pico_args::Error),
    #[error("unknown argument {0:?}; see garnetwall help")]
    UnknownArgument(OsString),
    #[error("unknown command '{0}'; see garnetwall help")]
    UnknownCommand(String),
    #[error("no command given; see garnetwall help")]
    NoCommand,
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The thread that reads the configuration files has panicked.
    #[error("could not read the configuration: {0}")]
    ReadPanicked(#[from] RecvError),
    #[error("could not start the thread that reads the configuration: {0}")]
    ReadThread(#[source] io::Error),
    #[error("could not install the signal handlers: {0}")]
    Signals(#[source] io::Error),
    #[error("could not start the log: {0}")]
    Log(#[source] io::Error),
    #[error("could not start the asynchronous runtime: {0}")]
    Runtime(#[source] io::Error),
    #[error(transparent)]
    Start(#[from] StartError),
}

/// Runs the command that the program's arguments name. Returns exit code 1 for a failure or a difference between plans,
/// and 2 for a usage error of a plan command.
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
    println!("configuration of {name} is valid: {name} listens on {listen}");
    Ok(())
}

fn read_config(files: Files) -> Result<Config, ConfigError> {
    configuration::read(files, |name| std::env::var(name).ok())
}

fn serve(files: Files) -> Result<(), CommandError> {
    let signals = Signals::install().map_err(CommandError::Signals)?;
    let log = retry_blocking(Log::start).map_err(CommandError::Log)?;
    let runtime = retry_blocking(|| {
        Builder::new_current_thread()
            .enable_all()
            .thread_keep_alive(POOL_THREAD_KEEP_ALIVE)
            .build()
    });
    let runtime = runtime.map_err(CommandError::Runtime)?;
    let result = runtime.block_on(serve_until_stopped(files, signals));
    // A thread that is still reading a file must not delay the exit.
    runtime.shutdown_background();
    log.flush();
    result
}

async fn serve_until_stopped(files: Files, signals: Signals) -> Result<(), CommandError> {
    let supervisor = Supervisor::default();
    let SignalEvents { mut stop, hangup } = signals.listen(&supervisor);
    let mut stopped = Box::pin(async move {
        // This fails only after the task that listens for signals has ended, and that task ends with the runtime.
        let _ = stop.wait_for(|stop| *stop).await;
    });
    let config = tokio::select! {
        biased;
        () = &mut stopped => return Ok(()),
        config = read_config_in_thread(files.clone()) => config?,
    };
    let (reload, reloads) = unbounded_channel();
    let reloads_on_hangup = ReloadOnHangup {
        files,
        hangup,
        reload,
    };
    supervisor.spawn_restarting(Task::ConfigurationRead, reloads_on_hangup, |reloads| {
        Box::pin(reloads.run())
    });
    Gateway::new(config, supervisor)
        .run(stopped, reloads)
        .await?;
    Ok(())
}

/// Reads the files again at each SIGHUP and sends the configuration to the gateway. An invalid configuration is logged
/// and ignored.
struct ReloadOnHangup {
    files: Files,
    hangup: Arc<Notify>,
    reload: UnboundedSender<Config>,
}

impl ReloadOnHangup {
    /// Never returns.
    async fn run(&self) {
        loop {
            self.hangup.notified().await;
            match read_config_in_thread(self.files.clone()).await {
                // The send fails only if the gateway has stopped.
                Ok(config) => {
                    let _ = self.reload.send(config);
                }
                Err(error) => {
                    // A string field is logged in quotes with escaped line breaks; the text of an invalid plan has
                    // several lines.
                    let error = error.to_string();
                    tracing::error!(
                        error,
                        "configuration not reloaded, the previous one stays in force"
                    );
                }
            }
        }
    }
}

/// Reads the files in a separate thread, so that serving does not wait for the file system. While the system has no
/// thread, tries again for [`START_TIMEOUT`](crate::system::os_error::START_TIMEOUT).
async fn read_config_in_thread(files: Files) -> Result<Config, CommandError> {
    let start = || {
        let files = files.clone();
        run_in_thread("configuration", || read_config(files))
    };
    let config = retry("configuration", start).await;
    let config = config.map_err(CommandError::ReadThread)?.await?;
    Ok(config?)
}
