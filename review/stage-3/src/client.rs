//! A client of the system that reads one stream on a new connection.

use std::{net::SocketAddr, time::Duration};

use crate::{engine::Sizes, record::Record, wire::Connection};

pub const HOST: &str = "portal.example";
pub const KEY: &str = "key-of-the-council";

/// Longest pause that a client of these routes waits: four times the objective of one second.
const PATIENCE: Duration = Duration::from_secs(4);

/// What a client saw.
#[derive(Clone, Debug)]
pub struct Seen {
    pub request: String,
    pub status: u16,
    /// Ids of the events, in order.
    pub events: Vec<u64>,
    pub is_complete: bool,
    /// Whether the client gave up itself.
    pub gave_up: bool,
    pub sent_at: Duration,
    pub ended_at: Duration,
}

/// Sends a request for a stream and reads it to its end.
pub fn stream(
    record: &Record,
    address: SocketAddr,
    model: &str,
    request: &str,
    tokens: (u64, u64),
    deadline: Duration,
) -> Seen {
    let mut seen = Seen {
        request: request.to_owned(),
        status: 0,
        events: Vec::new(),
        is_complete: false,
        gave_up: false,
        sent_at: record.now(),
        ended_at: Duration::ZERO,
    };
    record.line(format!(
        "client: sends {request} to {address} ({} tokens in, {} out)",
        tokens.0, tokens.1
    ));
    let error = read(&mut seen, address, model, tokens, deadline).err();
    seen.gave_up = error.as_ref().is_some_and(|it| {
        matches!(it.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
    });
    seen.ended_at = record.now();
    let how = match (seen.is_complete, seen.gave_up) {
        (true, _) => "complete".to_owned(),
        (_, true) => "the client gave up".to_owned(),
        _ => format!("NOT complete: {}", error.map_or("no events".to_owned(), |it| it.to_string())),
    };
    record.line(format!(
        "client: {request} ends with status {}, {} events, the last {}: {how}",
        seen.status,
        seen.events.len(),
        seen.events.last().copied().unwrap_or(0)
    ));
    seen
}

fn read(
    seen: &mut Seen,
    address: SocketAddr,
    model: &str,
    tokens: (u64, u64),
    deadline: Duration,
) -> std::io::Result<()> {
    let mut connection = Connection::open(address, Duration::from_secs(1))?;
    connection.stream.set_read_timeout(Some(PATIENCE))?;
    connection.write(&format!(
        "POST /answer/a HTTP/1.1\r\nHost: {HOST}\r\nX-Chivelatch-Request-Id: {}\r\nX-Chivelatch-Model: {}\r\nX-Chivelatch-Token-Count: {},{}\r\nX-Chivelatch-Prefix-Hash: 5c1e07a2:100,{:x}:{}\r\nX-Chivelatch-Deadline-Ms: {}\r\nAuthorization: Token {KEY}\r\nContent-Length: 2\r\n\r\nhi",
        seen.request,
        model,
        tokens.0,
        tokens.1,
        seen.request.bytes().fold(7u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(byte))),
        tokens.0.saturating_sub(100),
        deadline.as_millis()
    ))?;
    let head = connection.read_head()?;
    seen.status = head.status();
    if !head.get("transfer-encoding").contains("chunked") {
        connection.read_body(&head)?;
        seen.is_complete = true;
        return Ok(());
    }
    let mut text = String::new();
    loop {
        let chunk = connection.read_chunk()?;
        if chunk.is_empty() {
            seen.is_complete = true;
            return Ok(());
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let id: Option<u64> =
                event.lines().find_map(|line| line.strip_prefix("id: ")?.parse().ok());
            seen.events.extend(id);
        }
    }
}

/// Returns the operators' configuration: one service of a model, one route of streams that may be resumed.
pub fn manifest(sizes: Sizes, slots: usize, memory: u64) -> String {
    let attempts: u32 = std::env::var("ATTEMPTS").ok().and_then(|it| it.parse().ok()).unwrap_or(2);
    let Sizes { size_mb, model_mb, lora_mb, lora_slots } = sizes;
    format!(
        r#"{{"cfg_ver":3,"routes":[{{"name":"answers","hostname":"{HOST}","path_prefix":"/answer/","type":"stream","timeout_ms":20000,"slo_ms":1000,"prio":1,"svc":"answers","attempts":{attempts},"public":false,"sticky":true,"resumable":true,"gap_target_ms":400}}],
"svcs":[{{"name":"answers","health_path":"/healthz","max_conns":360,"protocol":"h1","tls":false,"engine":{{"slots":{slots},"kv_capacity":{memory},"stride":2,"models":[{{"name":"{}","size_mb":{model_mb},"load_s":5.7,"loras":3000,"lora_mb":{lora_mb},"warm_s":1.3,"disk_s":2.3}}],"size_mb":{size_mb},"lora_slots":{lora_slots},"loads_per_s":2.8}}}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"council","api_keys":["{KEY}"],"prio":1,"unit":"generate","raw_tokens":200,"rate_per_s":61991,"burst":61991}}]}}"#,
        crate::engine::MODEL
    )
}
