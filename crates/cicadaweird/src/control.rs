//! The HTTP endpoint that the tool asks.
//!
//! | call | answer |
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

/// How often the endpoint looks whether the loop has ended.
const PAUSE: Duration = Duration::from_millis(50);

/// How long the loop may take to answer.
const PATIENCE: Duration = Duration::from_secs(2);

/// What is asked of the loop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Query {
    /// A summary.
    Status,
    /// Where a flow would go.
    Explain(FlowKey),
    /// A planned stop.
    Leave,
}

/// What the loop answers: a status code and a JSON text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status code.
    pub code: u16,
    /// The body.
    pub body: String,
}

/// Starts the endpoint on a thread of its own.
///
/// # Errors
///
/// The operating system's error, with the address in it.
pub fn start(addr: SocketAddr, inbox: Inbox, shared: Arc<Shared>) -> io::Result<()> {
    let server = Server::http(addr).map_err(|err| io::Error::other(format!("{addr}: {err}")))?;
    thread::spawn(move || {
        while !shared.ended.load(Ordering::Relaxed) {
            if let Ok(Some(req)) = server.recv_timeout(PAUSE) {
                serve(req, &inbox);
            }
        }
    });
    Ok(())
}

fn serve(req: Request, inbox: &Inbox) {
    let reply = match query(&req) {
        Ok(query) => ask(query, inbox),
        Err(reply) => reply,
    };
    let _ = req.respond(Response::from_string(reply.body).with_status_code(reply.code));
}

fn query(req: &Request) -> Result<Query, Reply> {
    let (path, arguments) = req.url().split_once('?').unwrap_or((req.url(), ""));
    match (req.method(), path) {
        (Method::Get, "/status") => Ok(Query::Status),
        (Method::Post, "/leave") => Ok(Query::Leave),
        (Method::Get, "/explain") => {
            let text = arguments.strip_prefix("flow=").unwrap_or_default();
            trace::parse_flow(text)
                .map(Query::Explain)
                .ok_or_else(|| Reply {
                    code: 400,
                    body: format!("{{\"error\":\"flow {text:?} is not PROTOCOL,CALLER,ADDRESS\"}}"),
                })
        }
        _ => Err(Reply {
            code: 404,
            body: "{\"error\":\"unknown call\"}".to_owned(),
        }),
    }
}

fn ask(query: Query, inbox: &Inbox) -> Reply {
    let (tx, rx) = channel();
    let sent = inbox.send(Input::Query(query, tx));
    let reply = sent.then(|| rx.recv_timeout(PATIENCE).ok()).flatten();
    reply.unwrap_or_else(|| Reply {
        code: 503,
        body: "{\"error\":\"the loop did not answer\"}".to_owned(),
    })
}
