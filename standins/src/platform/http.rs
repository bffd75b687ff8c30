//! The HTTP server of the platform stand-in.

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

use super::{FaultMode, PlatformState, TableRequest, lock};

type SharedState = Arc<Mutex<PlatformState>>;
type HttpResponse = Response<Full<Bytes>>;

/// The error that makes hyper close a connection without a response.
#[derive(Debug)]
struct ConnectionClosed;

impl std::fmt::Display for ConnectionClosed {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str("connection closed without a response")
    }
}

impl std::error::Error for ConnectionClosed {}

/// Serves until the other end of `stopped` is dropped.
pub(super) async fn serve(
    listener: TcpListener,
    state: SharedState,
    stopped: oneshot::Receiver<()>,
) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    tokio::select! {
        _ = stopped => {}
        () = accept(listener, state) => {}
    }
}

async fn accept(listener: tokio::net::TcpListener, state: SharedState) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_connection(stream, state.clone()));
    }
}

async fn serve_connection(stream: TcpStream, state: SharedState) {
    let service = service_fn(move |request| handle_request(request, state.clone()));
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle_request(
    request: Request<Incoming>,
    state: SharedState,
) -> Result<HttpResponse, ConnectionClosed> {
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| ConnectionClosed)?
        .to_bytes();
    let path = head.uri.path();
    match (&head.method, path) {
        (&Method::POST, "/faults") => return Ok(set_fault(&body, &state)),
        (&Method::GET, "/counts") => {
            return Ok(json_response(StatusCode::OK, &lock(&state).counts));
        }
        _ => {}
    }
    let fault = lock(&state).fault;
    if fault.mode == FaultMode::Down {
        return Ok(error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "fault injected: request not executed",
        ));
    }
    let response = execute(&head.method, path, &body, &state);
    match fault.mode {
        FaultMode::AnswerLost => Err(ConnectionClosed),
        FaultMode::Slow => {
            tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
            Ok(response)
        }
        FaultMode::None | FaultMode::Down => Ok(response),
    }
}

fn execute(method: &Method, path: &str, body: &Bytes, state: &SharedState) -> HttpResponse {
    if (method, path) == (&Method::POST, "/table") {
        return handle_table(body, state);
    }
    let Some(name) = path.strip_prefix("/objects/") else {
        return error_response(StatusCode::NOT_FOUND, "no such path");
    };
    match *method {
        Method::GET => get_object(name, state),
        Method::PUT => put_object(name, body, state),
        _ => error_response(
            StatusCode::METHOD_NOT_ALLOWED,
            "method not allowed: use GET or PUT",
        ),
    }
}

fn handle_table(body: &Bytes, state: &SharedState) -> HttpResponse {
    let request: TableRequest = match parse(body) {
        Ok(request) => request,
        Err(response) => return *response,
    };
    let mut state = lock(state);
    if request.is_write() {
        state.counts.writes += 1;
    } else {
        state.counts.reads += 1;
    }
    json_response(StatusCode::OK, &state.table.apply(request))
}

fn get_object(name: &str, state: &SharedState) -> HttpResponse {
    let mut state = lock(state);
    state.counts.reads += 1;
    match state.objects.get(name) {
        Some(content) => build_response(StatusCode::OK, "text/plain", content.clone()),
        None => error_response(StatusCode::NOT_FOUND, "no such object"),
    }
}

fn put_object(name: &str, body: &Bytes, state: &SharedState) -> HttpResponse {
    let Ok(content) = std::str::from_utf8(body) else {
        return error_response(StatusCode::BAD_REQUEST, "the content must be UTF-8");
    };
    let mut state = lock(state);
    state.counts.writes += 1;
    state.objects.insert(name.to_string(), content.to_string());
    build_response(StatusCode::NO_CONTENT, "text/plain", String::new())
}

fn set_fault(body: &Bytes, state: &SharedState) -> HttpResponse {
    match parse(body) {
        Ok(fault) => {
            lock(state).fault = fault;
            json_response(StatusCode::OK, &fault)
        }
        Err(response) => *response,
    }
}

/// Parses a JSON body; the error is the response to send.
fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, Box<HttpResponse>> {
    serde_json::from_slice(body)
        .map_err(|error| Box::new(error_response(StatusCode::BAD_REQUEST, &error.to_string())))
}

fn json_response<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    match serde_json::to_string(value) {
        Ok(text) => build_response(status, "application/json", text),
        Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn error_response(status: StatusCode, text: &str) -> HttpResponse {
    let body = serde_json::json!({ "error": text }).to_string();
    build_response(status, "application/json", body)
}

fn build_response(status: StatusCode, content_type: &'static str, body: String) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let value = hyper::header::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, value);
    response
}
