//! Implements the commands on plans: `plan check`, `fmt`, `diff`, `explain` and `show`.
//!
//! The exit code is 0 for success, 1 for an error or a difference, and 2 for a usage error.

use super::files::{read_settings, DiskLoader};
use super::ConfigError;
use crate::scheduling::plan_routing;
use crate::system::clock::minute_of_day;
use garnetwall_plan::model::QueryFacts;
use garnetwall_plan::source::Loader;
use garnetwall_plan::{
    compile, diagnostic, diff, explain, format, Compiled, InvalidPlan, Settings,
};
use pico_args::Arguments;
use std::fmt::Display;
use std::net::IpAddr;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// The lines on the `plan` commands in the help text.
pub const HELP: &str = "\
  plan check FILE [--settings JSON]   check a plan, with --settings also against a gateway's configuration
  plan fmt [--check] FILE             format a plan file; with --check only report whether it is formatted
  plan diff OLD NEW [--json]          print how the new plan behaves differently
  plan explain FILE --group G [--tenant T] [--client ADDRESS] [--key K] [--data-set N] [--at HH:MM] [--settings JSON]
                                      print which route, pools and limits apply to a query, and why
  plan show FILE [--settings JSON]    print the compiled plan as JSON
";

/// An error that ends a command on plans.
#[derive(Debug, Error)]
enum PlanCommandError {
    /// The command line is wrong.
    #[error(transparent)]
    Usage(#[from] UsageError),
    /// The plan does not compile. The text contains each error with its place.
    #[error("{0}")]
    InvalidPlan(String),
    /// The settings file cannot be read or is invalid.
    #[error("garnetwall: {0}\n")]
    Settings(#[from] ConfigError),
    /// A plan file cannot be read or written.
    #[error("garnetwall: {file}: {cause}\n")]
    File { file: String, cause: String },
    /// `plan fmt --check` found a file that is not formatted.
    #[error("{file} is not formatted; format it with `garnetwall plan fmt {file}`\n")]
    NotFormatted { file: String },
}

/// A usage error: the command line of a plan command is wrong.
#[derive(Debug, Error)]
enum UsageError {
    #[error("{0}")]
    Arguments(#[from] pico_args::Error),
    #[error("unknown command 'plan {0}'")]
    UnknownCommand(String),
    #[error("missing argument: {0}")]
    Missing(&'static str),
    #[error("unknown argument {0:?}")]
    UnknownArgument(std::ffi::OsString),
    #[error("--client {0}: not an IP address")]
    Client(String),
    #[error("--data-set {0}: not a whole number from 0 to 4294967295")]
    DataSet(String),
    #[error("--at {0}: not a time from 00:00 to 23:59 in the form HH:MM")]
    Time(String),
}

impl From<pico_args::Error> for PlanCommandError {
    fn from(error: pico_args::Error) -> Self {
        UsageError::from(error).into()
    }
}

impl From<InvalidPlan> for PlanCommandError {
    fn from(invalid: InvalidPlan) -> Self {
        PlanCommandError::InvalidPlan(invalid.to_string())
    }
}

/// The text that a command prints on standard output, and its exit code.
struct Output {
    text: String,
    exit_code: ExitCode,
}

impl Output {
    fn success(text: String) -> Self {
        Output {
            text,
            exit_code: ExitCode::SUCCESS,
        }
    }

    /// The output of a command that found a difference; the exit code is 1.
    fn difference(text: String) -> Self {
        Output {
            text,
            exit_code: ExitCode::from(1),
        }
    }
}

type CommandResult = Result<Output, PlanCommandError>;

/// Returns whether the first argument is `plan`, and removes it if so.
pub fn is_plan_command(arguments: &mut Arguments) -> bool {
    let first = std::env::args().nth(1);
    first.as_deref() == Some("plan") && arguments.subcommand().is_ok()
}

/// Runs the plan command that the arguments name, without the leading `plan`, and prints its result or error.
pub fn run(arguments: Arguments) -> ExitCode {
    match run_command(arguments) {
        Ok(output) => {
            print!("{}", output.text);
            output.exit_code
        }
        Err(PlanCommandError::Usage(error)) => {
            eprintln!("garnetwall: {error}\n\n{HELP}");
            ExitCode::from(2)
        }
        Err(error) => {
            eprint!("{error}");
            ExitCode::from(1)
        }
    }
}

fn run_command(mut arguments: Arguments) -> CommandResult {
    let name = arguments.subcommand()?;
    match name.as_deref() {
        Some("check") => check(arguments),
        Some("fmt") => fmt(arguments),
        Some("diff") => show_diff(arguments),
        Some("explain") => explain_route(arguments),
        Some("show") => show(arguments),
        Some(other) => Err(UsageError::UnknownCommand(other.into()).into()),
        None => Err(UsageError::Missing("a plan command").into()),
    }
}

fn option(
    arguments: &mut Arguments,
    name: &'static str,
) -> Result<Option<String>, PlanCommandError> {
    Ok(arguments.opt_value_from_str(name)?)
}

/// Returns the next argument, which must not be an option. `expected` describes the argument in the error.
fn file_argument(
    arguments: &mut Arguments,
    expected: &'static str,
) -> Result<String, PlanCommandError> {
    let file: Option<String> = arguments.opt_free_from_str()?;
    match file.filter(|file| !file.starts_with('-')) {
        Some(file) => Ok(file),
        None => Err(UsageError::Missing(expected).into()),
    }
}

fn expect_no_more_arguments(arguments: Arguments) -> Result<(), PlanCommandError> {
    match arguments.finish().into_iter().next() {
        Some(argument) => Err(UsageError::UnknownArgument(argument).into()),
        None => Ok(()),
    }
}

/// Reads the settings file that `--settings` names, to check a plan against it; `None` without the option.
fn settings_argument(arguments: &mut Arguments) -> Result<Option<Settings>, PlanCommandError> {
    let Some(file) = option(arguments, "--settings")? else {
        return Ok(None);
    };
    let platform = read_settings(&file)?;
    Ok(Some(plan_routing::plan_settings(&platform)))
}

fn compile_plan(file: &str, settings: Option<&Settings>) -> Result<Compiled, PlanCommandError> {
    Ok(compile(&DiskLoader, file, settings)?)
}

fn check(mut arguments: Arguments) -> CommandResult {
    let settings = settings_argument(&mut arguments)?;
    let file = file_argument(&mut arguments, "a plan file")?;
    expect_no_more_arguments(arguments)?;
    let plan = compile_plan(&file, settings.as_ref())?.plan;
    Ok(Output::success(format!(
        "{file} is valid: {} routes, {} pools, {} limits, rules of {} query classes and {} tenants\n",
        plan.routes.len(),
        plan.pools.len(),
        plan.limits.len(),
        plan.classes.len(),
        plan.tenants.len()
    )))
}

fn fmt(mut arguments: Arguments) -> CommandResult {
    let check_only = arguments.contains("--check");
    let file = file_argument(&mut arguments, "a plan file")?;
    expect_no_more_arguments(arguments)?;
    let text = read_text(&file)?;
    let Ok(formatted) = format::format(&text) else {
        // Reading the plan as a whole reports the errors with their places.
        let source = garnetwall_plan::source::read(&DiskLoader, &file);
        return Err(PlanCommandError::InvalidPlan(diagnostic::render(
            &source.files,
            &source.diagnostics,
        )));
    };
    if formatted == text {
        return Ok(Output::success(String::new()));
    }
    if check_only {
        return Err(PlanCommandError::NotFormatted { file });
    }
    replace_file(&file, &formatted)?;
    Ok(Output::success(String::new()))
}

fn file_error(file: &str, cause: impl Display) -> PlanCommandError {
    PlanCommandError::File {
        file: file.into(),
        cause: cause.to_string(),
    }
}

fn read_text(file: &str) -> Result<String, PlanCommandError> {
    let bytes = DiskLoader
        .load(file)
        .map_err(|error| file_error(file, error))?;
    String::from_utf8(bytes).map_err(|error| file_error(file, error))
}

/// Replaces a file atomically: the text is written to `{file}.new`, which is then renamed. The old content survives a
/// full disk.
fn replace_file(file: &str, text: &str) -> Result<(), PlanCommandError> {
    let new_file = format!("{file}.new");
    std::fs::write(&new_file, text)
        .and_then(|()| std::fs::rename(&new_file, file))
        .map_err(|error| file_error(file, error))
}

fn show_diff(mut arguments: Arguments) -> CommandResult {
    let json = arguments.contains("--json");
    let old = file_argument(&mut arguments, "the files of the old and the new plan")?;
    let new = file_argument(&mut arguments, "the file of the new plan")?;
    expect_no_more_arguments(arguments)?;
    let changes = diff::diff(
        &compile_plan(&old, None)?.plan,
        &compile_plan(&new, None)?.plan,
    );
    if changes.is_empty() && !json {
        return Ok(Output::success(String::new()));
    }
    let text: String = match json {
        true => serde_json::to_string_pretty(&changes).unwrap_or_default() + "\n",
        false => changes
            .iter()
            .map(|change| format!("{}: {}\n", change.subject, change.text))
            .collect(),
    };
    match changes.is_empty() {
        true => Ok(Output::success(text)),
        false => Ok(Output::difference(text)),
    }
}

/// The options of `plan explain`.
struct ExplainOptions {
    settings: Option<Settings>,
    group: String,
    tenant: String,
    client: IpAddr,
    has_key: bool,
    data_set: u32,
    minute_of_day: u32,
}

impl ExplainOptions {
    fn read(arguments: &mut Arguments) -> Result<ExplainOptions, PlanCommandError> {
        let settings = settings_argument(arguments)?;
        let group = option(arguments, "--group")?.ok_or(UsageError::Missing("--group"))?;
        let tenant = option(arguments, "--tenant")?.unwrap_or_default();
        let client = option(arguments, "--client")?.unwrap_or_else(|| "::".into());
        let client = client.parse().map_err(|_| UsageError::Client(client))?;
        let has_key = option(arguments, "--key")?.is_some();
        let data_set = option(arguments, "--data-set")?.unwrap_or_else(|| "0".into());
        let data_set = data_set
            .parse()
            .map_err(|_| UsageError::DataSet(data_set))?;
        let minute_of_day = match option(arguments, "--at")? {
            Some(time) => parse_minute_of_day(&time).ok_or(UsageError::Time(time))?,
            None => current_minute_of_day(),
        };
        Ok(ExplainOptions {
            settings,
            group,
            tenant,
            client,
            has_key,
            data_set,
            minute_of_day,
        })
    }
}

fn explain_route(mut arguments: Arguments) -> CommandResult {
    let options = ExplainOptions::read(&mut arguments)?;
    let file = file_argument(&mut arguments, "a plan file")?;
    expect_no_more_arguments(arguments)?;
    let compiled = compile_plan(&file, options.settings.as_ref())?;
    let facts = QueryFacts {
        class: &options.group,
        tenant: &options.tenant,
        client: options.client,
        has_key: options.has_key,
        data_set: options.data_set,
        minute_of_day: options.minute_of_day,
    };
    Ok(Output::success(explain::explain(&compiled, &facts)))
}

/// The current minute of the day in UTC, by the wall clock.
fn current_minute_of_day() -> u32 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    minute_of_day(since_epoch.as_secs() as f64)
}

/// Parses a time of the form HH:MM to the minute of the day.
fn parse_minute_of_day(text: &str) -> Option<u32> {
    let (hour, minute) = text.split_once(':')?;
    let (hour, minute): (u32, u32) = (hour.parse().ok()?, minute.parse().ok()?);
    (hour < 24 && minute < 60).then_some(hour * 60 + minute)
}

fn show(mut arguments: Arguments) -> CommandResult {
    let settings = settings_argument(&mut arguments)?;
    let file = file_argument(&mut arguments, "a plan file")?;
    expect_no_more_arguments(arguments)?;
    let plan = compile_plan(&file, settings.as_ref())?.plan;
    let json = serde_json::to_string_pretty(&plan).unwrap_or_default();
    Ok(Output::success(json + "\n"))
}
