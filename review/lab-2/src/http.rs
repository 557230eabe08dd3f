//! HTTP/1.1 calls and a small server loop.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Makes a call; `None` without a complete response within a second.
pub fn call(address: &str, head: &str, body: &str) -> Option<(u16, String)> {
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_millis(1_000)))
        .ok()?;
    let text = format!(
        "{head} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    let answer = String::from_utf8(answer).ok()?;
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body.to_owned()))
}

/// A request that the stand-in of the platform has read.
#[derive(Debug, Default)]
pub struct Request {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns a text field of the JSON body, which holds plain names only.
    pub fn field(&self, name: &str) -> String {
        let key = format!("\"{name}\"");
        let rest = self.body.split_once(&key).map_or("", |(_, rest)| rest);
        rest.split('"').nth(1).unwrap_or_default().to_owned()
    }
}

pub fn read_request(stream: &TcpStream) -> io::Result<Request> {
    let mut reader = BufReader::new(stream);
    let mut request = Request::default();
    reader.read_line(&mut request.line)?;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? <= 2 {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            request
                .headers
                .push((key.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let length = request.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    request.body = String::from_utf8_lossy(&body).into_owned();
    Ok(request)
}

pub fn respond(mut stream: &TcpStream, status: &str) {
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}");
    let _ = stream.write_all(text.as_bytes());
}
