//! The HTTP side of the platform stand-in.

use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use super::{FaultMode, Store, TableRequest, lock};

type Shared = Arc<Mutex<Store>>;
type Reply = Response<Full<Bytes>>;

/// The connection is to be closed without an answer.
#[derive(Debug)]
struct Closed;

impl std::fmt::Display for Closed {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str("closed without an answer")
    }
}

impl std::error::Error for Closed {}

/// Serves until the other end of `stopped` is dropped.
pub(super) async fn serve(listener: TcpListener, store: Shared, stopped: oneshot::Receiver<()>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    tokio::select! {
        _ = stopped => {}
        () = accept(listener, store) => {}
    }
}

async fn accept(listener: tokio::net::TcpListener, store: Shared) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_connection(stream, store.clone()));
    }
}

async fn serve_connection(stream: TcpStream, store: Shared) {
    let service = service_fn(move |request| answer(request, store.clone()));
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(request: Request<Incoming>, store: Shared) -> Result<Reply, Closed> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Closed)?.to_bytes();
    let path = head.uri.path();
    match (&head.method, path) {
        (&Method::POST, "/faults") => return Ok(set_fault(&body, &store)),
        (&Method::GET, "/counts") => return Ok(json(StatusCode::OK, &lock(&store).counts)),
        _ => {}
    }
    let fault = lock(&store).fault;
    if fault.mode == FaultMode::Down {
        return Ok(problem(StatusCode::SERVICE_UNAVAILABLE, "not done"));
    }
    let reply = carry_out(&head.method, path, &body, &store);
    match fault.mode {
        FaultMode::AnswerLost => Err(Closed),
        FaultMode::Slow => {
            tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
            Ok(reply)
        }
        FaultMode::None | FaultMode::Down => Ok(reply),
    }
}

fn carry_out(method: &Method, path: &str, body: &Bytes, store: &Shared) -> Reply {
    if (method, path) == (&Method::POST, "/table") {
        return table(body, store);
    }
    let Some(name) = path.strip_prefix("/objects/") else {
        return problem(StatusCode::NOT_FOUND, "no such path");
    };
    match *method {
        Method::GET => get_object(name, store),
        Method::PUT => put_object(name, body, store),
        _ => problem(StatusCode::METHOD_NOT_ALLOWED, "GET or PUT"),
    }
}

fn table(body: &Bytes, store: &Shared) -> Reply {
    let request: TableRequest = match parse(body) {
        Ok(request) => request,
        Err(refused) => return *refused,
    };
    let mut store = lock(store);
    if request.is_write() {
        store.counts.writes += 1;
    } else {
        store.counts.reads += 1;
    }
    json(StatusCode::OK, &store.table.apply(request))
}

fn get_object(name: &str, store: &Shared) -> Reply {
    let mut store = lock(store);
    store.counts.reads += 1;
    match store.objects.get(name) {
        Some(content) => reply(StatusCode::OK, "text/plain", content.clone()),
        None => problem(StatusCode::NOT_FOUND, "no such object"),
    }
}

fn put_object(name: &str, body: &Bytes, store: &Shared) -> Reply {
    let Ok(content) = std::str::from_utf8(body) else {
        return problem(StatusCode::BAD_REQUEST, "the content must be UTF-8");
    };
    let mut store = lock(store);
    store.counts.writes += 1;
    store.objects.insert(name.to_string(), content.to_string());
    reply(StatusCode::NO_CONTENT, "text/plain", String::new())
}

fn set_fault(body: &Bytes, store: &Shared) -> Reply {
    match parse(body) {
        Ok(fault) => {
            lock(store).fault = fault;
            json(StatusCode::OK, &fault)
        }
        Err(refused) => *refused,
    }
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, Box<Reply>> {
    serde_json::from_slice(body)
        .map_err(|error| Box::new(problem(StatusCode::BAD_REQUEST, &error.to_string())))
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    match serde_json::to_string(value) {
        Ok(text) => reply(status, "application/json", text),
        Err(error) => problem(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn problem(status: StatusCode, text: &str) -> Reply {
    let body = serde_json::json!({ "error": text }).to_string();
    reply(status, "application/json", body)
}

fn reply(status: StatusCode, content_type: &'static str, body: String) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    let value = hyper::header::HeaderValue::from_static(content_type);
    reply
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, value);
    reply
}
