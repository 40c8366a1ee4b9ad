//! The command line.

use crate::config::{self, Files};
use crate::gateway::Gateway;
use crate::plan_cli;
use pico_args::Arguments;
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::unbounded_channel;
use tracing_subscriber::EnvFilter;

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
    if plan_cli::is_meant(&mut arguments) {
        return plan_cli::run(arguments);
    }
    match command(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("garnetwall: {what}");
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
    let mut named = |option| arguments.opt_value_from_str(option).map_err(|e| e.to_string());
    let files = Files { config: named("--config")?, plan: named("--plan")? };
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
    HELP.replace("{PLAN}", plan_cli::HELP)
}

fn read(files: Files) -> Result<config::Config, String> {
    config::read(files, |name| std::env::var(name).ok()).map_err(|e| e.to_string())
}

fn serve(files: Files) -> Result<(), String> {
    let filter = EnvFilter::try_from_env("GARNETWALL_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false).init();
    let config = read(files.clone())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    runtime.block_on(async {
        let listen = config.listen;
        let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
        let mut int = signal(SignalKind::interrupt()).map_err(|e| format!("SIGINT: {e}"))?;
        let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
        let (reload, reloads) = unbounded_channel();
        tokio::spawn(async move {
            while hangup.recv().await.is_some() {
                match read(files.clone()) {
                    Ok(config) => drop(reload.send(config)),
                    Err(what) => tracing::error!(what, "configuration not reloaded, the old one stays"),
                }
            }
        });
        let stop = async move {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
        };
        Gateway::new(config).run(stop, reloads).await.map_err(|e| format!("{listen}: {e}"))
    })
}
