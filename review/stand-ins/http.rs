//! A small HTTP/1.1 server and client over loopback connections.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

/// A request with its whole body.
pub struct HttpRequest {
    pub method: String,
    pub path: String,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: String,
}

impl HttpRequest {
    pub fn query(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

pub type HttpAnswer = (u16, String);

/// A server that can be stopped as if its process had ended.
pub struct HttpServer {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl HttpServer {
    /// Serves calls. An answer that is None is lost: its connection delivers nothing further.
    pub fn start(
        handler: impl Fn(HttpRequest) -> Option<HttpAnswer> + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handler = Arc::new(handler);
        let (is_stopped, open) = (stopped.clone(), connections.clone());
        thread::spawn(move || {
            while !is_stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let (handler, is_stopped) = (handler.clone(), is_stopped.clone());
                thread::spawn(move || serve_connection(stream, &*handler, &is_stopped));
            }
        });
        Ok(Self {
            address,
            stopped,
            connections,
        })
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve_connection(
    stream: TcpStream,
    handler: &dyn Fn(HttpRequest) -> Option<HttpAnswer>,
    stopped: &AtomicBool,
) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else {
            let mut ignored = [0; 1024];
            while reader.read(&mut ignored).is_ok_and(|count| count > 0) {}
            return;
        };
        if stopped.load(Ordering::SeqCst) {
            return;
        }
        let answer = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Option<String> {
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<HttpRequest> {
    let (first, headers) = read_head(reader)?;
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(HttpRequest {
        method,
        path: path.to_owned(),
        query: pairs
            .map(|(key, value)| (key.to_owned(), percent_decode(value)))
            .collect(),
        headers,
        body,
    })
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        let code = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match code.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(code) if *first == b'%' => {
                bytes.push(code);
                rest = &tail[2..];
            }
            _ => bytes.push(*first),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends one request on a connection of its own. None if there was no whole answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<HttpAnswer> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers)?))
}
