//! The commands on plans: check, fmt, diff, explain, show. They end with 0, with 1 for a fault or a difference, and with
//! 2 where the call itself is wrong.

use crate::configuration;
use crate::scheduling::plan_routing;
use garnetwall_plan::model::Facts;
use garnetwall_plan::source::{beside, Loader};
use garnetwall_plan::{compile, diff, explain, fault, format, Compiled, Settings};
use pico_args::Arguments;
use std::net::IpAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// What the `plan` commands take, for the help text.
pub const HELP: &str = "\
  plan check FILE [--settings JSON]   read and check a plan, against a gateway's configuration where one is named
  plan fmt [--check] FILE             write a file of a plan in its one form; with --check only say whether it is
  plan diff OLD NEW [--json]          what the second does otherwise
  plan explain FILE --group G [--tenant T] [--client ADDRESS] [--key K] [--data-set N] [--at HH:MM] [--settings JSON]
                                      which route, pools and limits apply to a batch, and why
  plan show FILE [--settings JSON]    a plan as it was understood, as JSON
";

/// Reads files from the disk.
pub struct Disk;

impl Loader for Disk {
    fn load(&self, name: &str) -> Result<Vec<u8>, String> {
        if Path::new(name).is_dir() {
            return Err("it is a directory".into());
        }
        std::fs::read(name).map_err(|e| match e.kind() {
            std::io::ErrorKind::NotFound => "there is no such file".into(),
            _ => e.to_string(),
        })
    }

    fn resolve(&self, from: &str, included: &str) -> String {
        beside(from, included)
    }
}

/// How a command ended other than well.
enum Stop {
    /// A fault or a difference, with what is to be said of it.
    Fault(String),
    Usage(String),
}

/// Whether the first word is `plan`; then it is taken out.
pub fn is_meant(arguments: &mut Arguments) -> bool {
    let first = std::env::args().nth(1);
    first.as_deref() == Some("plan") && arguments.subcommand().is_ok()
}

/// Runs the command that the arguments name.
pub fn run(mut arguments: Arguments) -> ExitCode {
    let ended = arguments
        .subcommand()
        .map_err(|e| Stop::Usage(e.to_string()))
        .and_then(|name| match name.as_deref() {
            Some("check") => check(arguments),
            Some("fmt") => fmt(arguments),
            Some("diff") => compare(arguments),
            Some("explain") => tell(arguments),
            Some("show") => show(arguments),
            Some(other) => Err(Stop::Usage(format!("unknown command 'plan {other}'"))),
            None => Err(Stop::Usage("a command on plans expected".into())),
        });
    match ended {
        Ok(said) => {
            print!("{said}");
            ExitCode::SUCCESS
        }
        Err(Stop::Fault(said)) => {
            eprint!("{said}");
            ExitCode::from(1)
        }
        Err(Stop::Usage(what)) => {
            eprintln!("garnetwall: {what}\n\n{HELP}");
            ExitCode::from(2)
        }
    }
}

fn usage(e: pico_args::Error) -> Stop {
    Stop::Usage(e.to_string())
}

fn option(arguments: &mut Arguments, name: &'static str) -> Result<Option<String>, Stop> {
    arguments.opt_value_from_str(name).map_err(usage)
}

fn file(arguments: &mut Arguments, what: &str) -> Result<String, Stop> {
    let file: Option<String> = arguments.opt_free_from_str().map_err(usage)?;
    match file.filter(|f| !f.starts_with('-')) {
        Some(file) => Ok(file),
        None => Err(Stop::Usage(format!("{what} expected"))),
    }
}

fn nothing_left(arguments: Arguments) -> Result<(), Stop> {
    match arguments.finish().first() {
        Some(left) => Err(Stop::Usage(format!("unknown argument {left:?}"))),
        None => Ok(()),
    }
}

fn settings(arguments: &mut Arguments) -> Result<Option<Settings>, Stop> {
    let Some(file) = option(arguments, "--settings")? else {
        return Ok(None);
    };
    let decoded =
        configuration::settings(&file).map_err(|e| Stop::Fault(format!("garnetwall: {e}\n")))?;
    Ok(Some(plan_routing::settings(&decoded)))
}

fn read(file: &str, settings: Option<&Settings>) -> Result<Compiled, Stop> {
    compile(&Disk, file, settings).map_err(|faulty| Stop::Fault(faulty.to_string()))
}

