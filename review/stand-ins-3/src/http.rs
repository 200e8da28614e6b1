//! A small HTTP/1.1 client for the cases' customers.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::timeout,
};

/// What a customer sees of a request: the status and body, or none.
pub(crate) type Answer = Option<(u16, String)>;

/// Sends a request on a connection of its own. None if there is no complete answer in time.
pub(crate) async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    patience: Duration,
) -> Answer {
    let answer = timeout(patience, exchange(address, method, path, body, patience)).await;
    answer.ok()?.ok()
}

async fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    patience: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect(address).await?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
         X-Deadline-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        crate::fleet::HOST,
        patience.as_millis(),
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await?;
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text
        .split_once("\r\n\r\n")
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    Ok((status.ok_or(io::ErrorKind::InvalidData)?, body.to_owned()))
}
