//! The part of HTTP/1.1 that callers and targets speak inside flows.

/// A request.
#[derive(Debug, Clone)]
pub struct Request {
    pub id: String,
}

/// Returns the text of a request with a body of `bytes`.
pub fn request(method: &str, id: &str, bytes: usize) -> String {
    let body = "b".repeat(bytes);
    format!(
        "{method} /spot HTTP/1.1\r\nHost: site\r\nX-Cicadaweir-Request-Id: {id}\r\nContent-Length: {bytes}\r\n\r\n{body}"
    )
}

/// Returns the text of a response with a body of `bytes`.
pub fn response(status: u16, id: &str, not_executed: bool, bytes: usize) -> String {
    let mark = if not_executed {
        "X-Cicadaweir-Not-Executed: 1\r\n"
    } else {
        ""
    };
    let body = "a".repeat(bytes);
    format!(
        "HTTP/1.1 {status} X\r\nX-Cicadaweir-Response-Signature: {id}\r\n{mark}Content-Length: {bytes}\r\n\r\n{body}"
    )
}

/// Removes a complete request from the front of `received`.
pub fn take_request(received: &mut Vec<u8>) -> Option<Request> {
    let (head, end) = take_head(received)?;
    let id = header(&head, "X-Cicadaweir-Request-Id");
    received.drain(..end);
    Some(Request { id })
}

/// Returns the status and the identity of a complete response.
pub fn whole_response(received: &[u8]) -> Option<(u16, String)> {
    let (head, _) = take_head(received)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, header(&head, "X-Cicadaweir-Response-Signature")))
}

/// Returns the head of a complete message and the message's length.
fn take_head(received: &[u8]) -> Option<(String, usize)> {
    let at = received.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..at]).into_owned();
    let length: usize = header(&head, "Content-Length").parse().unwrap_or(0);
    (received.len() >= at + length).then_some((head, at + length))
}

fn header(head: &str, name: &str) -> String {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines
        .find(|(key, _)| *key == name)
        .map_or(String::new(), |(_, value)| value.to_owned())
}