fn check(mut arguments: Arguments) -> Result<String, Stop> {
    let settings = settings(&mut arguments)?;
    let file = file(&mut arguments, "the file of a plan")?;
    nothing_left(arguments)?;
    let plan = read(&file, settings.as_ref())?.plan;
    Ok(format!(
        "{file} is good: {} routes, {} pools, {} limits, rules of {} groups and {} tenants\n",
        plan.routes.len(),
        plan.pools.len(),
        plan.limits.len(),
        plan.groups.len(),
        plan.tenants.len()
    ))
}

fn fmt(mut arguments: Arguments) -> Result<String, Stop> {
    let only_check = arguments.contains("--check");
    let file = file(&mut arguments, "the file of a plan")?;
    nothing_left(arguments)?;
    let cant = |e: &dyn std::fmt::Display| Stop::Fault(format!("garnetwall: {file}: {e}\n"));
    let bytes = Disk.load(&file).map_err(|e| cant(&e))?;
    let text = String::from_utf8(bytes).map_err(|e| cant(&e))?;
    let Ok(printed) = format::format(&text) else {
        // The whole reading tells the faults with their places.
        let (files, _, faults) = garnetwall_plan::source::read(&Disk, &file);
        return Err(Stop::Fault(fault::render(&files, &faults)));
    };
    if printed == text {
        return Ok(String::new());
    }
    if only_check {
        return Err(Stop::Fault(format!(
            "{file} is not in its one form; `garnetwall plan fmt {file}` writes it so\n"
        )));
    }
    // Beside the file and then in its place, so that a full disk costs nothing.
    let beside = format!("{file}.new");
    let written = std::fs::write(&beside, &printed).and_then(|()| std::fs::rename(&beside, &file));
    written.map_err(|e| cant(&e))?;
    Ok(String::new())
}

fn compare(mut arguments: Arguments) -> Result<String, Stop> {
    let json = arguments.contains("--json");
    let old = file(&mut arguments, "the old plan and the new one")?;
    let new = file(&mut arguments, "the new plan")?;
    nothing_left(arguments)?;
    let changes = diff::diff(&read(&old, None)?.plan, &read(&new, None)?.plan);
    let said = match json {
        true => serde_json::to_string_pretty(&changes).unwrap_or_default() + "\n",
        false => changes
            .iter()
            .map(|c| format!("{}: {}\n", c.of, c.text))
            .collect(),
    };
    match changes.is_empty() {
        true => Ok(if json { said } else { String::new() }),
        false => {
            print!("{said}");
            Err(Stop::Fault(String::new()))
        }
    }
}

fn tell(mut arguments: Arguments) -> Result<String, Stop> {
    let settings = settings(&mut arguments)?;
    let group =
        option(&mut arguments, "--group")?.ok_or_else(|| Stop::Usage("--group expected".into()))?;
    let tenant = option(&mut arguments, "--tenant")?.unwrap_or_default();
    let client = option(&mut arguments, "--client")?.unwrap_or_else(|| "::".into());
    let client = client
        .parse::<IpAddr>()
        .map_err(|_| Stop::Usage(format!("--client {client}: no address")))?;
    let key = option(&mut arguments, "--key")?.is_some();
    let data_set = option(&mut arguments, "--data-set")?.unwrap_or_else(|| "0".into());
    let data_set = data_set
        .parse()
        .map_err(|_| Stop::Usage(format!("--data-set {data_set}: no number")))?;
    let minute = match option(&mut arguments, "--at")? {
        Some(at) => minute(&at).ok_or_else(|| Stop::Usage(format!("--at {at}: HH:MM expected")))?,
        None => {
            let now = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            (now.as_secs() / 60 % 1440) as u32
        }
    };
    let file = file(&mut arguments, "the file of a plan")?;
    nothing_left(arguments)?;
    let compiled = read(&file, settings.as_ref())?;
    Ok(explain::explain(
        &compiled,
        &Facts {
            group: &group,
            tenant: &tenant,
            client,
            key,
            data_set,
            minute,
        },
    ))
}

fn minute(text: &str) -> Option<u32> {
    let (hour, minute) = text.split_once(':')?;
    let (hour, minute): (u32, u32) = (hour.parse().ok()?, minute.parse().ok()?);
    (hour < 24 && minute < 60).then_some(hour * 60 + minute)
}

fn show(mut arguments: Arguments) -> Result<String, Stop> {
    let settings = settings(&mut arguments)?;
    let file = file(&mut arguments, "the file of a plan")?;
    nothing_left(arguments)?;
    let plan = read(&file, settings.as_ref())?.plan;
    Ok(serde_json::to_string_pretty(&plan).unwrap_or_default() + "\n")
}
