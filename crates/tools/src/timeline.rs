//! `fighall-timeline`: merges the events of all processes into one time line.

use crate::{
    access::{FleetAccess, with_operator_arguments},
    codes,
    errors::{Error, Result},
    logs::{self, LogLine},
    page,
};
use clap::{Arg, ArgAction, ArgMatches, Command};
use fighall_core::{
    clock::HybridStamp,
    event::{EventKind, TimelineEvent},
    ids::HostId,
    value,
};
use fighall_entry::status::EventBatch;
use std::{collections::BTreeMap, time::Duration};

/// Pause between looks while events are followed.
const FOLLOW_PAUSE: Duration = Duration::from_millis(500);

value! {
    /// `EventFilter` picks events.
    #[derive(Default)]
    pub struct EventFilter {
        /// Request.
        pub request: Option<String>,
        /// Organisation.
        pub organisation: Option<String>,
        /// Target.
        pub target: Option<String>,
        /// Host.
        pub host: Option<String>,
        /// Kind, as in the JSON.
        pub kind: Option<String>,
    }
}

impl EventFilter {
    /// Creates the filter of command line arguments.
    pub fn new(matches: &ArgMatches) -> Self {
        let text = |name: &str| matches.get_one::<String>(name).cloned();
        Self {
            request: text("request"),
            organisation: text("organisation"),
            target: text("target"),
            host: text("host"),
            kind: text("kind"),
        }
    }

    /// Tells whether an event is picked.
    pub fn takes(&self, event: &TimelineEvent) -> bool {
        let subject = &event.subject;
        let fits = |wanted: &Option<String>, found: Option<&String>| {
            wanted.as_ref().is_none_or(|wanted| Some(wanted) == found)
        };
        fits(&self.request, subject.request.as_ref())
            && fits(&self.organisation, subject.organisation.as_ref())
            && fits(&self.target, subject.target.as_ref())
            && fits(&self.host, Some(&event.host))
            && fits(&self.kind, Some(&kind_name(&event.kind)))
    }

    /// Tells whether a line of a log is picked.
    pub fn takes_line(&self, line: &LogLine) -> bool {
        let field = |name: &str| line.fields.get(name).and_then(|value| value.as_str());
        let fits = |wanted: &Option<String>, found: Option<&str>| {
            wanted
                .as_ref()
                .is_none_or(|wanted| Some(wanted.as_str()) == found)
        };
        fits(&self.request, line.request.as_deref())
            && fits(&self.organisation, field("organisation"))
            && fits(&self.target, field("target"))
            && fits(&self.host, Some(&line.host))
    }
}

