//! The few HTTP calls that the stand-ins make and answer.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Callers move on after a second without a response.
const LIMIT: Duration = Duration::from_secs(1);

/// Makes a call; returns the status and the body.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<(u16, String)> {
    let target: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&target, LIMIT).ok()?;
    stream.set_read_timeout(Some(LIMIT)).ok()?;
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n",
        body.len()
    );
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    text += body;
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Some((status, body.to_owned()))
}

/// A request that a stand-in has received.
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn read(stream: &TcpStream) -> Option<Self> {
        stream.set_read_timeout(Some(LIMIT)).ok()?;
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let path = line.split(' ').nth(1)?.to_owned();
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let line = line.trim();
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        let mut request = Self {
            path,
            headers,
            body: String::new(),
        };
        let length: usize = request.header("content-length")?.parse().ok()?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        request.body = String::from_utf8(body).ok()?;
        Some(request)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(own, _)| own == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// Returns the text of a field of a flat JSON body.
    pub fn field(&self, name: &str) -> Option<&str> {
        let key = format!("\"{name}\"");
        let rest = &self.body[self.body.find(&key)? + key.len()..];
        let rest = rest.trim_start().strip_prefix(':')?.trim_start();
        rest.strip_prefix('"')?.split('"').next()
    }
}

pub fn respond(mut stream: &TcpStream, status: u16) {
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\
         Connection: close\r\n\r\n{{}}"
    );
    let _ = stream.write_all(text.as_bytes());
}
