//! Settings of an entry instance, read at start from flags and environment variables.
//!
//! [`Settings::from_args`] also checks the values, and error messages leave out secrets.

use std::{net::SocketAddr, str::FromStr, time::Duration};

use baobabvane_wire::Limits;
use clap::{Arg, ArgMatches, value_parser};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Error for a setting that is malformed or out of range.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{flag} {value:?} is not valid, allowed: {allowed}")]
pub struct SettingsError {
    /// The flag with its leading dashes.
    pub flag: &'static str,
    /// The rejected value; `(hidden)` for a secret.
    pub value: String,
    /// The allowed format or range.
    pub allowed: String,
}

/// Another entry instance of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name of the instance, unique in the fleet.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Address where the instance listens for other instances, by TCP and UDP.
    pub address: SocketAddr,
}

/// An operator who may use the operators' API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name that is recorded in the audit trail.
    pub name: String,
    /// Hash of the token, computed by [`baobabvane_domain::hash_api_key`].
    pub token_hash: String,
}

impl Operator {
    /// Creates an operator and hashes the token; the token itself is not stored.
    pub fn new(name: &str, token: &str) -> Self {
        Self { name: name.to_owned(), token_hash: baobabvane_domain::hash_api_key(token) }
    }
}

/// All settings of an entry instance; times are in milliseconds, sizes in bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet; 1 to 64 ASCII letters, digits, `-`, `_` or `.`.
    pub name: String,
    /// Availability zone of the instance, with the same characters as `name`.
    pub zone: String,
    /// Address where callers connect; 127.0.0.1:8080 by default.
    pub listen: SocketAddr,
    /// Address where operators connect; 127.0.0.1:8081 by default.
    pub operator_listen: SocketAddr,
    /// Address of the platform's log; `None` keeps the log in memory, lost with the process.
    pub log: Option<SocketAddr>,
    /// Address where other instances connect, by TCP and UDP; `None` runs without peers.
    pub peer_listen: Option<SocketAddr>,
    /// Secret shared by all instances; at least 8 bytes if `peer_listen` is set.
    pub peer_secret: String,
    /// The other instances; must not contain this instance's name.
    pub peers: Vec<Peer>,
    /// Operators who may use the operators' API.
    pub operators: Vec<Operator>,
    /// Timeout of a request to the log; 10 to 60 000, 2 000 by default.
    pub log_timeout_ms: u64,
    /// Shortest interval between two appends of claims of idempotency keys; 0 to 1 000, 20 by
    /// default.
    pub claim_interval_ms: u64,
    /// Longest time for which an idempotency key may be used after its issue; must be well under
    /// the log's retention; 1 000 to a day, 10 minutes by default.
    pub key_max_age_ms: u64,
    /// Interval at which the whole configuration is appended to the log again; must be well under
    /// the log's retention; 100 to a day, an hour by default.
    pub snapshot_interval_ms: u64,
    /// Largest head of a request; 1 KiB to 1 MiB, 16 KiB by default.
    pub head_bytes: usize,
    /// Largest body of a request; 1 KiB to 256 MiB, 4 MiB by default.
    pub body_bytes: usize,
    /// Timeout for receiving the head of a request; 10 to a day, 10 000 by default.
    pub head_timeout_ms: u64,
    /// Timeout for receiving the body of a request; 10 to a day, 60 000 by default.
    pub body_timeout_ms: u64,
    /// Timeout of an idle connection between requests; 10 to a day, 75 000 by default.
    pub idle_timeout_ms: u64,
    /// Timeout for connecting to an endpoint; 10 to 60 000, 1 000 by default.
    pub connect_timeout_ms: u64,
    /// Longest wait for requests in flight after a stop is requested; 0 to a day, 10 minutes by
    /// default.
    pub drain_timeout_ms: u64,
    /// Largest number of open connections of callers; 1 to 1 000 000, 20 000 by default.
    pub max_connections: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "entry-1".to_owned(),
            zone: "zone-1".to_owned(),
            listen: SocketAddr::from(([127, 0, 0, 1], 8080)),
            operator_listen: SocketAddr::from(([127, 0, 0, 1], 8081)),
            log: None,
            peer_listen: None,
            peer_secret: String::new(),
            peers: Vec::new(),
            operators: Vec::new(),
            log_timeout_ms: 2_000,
            claim_interval_ms: 20,
            key_max_age_ms: 600_000,
            snapshot_interval_ms: 3_600_000,
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 10_000,
            body_timeout_ms: 60_000,
            idle_timeout_ms: 75_000,
            connect_timeout_ms: 1_000,
            drain_timeout_ms: 600_000,
            max_connections: 20_000,
        }
    }
}