/// Creates the command line.
pub fn command() -> Command {
    let option = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    let command = Command::new("fighall-timeline")
        .version(clap::crate_version!())
        .about("Merges the events of all entry hosts into one time line")
        .after_help(codes::HELP)
        .arg(option("request", "Only events of this request"))
        .arg(option("organisation", "Only events of this organisation"))
        .arg(option("target", "Only events of this target"))
        .arg(option("host", "Only events of this host"))
        .arg(option("kind", "Only events of this kind, such as placed"))
        .arg(
            Arg::new("html")
                .long("html")
                .value_name("FILE")
                .help("Writes one self-contained page"),
        )
        .arg(
            Arg::new("follow")
                .long("follow")
                .action(ArgAction::SetTrue)
                .help("Goes on with new events"),
        )
        .arg(
            Arg::new("file")
                .long("file")
                .value_name("FILE")
                .action(ArgAction::Append)
                .help("Reads events from JSON lines in place of the hosts"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("FILE")
                .action(ArgAction::Append)
                .conflicts_with_all(["file", "follow", "html", "kind"])
                .help("Merges the logs of gateways in place of events"),
        );
    with_operator_arguments(command)
}

/// Runs the command line.
///
/// # Errors
///
/// Returns the errors of the store, the hosts and files.
pub async fn run(matches: ArgMatches) -> Result<()> {
    let filter = EventFilter::new(&matches);
    if let Some(paths) = matches.get_many::<String>("logs") {
        print_logs(&filter, &paths.cloned().collect::<Vec<_>>())?;
        return Ok(());
    }
    if let Some(paths) = matches.get_many::<String>("file") {
        let events = read_files(&paths.cloned().collect::<Vec<_>>())?;
        return output(&matches, &filter, merge(events));
    }
    let access = FleetAccess::new(&matches)?;
    let mut position = BTreeMap::new();
    let events = collect(&access, &mut position).await?;
    output(&matches, &filter, merge(events))?;
    while matches.get_flag("follow") {
        compio::time::sleep(FOLLOW_PAUSE).await;
        let events = collect(&access, &mut position).await?;
        print_events(&filter, merge(events), access.json);
    }
    Ok(())
}

/// Runs `fighall-ctl trace`.
///
/// # Errors
///
/// Returns an error when no host knows the request.
pub async fn trace(access: &FleetAccess, matches: &ArgMatches) -> Result<()> {
    let filter = EventFilter {
        request: matches.get_one::<String>("request").cloned(),
        ..EventFilter::default()
    };
    let events = merge(collect(access, &mut BTreeMap::new()).await?);
    if !events.iter().any(|event| filter.takes(event)) {
        return Err(Error::not_found("no host remembers this request"));
    }
    print_events(&filter, events, access.json);
    Ok(())
}

/// Collects the events of all hosts after the positions, and moves these on.
///
/// # Errors
///
/// Returns the store's error. Hosts that do not answer are named on standard error.
pub async fn collect(
    access: &FleetAccess,
    position: &mut BTreeMap<HostId, HybridStamp>,
) -> Result<Vec<TimelineEvent>> {
    let mut events = Vec::new();
    for lease in access.leases().await? {
        let after = position.get(&lease.host);
        let target = match after {
            Some(stamp) => format!("/events?after={}.{}", stamp.millis, stamp.counter),
            None => "/events".to_owned(),
        };
        let batch: EventBatch = match access.page(&lease, &target).await {
            Ok(batch) => batch,
            Err(error) => {
                eprintln!("{error}");
                continue;
            }
        };
        if let Some(last) = batch.events.last() {
            position.insert(lease.host.clone(), last.stamp);
        }
        events.extend(batch.events);
    }
    Ok(events)
}

/// Sorts events by their hybrid time, which respects cause and effect between hosts.
pub fn merge(mut events: Vec<TimelineEvent>) -> Vec<TimelineEvent> {
    events.sort_by(|a, b| (a.stamp, &a.host).cmp(&(b.stamp, &b.host)));
    events
}

fn read_files(paths: &[String]) -> Result<Vec<TimelineEvent>> {
    let mut events = Vec::new();
    for path in paths {
        let text = std::fs::read_to_string(path).map_err(|source| Error::File {
            path: path.clone(),
            source,
        })?;
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() {
                continue;
            }
            let event = serde_json::from_str(line)
                .map_err(|error| Error::not_found(format!("{path}:{}: {error}", index + 1)))?;
            events.push(event);
        }
    }
    Ok(events)
}

fn output(matches: &ArgMatches, filter: &EventFilter, events: Vec<TimelineEvent>) -> Result<()> {
    if let Some(path) = matches.get_one::<String>("html") {
        let picked: Vec<_> = events
            .into_iter()
            .filter(|event| filter.takes(event))
            .collect();
        let count = picked.len();
        std::fs::write(path, page::render(&picked)).map_err(|source| Error::File {
            path: path.clone(),
            source,
        })?;
        println!("{count} events in {path}");
        return Ok(());
    }
    print_events(filter, events, matches.get_flag("json"));
    Ok(())
}

fn print_logs(filter: &EventFilter, paths: &[String]) -> Result<()> {
    for line in logs::read(paths)? {
        if filter.takes_line(&line) {
            println!("{}", line.text());
        }
    }
    Ok(())
}

fn print_events(filter: &EventFilter, events: Vec<TimelineEvent>, json: bool) {
    for event in events {
        if !filter.takes(&event) {
            continue;
        }
        if json {
            println!("{}", serde_json::to_string(&event).unwrap_or_default());
        } else {
            println!("{}", line(&event));
        }
    }
}

