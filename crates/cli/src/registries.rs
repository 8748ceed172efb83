//! Calls on the registries: each is tried in turn, until one has given an answer that settles the call.

mod exchange;

use crate::error::CommandError;
use exchange::Answer;
use jzon::JsonValue;
use net::http;
use std::net::SocketAddr;

/// Answers of a registry that did not carry out the call and lets it be tried elsewhere.
const NOT_CARRIED_OUT: [u16; 2] = [408, 429];

/// One HTTP call on a registry's control port.
pub struct Call<'a> {
    pub method: &'a str,
    pub target: String,
    /// The version or epoch that a change builds on.
    pub if_match: Option<&'a str>,
    pub body: &'a [u8],
}

impl<'a> Call<'a> {
    pub fn without_body(method: &'a str, target: impl Into<String>) -> Call<'a> {
        Call { method, target: target.into(), if_match: None, body: &[] }
    }

    fn only_reads(&self) -> bool {
        self.method == "GET"
    }
}

/// The control ports that the operator named, in their order.
pub struct Registries {
    addresses: Vec<SocketAddr>,
}

impl Registries {
    pub fn new(addresses: Vec<SocketAddr>) -> Result<Registries, CommandError> {
        match addresses.is_empty() {
            true => Err(CommandError::Usage(
                "--at IP:PORT (or CURLEWFRONT_AT) is needed: a registry's control port".into(),
            )),
            false => Ok(Registries { addresses }),
        }
    }

    /// The body of the answer. A call that changes something is sent to the next registry unchanged where it failed at
    /// one: changes are idempotent, so one that was carried out already is acknowledged again.
    pub fn send(&self, call: &Call) -> Result<Vec<u8>, CommandError> {
        let mut may_be_carried_out = false;
        let mut failures = Vec::new();
        for address in &self.addresses {
            match exchange::with_redirects(*address, call) {
                Ok(answer) if is_success(&answer) => return Ok(answer.body),
                Ok(answer) if is_refusal(&answer) => {
                    let (reason, status) = (reason(&answer), answer.status);
                    return Err(CommandError::RefusedByRegistry { reason, status });
                }
                Ok(answer) => {
                    // A 5xx may come after the change was proposed; the others promise that it was not.
                    may_be_carried_out |= answer.status >= 500;
                    failures.push(format!("{address}: {} ({})", reason(&answer), answer.status));
                }
                Err(failure) => {
                    may_be_carried_out |= failure.sent;
                    failures.push(format!("{address}: {}", failure.reason));
                }
            }
        }
        let reasons = failures.join("; ");
        match may_be_carried_out && !call.only_reads() {
            true => Err(CommandError::Unclear(reasons)),
            false => Err(CommandError::Unreachable(reasons)),
        }
    }

    /// The answer to a GET, as it came and as JSON.
    pub fn get(&self, target: &str) -> Result<(String, JsonValue), CommandError> {
        let text = text(self.send(&Call::without_body("GET", target))?);
        let no_json = |e| CommandError::Unreachable(format!("an answer that is no JSON: {e}"));
        let value = jzon::parse(&text).map_err(no_json)?;
        Ok((text, value))
    }
}

fn is_success(answer: &Answer) -> bool {
    (200..300).contains(&answer.status)
}

/// Whether every registry would answer so.
fn is_refusal(answer: &Answer) -> bool {
    (400..500).contains(&answer.status) && !NOT_CARRIED_OUT.contains(&answer.status)
}

/// The reason that an answer gives, else the standard words for its status.
fn reason(answer: &Answer) -> String {
    let text = String::from_utf8_lossy(&answer.body);
    let given = jzon::parse(&text).ok().and_then(|v| v["trouble"].as_str().map(str::to_string));
    given.unwrap_or_else(|| http::reason(answer.status).to_string())
}

/// The bytes of a body as text; what is no UTF-8 is replaced.
pub fn text(bytes: Vec<u8>) -> String {
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Percent-encodes a name as one segment of a path.
pub fn escape(name: &str) -> String {
    let encode = |byte: u8| match byte {
        b if b.is_ascii_alphanumeric() || b"-._~".contains(&b) => char::from(b).to_string(),
        b => format!("%{b:02X}"),
    };
    name.bytes().map(encode).collect()
}