/// Upper limit of settings that are durations: one day.
const MAX_DURATION_MS: u64 = 86_400_000;

impl Settings {
    /// Returns the command-line flags, each with its environment variable `BAOBABVANE_<FLAG>` and
    /// default.
    pub fn args() -> Vec<Arg> {
        let d = Self::default();
        vec![
            text_arg("name", "NAME", "Name of the instance, unique in the fleet", &d.name),
            text_arg("zone", "ZONE", "Availability zone that the instance is in", &d.zone),
            text_arg("listen", "IP:PORT", "Where callers connect", &d.listen.to_string()),
            text_arg(
                "operator-listen",
                "IP:PORT",
                "Where operators connect; also serves /metrics",
                &d.operator_listen.to_string(),
            ),
            text_arg(
                "log",
                "IP:PORT",
                "Address of the platform's log; without it the log is in memory and is lost \
                 with the process",
                "",
            ),
            text_arg(
                "peer-listen",
                "IP:PORT",
                "Where other instances connect, by TCP and UDP; without it there are no peers",
                "",
            ),
            text_arg(
                "peer-secret",
                "SECRET",
                "Secret that all instances share; best set by the environment",
                "",
            )
            .hide_env_values(true),
            text_arg(
                "peers",
                "LIST",
                "Other instances as NAME=ZONE=IP:PORT, separated by commas",
                "",
            ),
            text_arg(
                "operator-tokens",
                "LIST",
                "Operators as NAME=TOKEN, separated by commas; best set by the environment",
                "",
            )
            .hide_env_values(true),
            number_arg("log-timeout-ms", "How long the log may take to answer", d.log_timeout_ms),
            number_arg(
                "claim-interval-ms",
                "Shortest interval between two appends of claims of idempotency keys",
                d.claim_interval_ms,
            ),
            number_arg(
                "key-max-age-ms",
                "How long an idempotency key may be used; must be well under the log's retention",
                d.key_max_age_ms,
            ),
            number_arg(
                "snapshot-interval-ms",
                "Interval at which the whole configuration is appended to the log again; must be \
                 well under the log's retention",
                d.snapshot_interval_ms,
            ),
            number_arg("head-bytes", "Largest head of a request, in bytes", d.head_bytes as u64),
            number_arg("body-bytes", "Largest body of a request, in bytes", d.body_bytes as u64),
            number_arg(
                "head-timeout-ms",
                "Timeout for receiving the head of a request",
                d.head_timeout_ms,
            ),
            number_arg(
                "body-timeout-ms",
                "Timeout for receiving the body of a request",
                d.body_timeout_ms,
            ),
            number_arg(
                "idle-timeout-ms",
                "How long a caller's connection may be silent between requests",
                d.idle_timeout_ms,
            ),
            number_arg(
                "connect-timeout-ms",
                "How long connecting to an endpoint may take",
                d.connect_timeout_ms,
            ),
            number_arg(
                "drain-timeout-ms",
                "Longest wait for requests in flight after a stop is requested",
                d.drain_timeout_ms,
            ),
            number_arg(
                "max-connections",
                "Largest number of open connections of callers",
                d.max_connections as u64,
            ),
        ]
    }

