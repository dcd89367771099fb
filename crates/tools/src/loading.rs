//! `fighall-load`: open-loop load against entry hosts, by an experiment file.

use crate::{
    codes,
    errors::{Error, Result},
};
use clap::{Arg, ArgAction, ArgMatches, Command};
use fighall_config::errors::Error as ConfigError;
use fighall_core::{
    document::{ObjectReader, SourceText},
    field::{FieldSpec, FieldTable},
    value,
};
use fighall_testkit::{
    load::{LoadStream, run as run_load},
    record::TargetRecord,
    report::ReportFile,
    target::RECORD_PATH,
};
use std::time::Duration;

/// Fields of an experiment file.
pub const EXPERIMENT_TABLE: FieldTable = FieldTable::new(
    "Experiment of `fighall-load`",
    &[
        FieldSpec::texts("entries", "Addresses of entry hosts to look hosts up at"),
        FieldSpec::texts(
            "targets",
            "Addresses of target stand-ins whose counts are compared",
        ),
        FieldSpec::integer(
            "seconds",
            "seconds",
            (1, 3_600),
            Some(10),
            "Length of the load",
        ),
        FieldSpec::objects("streams", "Streams of requests"),
    ],
);

/// Fields of a stream.
pub const STREAM_TABLE: FieldTable = FieldTable::new(
    "Stream of an experiment",
    &[
        FieldSpec::text("name", "Name in the report"),
        FieldSpec::text_or("organisation", "", "Organisation, for look-ups"),
        FieldSpec::text_or("key", "", "Key; empty sends none"),
        FieldSpec::texts(
            "more_keys",
            "Further keys, taken in turn with the first one",
        ),
        FieldSpec::integer(
            "key_turn_ms",
            "milliseconds",
            (0, 3_600_000),
            Some(0),
            "Time for which one key is used before the next; 0 keeps the first",
        ),
        FieldSpec::text("service", "Service, for look-ups"),
        FieldSpec::text("host", "Host name"),
        FieldSpec::text_or("method", "GET", "Method"),
        FieldSpec::text_or("target", "/", "Path and query"),
        FieldSpec::integer(
            "rate",
            "requests/s",
            (1, 1_000_000),
            Some(10),
            "Requests a second",
        ),
        FieldSpec::integer(
            "batch",
            "requests",
            (1, 100_000),
            Some(1),
            "Requests sent at once, at that rate on average",
        ),
        FieldSpec::integer(
            "work_us",
            "microseconds",
            (0, 60_000_000),
            Some(0),
            "Service time asked of target stand-ins; 0 asks for none",
        ),
        FieldSpec::integer(
            "answer_bytes",
            "bytes",
            (0, 100_000_000),
            Some(0),
            "Size of answers asked of target stand-ins",
        ),
        FieldSpec::integer(
            "body_bytes",
            "bytes",
            (0, 100_000_000),
            Some(0),
            "Size of request bodies",
        ),
        FieldSpec::flag(
            "marked",
            true,
            "Marks requests, to find doubled and lost ones",
        ),
        FieldSpec::flag(
            "idempotency_keys",
            false,
            "Sends an idempotency key with each",
        ),
        FieldSpec::text_or("entry", "", "Sends all to this address, without look-ups"),
    ],
);

value! {
    /// `LoadExperiment` is one run of load.
    pub struct LoadExperiment {
        /// Entry hosts to look hosts up at.
        pub entries: Vec<String>,
        /// Target stand-ins.
        pub targets: Vec<String>,
        /// Length.
        pub time: Duration,
        /// Streams.
        pub streams: Vec<LoadStream>,
    }
}

