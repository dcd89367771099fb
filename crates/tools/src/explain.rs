//! `fighall-ctl explain`.

use crate::{
    access::FleetAccess,
    errors::{Error, Result},
    table::TextTable,
};
use clap::{Arg, ArgMatches, Command};
use fighall_entry::status::ExplainAnswer;
use fighall_store::path::RequestPath;

/// Creates the subcommand.
pub fn command() -> Command {
    Command::new("explain")
        .about("Shows which target a request would get now, and why each other one lost")
        .arg(Arg::new("service").required(true))
        .arg(
            Arg::new("host")
                .long("host")
                .help("Entry host to ask [default: all]"),
        )
        .arg(
            Arg::new("organisation")
                .long("organisation")
                .default_value("")
                .help("Organisation of the request"),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Returns an error when no host answers.
pub async fn run(access: &FleetAccess, matches: &ArgMatches) -> Result<()> {
    let service = matches
        .get_one::<String>("service")
        .cloned()
        .unwrap_or_default();
    let organisation = matches
        .get_one::<String>("organisation")
        .cloned()
        .unwrap_or_default();
    let wanted = matches.get_one::<String>("host");
    let target = RequestPath::new("/explain")
        .with_parameter("service", &service)
        .with_parameter("organisation", &organisation)
        .into_text();
    let mut answers = Vec::new();
    for lease in access.leases().await? {
        if wanted.is_some_and(|wanted| *wanted != lease.host) {
            continue;
        }
        answers.push(access.page::<ExplainAnswer>(&lease, &target).await?);
    }
    if answers.is_empty() {
        return Err(Error::not_found("there is no such host"));
    }
    if access.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&answers).unwrap_or_default()
        );
        return Ok(());
    }
    for answer in &answers {
        print_answer(answer);
    }
    Ok(())
}

fn print_answer(answer: &ExplainAnswer) {
    let target = answer
        .target
        .as_deref()
        .unwrap_or("none; another region or the queue");
    println!(
        "{} in {}: {target}, expected wait {} ms",
        answer.host, answer.region, answer.wait_ms
    );
    let mut table = TextTable::new(&["TARGET", "BUSY", "SLOTS", "OWN ZONE", "VERDICT"]);
    for candidate in &answer.candidates {
        table.push(&[
            candidate.target.clone(),
            candidate.busy.to_string(),
            candidate.slots.to_string(),
            if candidate.same_zone { "yes" } else { "no" }.to_owned(),
            candidate.verdict.clone(),
        ]);
    }
    println!("{table}");
}