    /// Reads the settings from parsed flags and checks them.
    ///
    /// # Errors
    ///
    /// Returns an error for the first flag that is malformed or out of range.
    pub fn from_args(args: &ArgMatches) -> Result<Self, SettingsError> {
        let string = |flag: &str| args.get_one::<String>(flag).cloned().unwrap_or_default();
        let number = |flag: &str| args.get_one::<u64>(flag).copied().unwrap_or_default();
        let settings = Self {
            name: string("name"),
            zone: string("zone"),
            listen: parse("--listen", &string("listen"), ADDRESS_FORMAT)?,
            operator_listen: parse(
                "--operator-listen",
                &string("operator-listen"),
                ADDRESS_FORMAT,
            )?,
            log: match string("log") {
                log if log.is_empty() => None,
                log => Some(parse("--log", &log, ADDRESS_FORMAT)?),
            },
            peer_listen: match string("peer-listen") {
                address if address.is_empty() => None,
                address => Some(parse("--peer-listen", &address, ADDRESS_FORMAT)?),
            },
            peer_secret: string("peer-secret"),
            peers: split_list(&string("peers")).map(parse_peer).collect::<Result<_, _>>()?,
            operators: split_list(&string("operator-tokens"))
                .map(parse_operator)
                .collect::<Result<_, _>>()?,
            log_timeout_ms: number("log-timeout-ms"),
            claim_interval_ms: number("claim-interval-ms"),
            key_max_age_ms: number("key-max-age-ms"),
            snapshot_interval_ms: number("snapshot-interval-ms"),
            head_bytes: number("head-bytes") as usize,
            body_bytes: number("body-bytes") as usize,
            head_timeout_ms: number("head-timeout-ms"),
            body_timeout_ms: number("body-timeout-ms"),
            idle_timeout_ms: number("idle-timeout-ms"),
            connect_timeout_ms: number("connect-timeout-ms"),
            drain_timeout_ms: number("drain-timeout-ms"),
            max_connections: number("max-connections") as usize,
        };
        settings.check()?;
        Ok(settings)
    }

    /// Checks the instance name, the zone, the numeric ranges, the peer secret and the peer names.
    ///
    /// # Errors
    ///
    /// Returns an error for the first flag whose value is not allowed.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_name("--name", &self.name)?;
        check_name("--zone", &self.zone)?;
        check_range("--log-timeout-ms", self.log_timeout_ms, 10, 60_000)?;
        check_range("--claim-interval-ms", self.claim_interval_ms, 0, 1_000)?;
        check_range("--key-max-age-ms", self.key_max_age_ms, 1_000, MAX_DURATION_MS)?;
        check_range("--snapshot-interval-ms", self.snapshot_interval_ms, 100, MAX_DURATION_MS)?;
        check_range("--head-bytes", self.head_bytes as u64, 1024, 1024 * 1024)?;
        check_range("--body-bytes", self.body_bytes as u64, 1024, 256 * 1024 * 1024)?;
        check_range("--head-timeout-ms", self.head_timeout_ms, 10, MAX_DURATION_MS)?;
        check_range("--body-timeout-ms", self.body_timeout_ms, 10, MAX_DURATION_MS)?;
        check_range("--idle-timeout-ms", self.idle_timeout_ms, 10, MAX_DURATION_MS)?;
        check_range("--connect-timeout-ms", self.connect_timeout_ms, 10, 60_000)?;
        check_range("--drain-timeout-ms", self.drain_timeout_ms, 0, MAX_DURATION_MS)?;
        check_range("--max-connections", self.max_connections as u64, 1, 1_000_000)?;
        if self.peer_listen.is_some() && self.peer_secret.len() < MIN_SECRET_BYTES {
            return Err(SettingsError {
                flag: "--peer-secret",
                value: "(hidden)".to_owned(),
                allowed: format!("at least {MIN_SECRET_BYTES} bytes when --peer-listen is set"),
            });
        }
        match self.peers.iter().find(|p| p.name == self.name) {
            Some(peer) => Err(SettingsError {
                flag: "--peers",
                value: peer.name.clone(),
                allowed: "the names of other instances".to_owned(),
            }),
            None => Ok(()),
        }
    }

    pub(crate) fn wire_limits(&self) -> Limits {
        Limits {
            head_bytes: self.head_bytes,
            body_bytes: self.body_bytes,
            idle_timeout: Duration::from_millis(self.idle_timeout_ms),
            head_timeout: Duration::from_millis(self.head_timeout_ms),
            body_timeout: Duration::from_millis(self.body_timeout_ms),
            ..Limits::default()
        }
    }
}

