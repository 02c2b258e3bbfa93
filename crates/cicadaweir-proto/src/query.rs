//! Parameters in the query of a URL.

/// Percent-encodes a parameter value; `/` and `:` stay unencoded.
pub fn percent_encode(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' | b'/' | b':' => {
                escaped.push(char::from(byte));
            }
            _ => escaped.push_str(&format!("%{byte:02X}")),
        }
    }
    escaped
}

/// Returns the decoded value of a parameter. Returns `None` if the query has no
/// such parameter, an invalid percent-encoding or invalid UTF-8.
pub fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|pair| pair.0 == name)?.1;
    let mut bytes = Vec::with_capacity(value.len());
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits = [rest.next()?, rest.next()?];
        let digits = std::str::from_utf8(&digits).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
    }
    String::from_utf8(bytes).ok()
}
