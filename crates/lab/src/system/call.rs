//! Calls from outside on the registries.

use crate::http::{Conn, Response, request};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// An answer that takes longer does not count.
pub const PATIENCE: Duration = Duration::from_secs(1);

pub struct Call<'a> {
    pub method: &'a str,
    pub target: String,
    pub if_match: Option<&'a str>,
    pub body: &'a str,
}

impl<'a> Call<'a> {
    pub fn plain(method: &'a str, target: impl Into<String>) -> Call<'a> {
        Call { method, target: target.into(), if_match: None, body: "" }
    }

    /// None: no whole answer came in time. `sent` is called once the call is under way.
    pub async fn on(&self, addr: SocketAddr, sent: impl FnOnce()) -> Option<Response> {
        let talk = async {
            let mut conn = Conn::new(TcpStream::connect(addr).await?);
            let mut headers = vec![("Host", addr.to_string()), ("Connection", "close".to_string())];
            headers.extend(self.if_match.map(|version| ("If-Match", version.to_string())));
            if !self.body.is_empty() {
                headers.push(("Content-Type", "application/json".to_string()));
            }
            conn.write(&request(self.method, &self.target, &headers, self.body.as_bytes())).await?;
            sent();
            conn.read_response().await
        };
        timeout(PATIENCE, talk).await.ok()?.ok()
    }
}

pub fn good(answer: &Option<Response>) -> bool {
    answer.as_ref().is_some_and(|a| (200..300).contains(&a.status))
}