const ADDRESS_FORMAT: &str = "an IP address and a port, such as 127.0.0.1:8080";

fn text_arg(name: &'static str, value: &'static str, help: &'static str, default: &str) -> Arg {
    let arg = Arg::new(name).long(name).value_name(value).help(help).env(env_name(name));
    if default.is_empty() { arg } else { arg.default_value(default.to_owned()) }
}

fn number_arg(name: &'static str, help: &'static str, default: u64) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .env(env_name(name))
        .value_parser(value_parser!(u64))
        .default_value(default.to_string())
}

fn env_name(flag: &str) -> String {
    format!("BAOBABVANE_{}", flag.replace('-', "_").to_uppercase())
}

fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').map(str::trim).filter(|item| !item.is_empty())
}

fn parse<T: FromStr>(flag: &'static str, value: &str, allowed: &str) -> Result<T, SettingsError> {
    value.parse().map_err(|_| SettingsError {
        flag,
        value: value.to_owned(),
        allowed: allowed.to_owned(),
    })
}

fn parse_peer(item: &str) -> Result<Peer, SettingsError> {
    let invalid = || SettingsError {
        flag: "--peers",
        value: item.to_owned(),
        allowed: "NAME=ZONE=IP:PORT".to_owned(),
    };
    let mut parts = item.splitn(3, '=');
    let (Some(name), Some(zone), Some(address)) = (parts.next(), parts.next(), parts.next()) else {
        return Err(invalid());
    };
    let address = address.parse().map_err(|_| invalid())?;
    Ok(Peer { name: name.to_owned(), zone: zone.to_owned(), address })
}

/// Shortest peer secret and shortest operator's token.
const MIN_SECRET_BYTES: usize = 8;

fn parse_operator(item: &str) -> Result<Operator, SettingsError> {
    match item.split_once('=') {
        Some((name, token)) if !name.is_empty() && token.len() >= MIN_SECRET_BYTES => {
            Ok(Operator::new(name, token))
        }
        // Hides the value, as it contains a token.
        _ => Err(SettingsError {
            flag: "--operator-tokens",
            value: "(hidden)".to_owned(),
            allowed: format!("NAME=TOKEN with tokens of at least {MIN_SECRET_BYTES} bytes"),
        }),
    }
}

fn check_name(flag: &'static str, value: &str) -> Result<(), SettingsError> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    if !value.is_empty() && value.len() <= 64 && value.bytes().all(allowed) {
        return Ok(());
    }
    Err(SettingsError {
        flag,
        value: value.to_owned(),
        allowed: "1 to 64 letters, digits, '-', '_' or '.'".to_owned(),
    })
}

fn check_range(flag: &'static str, value: u64, min: u64, max: u64) -> Result<(), SettingsError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(SettingsError { flag, value: value.to_string(), allowed: format!("{min} to {max}") })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn default_settings_are_valid() {
        Settings::default().check().unwrap();
    }

    #[test]
    fn error_message_contains_flag_value_and_range() {
        let settings = Settings { head_bytes: 10, ..Settings::default() };
        let err = settings.check().unwrap_err().to_string();
        assert_eq!(err, "--head-bytes \"10\" is not valid, allowed: 1024 to 1048576");
    }

    #[test]
    fn error_for_a_short_token_hides_the_token() {
        let err = parse_operator("ann=short").unwrap_err().to_string();
        assert!(!err.contains("short"), "{err}");
    }
}
