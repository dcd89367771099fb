//! How the tools reach the store and the operators' addresses of the hosts.

use crate::{
    codes,
    errors::{Error, Result},
};
use clap::{Arg, ArgAction, ArgMatches, Command};
use fighall_core::secret::SecretText;
use fighall_entry::operator::TOKEN_HEADER;
use fighall_membership::{lease::MemberLease, table::TableOptions};
use fighall_store::{
    client::{ClientOptions, StoreClient},
    object::kinds::MEMBERS,
};
use serde::de::DeserializeOwned;
use std::{future::Future, process::ExitCode, time::Duration};

/// Environment variable with the store's address.
pub const STORE_VARIABLE: &str = "FIGHALL_STORE";
/// Longest wait for a host's answer.
const HOST_LIMIT: Duration = Duration::from_secs(3);

/// `FleetAccess` reaches the store and the hosts.
pub struct FleetAccess {
    /// Client of the store.
    pub store: StoreClient,
    http: cyper::Client,
    token: SecretText,
    /// Whether output is JSON.
    pub json: bool,
}

impl std::fmt::Debug for FleetAccess {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FleetAccess").finish_non_exhaustive()
    }
}

/// Adds the arguments by which the store is reached.
pub fn with_store_argument(command: Command) -> Command {
    command.arg(
        Arg::new("store")
            .long("store")
            .value_name("IP:PORT")
            .global(true)
            .help("Address of the platform's store [default: FIGHALL_STORE]"),
    )
}

/// Adds the arguments that reading operators' pages needs.
pub fn with_operator_arguments(command: Command) -> Command {
    with_store_argument(command)
        .arg(
            Arg::new("token-file")
                .long("token-file")
                .value_name("FILE")
                .global(true)
                .help("File with the operators' token [default: FIGHALL_OPERATOR_TOKEN]"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Prints JSON"),
        )
}

/// Gets the store's client of the arguments or the environment.
///
/// # Errors
///
/// Returns an error when no address is given.
pub fn store_client(matches: &ArgMatches) -> Result<StoreClient> {
    let given = matches.get_one::<String>("store").cloned();
    let address = given.or_else(|| std::env::var(STORE_VARIABLE).ok());
    let address =
        address.ok_or_else(|| Error::not_found(format!("give --store or set {STORE_VARIABLE}")))?;
    Ok(StoreClient::new(ClientOptions::with_long_timeout(address))?)
}

impl FleetAccess {
    /// Creates the access of the arguments or the environment.
    ///
    /// # Errors
    ///
    /// Returns an error when the store's address or the operators' token is missing.
    pub fn new(matches: &ArgMatches) -> Result<Self> {
        let store = store_client(matches)?;
        let token = match matches.get_one::<String>("token-file") {
            Some(path) => std::fs::read_to_string(path).map_err(|source| Error::File {
                path: path.clone(),
                source,
            })?,
            None => std::env::var(fighall_entry::settings::TOKEN_VARIABLE)
                .map_err(|_| Error::not_found("give --token-file or set FIGHALL_OPERATOR_TOKEN"))?,
        };
        Self::with_parts(store, token.trim(), matches.get_flag("json"))
    }

    /// Creates the access of a store's client and a token.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP client cannot be set up.
    pub fn with_parts(store: StoreClient, token: &str, json: bool) -> Result<Self> {
        let http = cyper::Client::builder()
            .no_proxy()
            .build()
            .map_err(|error| Error::host("client", error))?;
        Ok(Self {
            store,
            http,
            token: SecretText::new(token.to_owned()),
            json,
        })
    }

    /// Lists the leases of all entry hosts that hold a member id.
    ///
    /// # Errors
    ///
    /// Returns the store's error.
    pub async fn leases(&self) -> Result<Vec<MemberLease>> {
        let list = self.store.list(MEMBERS).await?;
        let mut leases = Vec::new();
        for object in &list.objects {
            let Ok(lease) = serde_json::from_str::<MemberLease>(&object.value) else {
                continue;
            };
            if !lease.released {
                leases.push(lease);
            }
        }
        leases.sort_by(|a, b| a.host.cmp(&b.host));
        Ok(leases)
    }

    /// Reads a JSON page of a host.
    ///
    /// # Errors
    ///
    /// Returns an error when the host gives no usable answer.
    pub async fn page<T: DeserializeOwned>(&self, lease: &MemberLease, target: &str) -> Result<T> {
        let bytes = self.exchange(lease, "GET", target, String::new()).await?;
        serde_json::from_slice(&bytes).map_err(|error| Error::host(&lease.host, error))
    }

    /// Sends a JSON body to a host.
    ///
    /// # Errors
    ///
    /// Returns an error when the host does not take it.
    pub async fn post(&self, lease: &MemberLease, target: &str, body: String) -> Result<()> {
        self.exchange(lease, "POST", target, body).await?;
        Ok(())
    }

    async fn exchange(
        &self,
        lease: &MemberLease,
        method: &str,
        target: &str,
        body: String,
    ) -> Result<Vec<u8>> {
        let host = &lease.host;
        let url = format!("http://{}{target}", lease.operator_address);
        let method = http::Method::from_bytes(method.as_bytes())
            .map_err(|error| Error::host(host, error))?;
        let request = self
            .http
            .request(method, url)
            .and_then(|request| request.header(TOKEN_HEADER, self.token.reveal()))
            .map_err(|error| Error::host(host, error))?;
        let sent = compio::time::timeout(HOST_LIMIT, request.body(body).send()).await;
        let answer = sent
            .map_err(|_| Error::host(host, "no answer in time"))?
            .map_err(|error| Error::host(host, error))?;
        let status = answer.status();
        let bytes = answer.bytes().await;
        let bytes = bytes.map_err(|error| Error::host(host, error))?;
        if !status.is_success() {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            return Err(Error::host(host, format!("status {status}: {text}")));
        }
        Ok(bytes.to_vec())
    }
}

/// Gets a time after which a host that does not answer counts as gone.
pub fn patience() -> Duration {
    TableOptions::default().lease_time
}

/// Runs a tool's work and turns its outcome into an exit code.
pub fn run(work: impl Future<Output = Result<()>>) -> ExitCode {
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("the runtime could not start: {error}");
            return ExitCode::from(codes::UNAVAILABLE);
        }
    };
    match runtime.block_on(work) {
        Ok(()) => ExitCode::from(codes::OK),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.code())
        }
    }
}