/// Gets the name of an event's kind, as in the JSON.
pub fn kind_name(kind: &EventKind) -> String {
    let name = match kind {
        EventKind::Placed { .. } => "placed",
        EventKind::Forwarded { .. } => "forwarded",
        EventKind::Answered { .. } => "answered",
        EventKind::Refused { .. } => "refused",
        EventKind::Retried { .. } => "retried",
        EventKind::ConfigApplied { .. } => "config_applied",
        EventKind::ConfigRejected { .. } => "config_rejected",
        EventKind::KeyWithdrawn { .. } => "key_withdrawn",
        EventKind::LeaseChanged { .. } => "lease_changed",
        EventKind::LoanGranted { .. } => "loan_granted",
        EventKind::LoanAccepted { .. } => "loan_accepted",
        EventKind::PeerUp => "peer_up",
        EventKind::PeerDown { .. } => "peer_down",
        EventKind::TargetChanged { .. } => "target_changed",
        EventKind::StoreChanged { .. } => "store_changed",
        EventKind::StageEntered { .. } => "stage_entered",
    };
    name.to_owned()
}

/// Gets an event as one line of text.
pub fn line(event: &TimelineEvent) -> String {
    let subject = &event.subject;
    let mut text = format!(
        "{} {:<12} {:<15}",
        time(event.stamp),
        event.host,
        kind_name(&event.kind)
    );
    let named = [
        ("request", &subject.request),
        ("org", &subject.organisation),
        ("target", &subject.target),
        ("peer", &subject.peer),
    ];
    for (name, value) in named {
        if let Some(value) = value {
            text.push_str(&format!(" {name}={value}"));
        }
    }
    let details = details(&event.kind);
    if !details.is_empty() {
        text.push_str(&format!(": {details}"));
    }
    text
}

/// Gets what happened in words.
pub fn details(kind: &EventKind) -> String {
    match kind {
        EventKind::Placed {
            generation,
            region,
            reason,
            runners_up,
            wait_us,
            share_left,
        } => {
            let lost: Vec<_> = runners_up
                .iter()
                .map(|runner| format!("{} ({})", runner.name, runner.reason))
                .collect();
            format!(
                "{reason} in {region}, generation {generation}, waited {wait_us} us, {:.1} tokens left, over {}",
                thousandths(*share_left),
                lost.join(", ")
            )
        }
        EventKind::Forwarded { region } => format!("to {region}"),
        EventKind::Answered { status, micros } => format!("{status} after {micros} us"),
        EventKind::Refused {
            reason,
            run,
            evidence,
        } => format!("{reason:?}, run {run:?}: {evidence}"),
        EventKind::Retried { cause }
        | EventKind::PeerDown { cause }
        | EventKind::ConfigRejected { cause, .. } => cause.clone(),
        EventKind::ConfigApplied { generation } => format!("generation {generation}"),
        EventKind::KeyWithdrawn { digest } => format!("digest {digest}…"),
        EventKind::LeaseChanged { member, cause } => match member {
            Some(member) => format!("member {member}: {cause}"),
            None => cause.clone(),
        },
        EventKind::LoanGranted { quota, tokens } | EventKind::LoanAccepted { quota, tokens } => {
            format!("{quota}, {:.3} tokens", thousandths(*tokens))
        }
        EventKind::TargetChanged { state } => state.clone(),
        EventKind::StoreChanged { up } => if *up { "up" } else { "down" }.to_owned(),
        EventKind::StageEntered { stage } => stage.clone(),
        EventKind::PeerUp => String::new(),
    }
}

fn thousandths(amount: u64) -> f64 {
    u32::try_from(amount).map_or(f64::INFINITY, f64::from) / 1_000.0
}

fn time(stamp: HybridStamp) -> String {
    let millis = stamp.millis % 86_400_000;
    let seconds = millis / 1_000;
    format!(
        "{:02}:{:02}:{:02}.{:03}.{:<3}",
        seconds / 3_600,
        seconds / 60 % 60,
        seconds % 60,
        millis % 1_000,
        stamp.counter
    )
}
