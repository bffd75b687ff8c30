//! A stand-in of the platform's row store: versioned rows, transactions and a feed of changes.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, MessageReader};
use crate::json::{Json, quote};

/// The time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

type RowKey = (String, String, String);

#[derive(Clone)]
struct StoredRow {
    /// The value in base64; `None` if the row was removed.
    value: Option<String>,
    ver: u64,
}

#[derive(Default)]
struct Content {
    rows: BTreeMap<RowKey, StoredRow>,
    ver: u64,
}

/// A running store.
pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
    began: Instant,
}

impl Store {
    /// Starts an empty store.
    pub fn start(address: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::new(Self {
            content: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
        });
        let serving = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes the operator's config.
    pub fn put_config(&self, config: &str) {
        let mut content = self.content.lock().unwrap();
        content.ver += 1;
        let row = StoredRow {
            value: Some(base64(config.as_bytes())),
            ver: content.ver,
        };
        content
            .rows
            .insert(("op".into(), String::new(), "config".into()), row);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = MessageReader::new(stream);
        while let Ok(Some(request)) = reader.next() {
            std::thread::sleep(CALL_TIME);
            let (status, body) = self.respond(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        let target = request.word(1).to_string();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = parse_query(query);
        let get = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            "/rows-get" => self.read(
                &get("table"),
                &get("part"),
                &get("from"),
                query.get("target"),
                &get("limit"),
            ),
            "/rows-feed" => self.feed(&get("table"), &get("after"), &get("wait_ms")),
            _ => (404, "{}".into()),
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let key = |entry: &Json| (entry.text("table"), entry.text("part"), entry.text("key"));
        let mut content = self.content.lock().unwrap();
        for expected in call.list("expected") {
            let row = content.rows.get(&key(expected));
            let ver = row
                .filter(|row| row.value.is_some())
                .map_or(0, |row| row.ver);
            if ver != expected.number("ver") {
                let mut rows = Vec::new();
                for expected in call.list("expected") {
                    let key = key(expected);
                    if let Some(row) = content.rows.get(&key).filter(|row| row.value.is_some()) {
                        rows.push(encode_row(&key, row));
                    }
                }
                return (412, self.encode(&rows, content.ver));
            }
        }
        content.ver += 1;
        let ver = content.ver;
        for put in call.list("puts") {
            let row = StoredRow {
                value: Some(put.text("value")),
                ver,
            };
            content.rows.insert(key(put), row);
        }
        for removed in call.list("remove") {
            content
                .rows
                .insert(key(removed), StoredRow { value: None, ver });
        }
        self.changed.notify_all();
        (200, self.encode(&[], ver))
    }

    fn read(
        &self,
        table: &str,
        part: &str,
        from: &str,
        end: Option<&String>,
        limit: &str,
    ) -> (u16, String) {
        let limit: usize = limit.parse().unwrap_or(500);
        let content = self.content.lock().unwrap();
        let mut rows = Vec::new();
        for (key, row) in &content.rows {
            let is_before_end = end.is_none_or(|end| key.2.as_str() < end.as_str());
            let is_asked =
                key.0 == table && key.1 == part && key.2.as_str() >= from && is_before_end;
            if is_asked && row.value.is_some() && rows.len() < limit.min(500) {
                rows.push(encode_row(key, row));
            }
        }
        (200, self.encode(&rows, content.ver))
    }

    fn feed(&self, table: &str, after: &str, wait_ms: &str) -> (u16, String) {
        let after: u64 = after.parse().unwrap_or(0);
        let wait = Duration::from_millis(wait_ms.parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut content = self.content.lock().unwrap();
        loop {
            let mut rows = Vec::new();
            for (key, row) in &content.rows {
                if key.0 == table && row.ver > after {
                    rows.push((row.ver, encode_row(key, row)));
                }
            }
            rows.sort();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let rows: Vec<String> = rows.into_iter().map(|(_, row)| row).collect();
                return (200, self.encode(&rows, content.ver));
            }
            content = self.changed.wait_timeout(content, left).unwrap().0;
        }
    }

    fn encode(&self, rows: &[String], ver: u64) -> String {
        let now_ms = self.began.elapsed().as_millis();
        let rows = rows.join(",");
        format!("{{\"rows\":[{rows}],\"truncated\":false,\"ver\":{ver},\"now\":\"{now_ms}ms\"}}")
    }
}

fn encode_row(key: &RowKey, row: &StoredRow) -> String {
    let (table, part, name) = key;
    let value = match &row.value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"tombstone\":true".to_string(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},{value},\"ver\":{}}}",
        quote(table),
        quote(part),
        quote(name),
        row.ver
    )
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    for pair in query.split('&') {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        fields.insert(name.to_string(), unescape(value));
    }
    fields
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'+' => out.push(b' '),
            b'%' if at + 2 < bytes.len() => {
                let digits = text.get(at + 1..at + 3).unwrap_or("3f");
                out.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
                at += 2;
            }
            byte => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let at = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= part.len() { digit } else { '=' });
        }
    }
    text
}