impl LoadExperiment {
    /// Reads an experiment from a file's text.
    ///
    /// # Errors
    ///
    /// Returns all findings with their places.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let read = SourceText::new(file, text).read(&EXPERIMENT_TABLE, Self::read);
        read.map_err(|findings| ConfigError::Findings { findings }.into())
    }

    fn read(reader: &ObjectReader<'_, '_>) -> Option<Self> {
        let experiment = Self {
            entries: reader.texts("entries"),
            targets: reader.texts("targets"),
            time: Duration::from_secs(reader.integer("seconds")),
            streams: reader.objects("streams", &STREAM_TABLE, read_stream),
        };
        if experiment.streams.is_empty() {
            reader.report("streams", "an experiment needs at least one stream");
        }
        Some(experiment)
    }
}

fn read_stream(reader: &ObjectReader<'_, '_>) -> Option<LoadStream> {
    let count = |name: &str| u32::try_from(reader.integer(name)).unwrap_or(u32::MAX);
    Some(LoadStream {
        name: reader.text("name"),
        organisation: reader.text("organisation"),
        key: reader.text("key"),
        more_keys: reader.texts("more_keys"),
        key_turn_ms: reader.integer("key_turn_ms"),
        service: reader.text("service"),
        host: reader.text("host"),
        method: reader.text("method"),
        target: reader.text("target"),
        rate: f64::from(count("rate")),
        batch: count("batch"),
        work_us: reader.integer("work_us"),
        answer_bytes: usize::try_from(reader.integer("answer_bytes")).unwrap_or(0),
        body_bytes: usize::try_from(reader.integer("body_bytes")).unwrap_or(0),
        marked: reader.flag("marked"),
        idempotency_keys: reader.flag("idempotency_keys"),
        entry: reader.text("entry"),
    })
}

/// Creates the command line.
pub fn command() -> Command {
    Command::new("fighall-load")
        .version(clap::crate_version!())
        .about("Sends open-loop load through entry hosts and reports by organisation")
        .after_help(codes::HELP)
        .arg(
            Arg::new("experiment")
                .required(true)
                .help("Experiment file: JSON with comments"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints JSON"),
        )
        .arg(
            Arg::new("compare")
                .long("compare")
                .value_name("REPORT")
                .help("Compares with an earlier JSON report"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Only checks the experiment file"),
        )
}

/// Runs the command line.
///
/// # Errors
///
/// Returns findings, and an error when no entry host answers.
pub async fn run(matches: ArgMatches) -> Result<()> {
    let path = matches
        .get_one::<String>("experiment")
        .cloned()
        .unwrap_or_default();
    let experiment = LoadExperiment::parse(&path, &read_file(&path)?)?;
    if matches.get_flag("check") {
        println!("{path}: no findings");
        return Ok(());
    }
    let earlier = match matches.get_one::<String>("compare") {
        Some(path) => {
            let report: ReportFile = serde_json::from_str(&read_file(path)?)
                .map_err(|error| Error::not_found(format!("{path}: {error}")))?;
            Some(report)
        }
        None => None,
    };
    let load = run_load(&experiment.streams, &experiment.entries, experiment.time).await;
    let records = read_records(&experiment.targets).await?;
    let report = load.file(&records);
    if matches.get_flag("json") {
        println!(
            "{}",
            serde_json::to_string_pretty(&report).unwrap_or_default()
        );
    } else {
        print!("{}", report.text());
    }
    if let Some(earlier) = earlier {
        eprint!("{}", report.compare(&earlier));
    }
    Ok(())
}

fn read_file(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })
}

async fn read_records(targets: &[String]) -> Result<Vec<TargetRecord>> {
    let http = cyper::Client::builder()
        .no_proxy()
        .build()
        .map_err(|error| Error::host("client", error))?;
    let mut records = Vec::new();
    for target in targets {
        let url = format!("http://{target}{RECORD_PATH}");
        let failed = |error: cyper::Error| Error::host(target, error);
        let answer = http
            .get(url)
            .map_err(failed)?
            .send()
            .await
            .map_err(failed)?;
        let bytes = answer.bytes().await.map_err(failed)?;
        let record = serde_json::from_slice(&bytes).map_err(|error| Error::host(target, error))?;
        records.push(record);
    }
    Ok(records)
}
