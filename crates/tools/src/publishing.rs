//! `fighall-publish`: checks and publishes documents.

use crate::{
    access::{store_client, with_store_argument},
    codes,
    errors::{Error, Result},
    table::TextTable,
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use fighall_config::{
    check::check_documents,
    errors::Error as ConfigError,
    publish::{PublishOptions, publish, read_documents, read_pointer},
    source::{ConfigDocument, SourceDocument, read_document},
};
use fighall_core::{clock::wall_millis, finding::FindingList};

/// Creates the command line.
pub fn command() -> Command {
    let files = || {
        Arg::new("files")
            .required(true)
            .num_args(1..)
            .help("Documents: JSON with comments")
    };
    let command = Command::new("fighall-publish")
        .version(clap::crate_version!())
        .about("Checks and publishes service files")
        .after_help(codes::HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Checks documents and reports all findings")
                .arg(files()),
        )
        .subcommand(
            Command::new("publish")
                .about("Checks documents and puts them in force, all or none")
                .arg(files())
                .arg(
                    Arg::new("author")
                        .long("author")
                        .default_value("unknown")
                        .help("Who publishes"),
                )
                .arg(
                    Arg::new("expect")
                        .long("expect")
                        .value_name("GENERATION")
                        .value_parser(value_parser!(u64))
                        .help("Publishes only if this generation is in force"),
                )
                .arg(
                    Arg::new("remove")
                        .long("remove")
                        .value_name("LABEL")
                        .action(ArgAction::Append)
                        .help("Removes a document, such as service/quote-desk"),
                ),
        )
        .subcommand(
            Command::new("show")
                .about("Prints the documents in force, or one of them")
                .arg(Arg::new("label").help("Label, such as service/quote-desk")),
        )
        .subcommand(Command::new("history").about("Lists the latest publications"));
    with_store_argument(command)
}

/// Runs the command line.
///
/// # Errors
///
/// Returns findings, conflicts and the store's errors.
pub async fn run(matches: ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("check", matches)) => check(matches),
        Some(("publish", matches)) => publish_files(matches).await,
        Some(("show", matches)) => show(matches).await,
        Some(("history", matches)) => history(matches).await,
        _ => Ok(()),
    }
}

fn files_of(matches: &ArgMatches) -> Vec<String> {
    let files = matches.get_many::<String>("files").unwrap_or_default();
    files.cloned().collect()
}

// Every file is read before anything is reported, so that all findings come in one run.
fn read_files(paths: &[String]) -> Result<Vec<SourceDocument>> {
    let mut documents = Vec::new();
    let mut findings = FindingList::new();
    for path in paths {
        let text = std::fs::read_to_string(path).map_err(|source| Error::File {
            path: path.clone(),
            source,
        })?;
        match read_document(path, &text) {
            Ok(document) => documents.push(document),
            Err(list) => findings.extend(list),
        }
    }
    if findings.is_empty() {
        return Ok(documents);
    }
    Err(ConfigError::Findings { findings }.into())
}

fn check(matches: &ArgMatches) -> Result<()> {
    let paths = files_of(matches);
    let documents = read_files(&paths)?;
    let has_fleet = documents
        .iter()
        .any(|source| matches!(source.document, ConfigDocument::Fleet(_)));
    if has_fleet {
        let findings = check_documents(&documents);
        if !findings.is_empty() {
            return Err(ConfigError::Findings { findings }.into());
        }
    }
    println!("{} documents, no findings", documents.len());
    Ok(())
}

async fn publish_files(matches: &ArgMatches) -> Result<()> {
    let documents = read_files(&files_of(matches))?;
    let store = store_client(matches)?;
    let removed = matches.get_many::<String>("remove").unwrap_or_default();
    let author = matches.get_one::<String>("author");
    let options = PublishOptions {
        author: author.cloned().unwrap_or_default(),
        publication: format!("{}-{:x}", wall_millis(), std::process::id()),
        expected: matches.get_one::<u64>("expect").copied(),
        removed: removed.cloned().collect(),
    };
    let report = publish(&store, documents, &options).await?;
    if report.changed.is_empty() {
        println!("generation {} is in force already", report.generation);
        return Ok(());
    }
    println!("generation {} is accepted", report.generation);
    for label in report.changed {
        println!("changed {label}");
    }
    Ok(())
}

async fn show(matches: &ArgMatches) -> Result<()> {
    let store = store_client(matches)?;
    let stored = read_pointer(&store).await?;
    let documents = read_documents(&store, &stored.pointer).await?;
    let wanted = matches.get_one::<String>("label");
    let mut found = false;
    for source in &documents {
        let label = source.document.label();
        if wanted.is_some_and(|wanted| *wanted != label) {
            continue;
        }
        found = true;
        let text = serde_json::to_string_pretty(&source.document).unwrap_or_default();
        println!("// {label}, generation {}", stored.pointer.generation);
        println!("{text}");
    }
    if found || wanted.is_none() {
        return Ok(());
    }
    Err(Error::not_found("no document in force has this label"))
}

async fn history(matches: &ArgMatches) -> Result<()> {
    let store = store_client(matches)?;
    let stored = read_pointer(&store).await?;
    let mut table = TextTable::new(&["GENERATION", "AT (ms)", "AUTHOR", "CHANGED"]);
    for row in &stored.pointer.history {
        table.push(&[
            row.generation.to_string(),
            row.published_at.to_string(),
            row.author.clone(),
            row.changed.join(", "),
        ]);
    }
    print!("{table}");
    Ok(())
}
