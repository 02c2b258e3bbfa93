//! The HTTP endpoint for the command-line tool.
//!
//! | request | response |
//! |---|---|
//! | `GET /status` | a [`StatusBody`] |
//! | `GET /explain?flow=FLOW` | an [`ExplainBody`], or 404 |
//! | `POST /leave` | starts a planned stop |

mod body;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering, mpsc::channel},
    thread,
    time::Duration,
};

use cicadaweir_core::flow::FlowKey;
use cicadaweir_proto::trace;
use tiny_http::{Method, Request, Response, Server};

pub use body::{ExplainBody, MemberBody, StatusBody, TargetBody};

use crate::{
    inbox::{Inbox, Input},
    platform::Shared,
};

/// How long the endpoint waits for a request before it checks again whether
/// the event loop has ended.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(50);

/// How long the event loop may take to reply to a query.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// A request from the command-line tool to the event loop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Query {
    /// Requests a summary of the entry VM.
    Status,
    /// Requests the routing decision for a flow's next packet.
    Explain(FlowKey),
    /// Requests a planned stop.
    Leave,
}

/// The event loop's reply to a [`Query`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status code.
    pub code: u16,
    /// The body, in JSON.
    pub body: String,
}

impl Reply {
    /// Creates a reply whose body is a JSON object with the text under `error`.
    pub fn error(code: u16, error: &str) -> Self {
        Self {
            code,
            body: serde_json::json!({ "error": error }).to_string(),
        }
    }
}

/// Starts the endpoint on its own thread, which runs until `shared.ended` is
/// set.
///
/// # Errors
///
/// Returns the operating system's error, with the address, if the endpoint
/// can't listen there.
pub fn start(addr: SocketAddr, inbox: Inbox, shared: Arc<Shared>) -> io::Result<()> {
    let server = Server::http(addr).map_err(|err| io::Error::other(format!("{addr}: {err}")))?;
    thread::spawn(move || {
        while !shared.ended.load(Ordering::Relaxed) {
            if let Ok(Some(req)) = server.recv_timeout(ACCEPT_TIMEOUT) {
                serve(req, &inbox);
            }
        }
    });
    Ok(())
}

fn serve(req: Request, inbox: &Inbox) {
    let reply = match parse_query(&req) {
        Ok(query) => query_event_loop(query, inbox),
        Err(reply) => reply,
    };
    let _ = req.respond(Response::from_string(reply.body).with_status_code(reply.code));
}

fn parse_query(req: &Request) -> Result<Query, Reply> {
    let (path, arguments) = req.url().split_once('?').unwrap_or((req.url(), ""));
    match (req.method(), path) {
        (Method::Get, "/status") => Ok(Query::Status),
        (Method::Post, "/leave") => Ok(Query::Leave),
        (Method::Get, "/explain") => {
            let text = arguments.strip_prefix("flow=").unwrap_or_default();
            trace::parse_flow(text).map(Query::Explain).ok_or_else(|| {
                let error = format!("flow {text:?} is not PROTOCOL,CALLER,ADDRESS");
                Reply::error(400, &error)
            })
        }
        _ => Err(Reply::error(404, "unknown call")),
    }
}

fn query_event_loop(query: Query, inbox: &Inbox) -> Reply {
    let (tx, rx) = channel();
    let sent = inbox.send(Input::Query(query, tx));
    let reply = sent.then(|| rx.recv_timeout(REPLY_TIMEOUT).ok()).flatten();
    reply.unwrap_or_else(|| Reply::error(503, "the loop did not answer"))
}
