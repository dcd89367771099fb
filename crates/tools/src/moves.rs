//! `fighall-ctl move`.

use crate::{
    access::FleetAccess,
    errors::{Error, Result},
    overview,
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use fighall_config::{
    commands::OperatorCommand,
    publish::{read_documents, read_pointer},
    source::ConfigDocument,
};
use fighall_core::clock::wall_millis;
use fighall_store::{client::WriteOutcome, object::kinds::COMMANDS};

/// Creates the subcommand.
pub fn command() -> Command {
    Command::new("move")
        .about("Moves a part of a service's traffic to another region, over a ramp")
        .arg(Arg::new("service").required(true))
        .arg(Arg::new("from").required(true))
        .arg(Arg::new("to").required_unless_present("end"))
        .arg(
            Arg::new("percent")
                .long("percent")
                .value_parser(value_parser!(u32).range(1..=100))
                .default_value("100"),
        )
        .arg(
            Arg::new("ramp")
                .long("ramp-seconds")
                .value_parser(value_parser!(u64).range(0..=86_400))
                .default_value("60"),
        )
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Only tells what the move would do"),
        )
        .arg(
            Arg::new("end")
                .long("end")
                .action(ArgAction::SetTrue)
                .help("Ends the move from this region"),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Returns the store's errors, and an error for unknown services and regions.
pub async fn run(access: &FleetAccess, matches: &ArgMatches) -> Result<()> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let command = OperatorCommand::Move {
        service: text("service"),
        from: text("from"),
        to: text("to"),
        percent: matches.get_one::<u32>("percent").copied().unwrap_or(100),
        ramp_ms: matches.get_one::<u64>("ramp").copied().unwrap_or(60) * 1_000,
        since: wall_millis(),
    };
    if matches.get_flag("end") {
        return end(access, &command).await;
    }
    check(access, &text("service"), &text("from"), &text("to")).await?;
    if matches.get_flag("dry-run") {
        return preview(access, &text("service"), &text("from"), &text("to")).await;
    }
    let object = serde_json::to_string(&command).unwrap_or_default();
    let outcome = access
        .store
        .create(COMMANDS, &command.object_name(), &object)
        .await?;
    match outcome {
        WriteOutcome::Written { .. } => {
            println!("move is in force");
            Ok(())
        }
        WriteOutcome::Conflict { .. } => Err(Error::Conflict {
            what: "a move from this region is in force; end it first".to_owned(),
        }),
    }
}

async fn check(access: &FleetAccess, service: &str, from: &str, to: &str) -> Result<()> {
    let stored = read_pointer(&access.store).await?;
    let documents = read_documents(&access.store, &stored.pointer).await?;
    let mut known_service = false;
    let mut regions = Vec::new();
    for source in &documents {
        match &source.document {
            ConfigDocument::Service(document) => known_service |= document.name == service,
            ConfigDocument::Fleet(fleet) => {
                regions.extend(fleet.regions.iter().map(|region| region.name.clone()));
            }
            ConfigDocument::Blocks(_) => {}
        }
    }
    if !known_service {
        return Err(Error::not_found(format!("there is no service `{service}`")));
    }
    for region in [from, to] {
        if !regions.iter().any(|known| known == region) {
            return Err(Error::not_found(format!("there is no region `{region}`")));
        }
    }
    if from == to {
        return Err(Error::not_found("the regions are the same"));
    }
    Ok(())
}

async fn preview(access: &FleetAccess, service: &str, from: &str, to: &str) -> Result<()> {
    let overview = overview::collect(access).await?;
    let mut moving = 0;
    let mut room = 0;
    for host in &overview.hosts {
        for target in &host.targets {
            if target.service != service || host.region != target.region {
                continue;
            }
            if target.region == from {
                moving += target.in_flight;
            }
            if target.region == to && target.state == "up" {
                room += target.held.saturating_sub(target.in_flight);
            }
        }
    }
    println!("{moving} requests are in flight in {from}; {room} slots are free in {to}");
    if moving > room {
        println!(
            "the move would not fit now: {} requests would find no slot",
            moving - room
        );
    }
    Ok(())
}

async fn end(access: &FleetAccess, command: &OperatorCommand) -> Result<()> {
    let name = command.object_name();
    let object = access.store.get(COMMANDS, &name).await?;
    let object = object.ok_or_else(|| Error::not_found("there is no such move"))?;
    access.store.delete(COMMANDS, &name, object.version).await?;
    println!("move has ended");
    Ok(())
}
