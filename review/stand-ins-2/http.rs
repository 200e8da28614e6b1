//! A small HTTP/1.1 server and client over loopback.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// A request as a stand-in sees it.
pub struct Request {
    /// The path without the query.
    pub path: String,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// A server. `stop` closes its port and all its connections, as the end of a process does.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves requests on a free loopback port. A connection is closed where `answer` returns `None`.
    pub fn start(answer: impl Fn(Request) -> Option<(u16, String)> + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener.local_addr().expect("an address");
        let stopped = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let answer = Arc::new(answer);
        let (accept_stopped, accept_open) = (stopped.clone(), open.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                if accept_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    accept_open.lock().unwrap().push(copy);
                }
                let (answer, stopped) = (answer.clone(), accept_stopped.clone());
                thread::spawn(move || serve_connection(stream, &*answer, &stopped));
            }
        });
        Self {
            address,
            stopped,
            open,
        }
    }

    pub fn stop(&self) {
        if self.stopped.swap(true, Ordering::SeqCst) {
            return;
        }
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, which then closes the port.
        let _ = TcpStream::connect(self.address);
    }
}

fn serve_connection(
    stream: TcpStream,
    answer: &dyn Fn(Request) -> Option<(u16, String)>,
    stopped: &AtomicBool,
) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        if stopped.load(Ordering::SeqCst) {
            return;
        }
        let Some((status, body)) = answer(request) else {
            let _ = writer.shutdown(Shutdown::Both);
            return;
        };
        if stopped.load(Ordering::SeqCst) {
            return;
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (_method, target) = (words.next()?, words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(key, value)| (key.to_owned(), percent_decode(value)));
    let (headers, body) = read_rest(reader)?;
    Some(Request {
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body,
    })
}

type Headers = Vec<(String, String)>;

fn read_rest(reader: &mut BufReader<TcpStream>) -> Option<(Headers, Vec<u8>)> {
    let mut headers: Headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.to_owned(), value.trim().to_owned()));
        }
    }
    let mut length = 0;
    for (key, value) in &headers {
        if key.eq_ignore_ascii_case("content-length") {
            length = value.parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((headers, body))
}

fn percent_decode(text: &str) -> String {
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        let code = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends one request on a connection of its own. `None` if there is no whole answer within `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let _ = stream.set_nodelay(true);
    let left = until.saturating_duration_since(Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (_, body) = read_rest(&mut reader)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
