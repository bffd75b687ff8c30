//! One connection of a caller: reads requests, runs their calls side by side where they may, and
//! sends the responses in the order of the requests.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes};
use futures::future::BoxFuture;
use futures::stream::{FuturesOrdered, StreamExt};
use hyper::{Method, Response};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{OwnedSemaphorePermit, watch};
use tokio::time::Instant;

use super::CallerServer;
use super::pipeline::Pipeline;
use super::request_reader::{ReadEvent, ReadRequest, RequestReader};
use super::response_encoder::{CONTINUE, Persistence, encode_head, may_have_body};
use crate::host::http::Rejection;
use crate::metrics::Counter;
use crate::request::CallRequest;

/// How long a closed connection still discards what the caller sent, so that unread bytes do not
/// reset the connection before the caller has read the last response.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection of a caller.
pub(super) struct Connection {
    server: Arc<CallerServer>,
    reader: RequestReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    pipeline: Pipeline,
    responses: FuturesOrdered<BoxFuture<'static, PendingResponse>>,
    /// A request that starts only after all before it were answered.
    held: Option<HeldCall>,
    is_continue_due: bool,
    /// When the connection was opened or the last response was sent.
    idle_since: Instant,
    stop: watch::Receiver<bool>,
    /// Whether a graceful shutdown closes the connection as soon as it is idle.
    closes_when_idle: bool,
    /// Whether the connection was accepted after a graceful shutdown had begun. Its first request is
    /// still answered.
    is_late: bool,
}

/// The response to a request, to be sent after all earlier ones.
struct PendingResponse {
    response: Response<Bytes>,
    is_head_request: bool,
    /// The memory of the request's body and the permit of a request that was sent ahead, both held
    /// until the response is sent.
    _permits: Vec<OwnedSemaphorePermit>,
}

/// A call that was read and not started.
struct HeldCall {
    call: CallRequest,
    is_idempotent: bool,
    is_head_request: bool,
    reservation: OwnedSemaphorePermit,
    read_at: Instant,
}

/// What happened on a connection.
enum Step {
    Respond(PendingResponse),
    Read(ReadEvent),
    StopRequested,
    IdleAtStop,
}

impl Connection {
    pub(super) fn new(server: Arc<CallerServer>, stream: TcpStream) -> Self {
        let (reader, writer) = stream.into_split();
        let stop = server.node.watch_stop();
        let is_late = *stop.borrow();
        Self {
            reader: RequestReader::new(reader, server.body_limits()),
            writer,
            pipeline: Pipeline::new(server.limits.pipelined_per_connection_max),
            responses: FuturesOrdered::new(),
            held: None,
            is_continue_due: false,
            idle_since: Instant::now(),
            stop,
            closes_when_idle: false,
            is_late,
            server,
        }
    }

    /// Serves the connection until it is closed. Calls that are still under way are cancelled then.
    pub(super) async fn serve(mut self) {
        loop {
            if let Err(error) = self.start_what_waited().await {
                log::debug!(target: "dragonflylug", "writing to a caller failed: {error}");
                return;
            }
            match self.next_step().await {
                Step::Respond(response) => match self.respond(response).await {
                    Ok(Persistence::KeepAlive(_)) => {}
                    Ok(Persistence::Close) => break,
                    Err(error) => {
                        log::debug!(target: "dragonflylug", "writing to a caller failed: {error}");
                        return;
                    }
                },
                Step::Read(ReadEvent::Request(request)) => self.accept(*request),
                Step::Read(ReadEvent::ExpectsContinue) => self.is_continue_due = true,
                Step::Read(ReadEvent::Invalid(rejection)) => self.reject_rest(&rejection),
                Step::Read(ReadEvent::Closed) => return,
                Step::StopRequested => self.closes_when_idle = true,
                Step::IdleAtStop if self.is_idle() => break,
                Step::IdleAtStop => {}
            }
        }
        self.close().await;
    }

    /// Starts a held call and asks for a body, once all earlier responses were sent.
    async fn start_what_waited(&mut self) -> io::Result<()> {
        if !self.pipeline.is_empty() {
            return Ok(());
        }
        if let Some(held) = self.held.take() {
            self.start(held, None);
        } else if std::mem::take(&mut self.is_continue_due) {
            self.write(Bytes::from_static(CONTINUE)).await?;
        }
        Ok(())
    }

    async fn next_step(&mut self) -> Step {
        let may_read = self.held.is_none() && self.pipeline.may_read(self.server.is_draining());
        let head_timeout = self.server.limits.head_timeout();
        let is_waiting = self.pipeline.is_empty();
        let head_deadline = is_waiting.then(|| self.idle_since + head_timeout);
        let may_stop = !self.is_late && !self.closes_when_idle;
        let is_idle_at_stop = self.closes_when_idle && self.is_idle();
        let reader = &mut self.reader;
        let read = async {
            if may_read {
                return reader.next(head_deadline).await;
            }
            reader.closed().await;
            ReadEvent::Closed
        };
        tokio::select! {
            biased;
            Some(response) = self.responses.next() => Step::Respond(response),
            event = read => Step::Read(event),
            _ = self.stop.wait_for(|is_requested| *is_requested), if may_stop => Step::StopRequested,
            () = std::future::ready(()), if is_idle_at_stop => Step::IdleAtStop,
        }
    }

    /// Returns whether no request is under way and no part of one has been read.
    fn is_idle(&self) -> bool {
        self.pipeline.is_empty() && self.held.is_none() && self.reader.is_idle()
    }

    /// Starts a request, or holds it until it may start. Its body is complete, so it needs no interim
    /// response any more.
    fn accept(&mut self, request: ReadRequest) {
        self.is_continue_due = false;
        if !request.keeps_alive {
            self.pipeline.end_reading();
        }
        let is_head_request = request.parts.method == Method::HEAD;
        let call = match self.server.decode(&request.parts, request.body) {
            Ok(call) => call,
            Err(response) => {
                self.push_response(*response, is_head_request);
                return;
            }
        };
        let held = HeldCall {
            is_idempotent: self.server.is_idempotent(&call),
            call,
            is_head_request,
            reservation: request.reservation,
            read_at: Instant::now(),
        };
        if self.pipeline.is_empty() {
            self.start(held, None);
            return;
        }
        let permit = Arc::clone(&self.server.pipelined).try_acquire_owned();
        match permit {
            Ok(permit) if self.pipeline.may_start(held.is_idempotent) => {
                let metrics = self.server.node.metrics();
                metrics.add(Counter::unlabelled("pipelined_requests"), 1);
                self.start(held, Some(permit));
            }
            _ => self.held = Some(held),
        }
    }

    /// Starts a call; its deadline counts from when it was read.
    fn start(&mut self, held: HeldCall, ahead: Option<OwnedSemaphorePermit>) {
        let mut call = held.call;
        let waited_ms = held.read_at.elapsed().as_millis();
        call.shorten_deadline(u32::try_from(waited_ms).unwrap_or(u32::MAX));
        self.pipeline.start(held.is_idempotent);
        let response = Arc::clone(&self.server).start_call(call);
        let is_head_request = held.is_head_request;
        let mut permits = vec![held.reservation];
        permits.extend(ahead);
        self.responses.push_back(Box::pin(async move {
            PendingResponse {
                response: response.await,
                is_head_request,
                _permits: permits,
            }
        }));
    }

    /// Answers something that is no valid request, after everything before it. The rest of the
    /// connection cannot be read.
    fn reject_rest(&mut self, rejection: &Rejection) {
        self.pipeline.end_reading();
        let response = self.server.reject(rejection);
        self.push_response(response, false);
    }

    fn push_response(&mut self, response: Response<Bytes>, is_head_request: bool) {
        self.pipeline.start(true);
        let pending = PendingResponse {
            response,
            is_head_request,
            _permits: Vec::new(),
        };
        self.responses
            .push_back(Box::pin(std::future::ready(pending)));
    }

    async fn respond(&mut self, pending: PendingResponse) -> io::Result<Persistence> {
        let is_draining = self.server.is_draining();
        let closes = self.pipeline.finish(is_draining, self.held.is_some());
        let persistence = match closes {
            true => Persistence::Close,
            false => Persistence::KeepAlive(self.server.limits.keep_alive()),
        };
        let is_head_request = pending.is_head_request;
        let head = encode_head(&pending.response, is_head_request, &persistence);
        let body = match may_have_body(pending.response.status()) && !is_head_request {
            true => pending.response.into_body(),
            false => Bytes::new(),
        };
        self.write(head.chain(body)).await?;
        self.idle_since = Instant::now();
        Ok(persistence)
    }

    /// Writes everything; fails if the caller takes no bytes for the time limit of reads.
    async fn write(&mut self, mut bytes: impl Buf) -> io::Result<()> {
        let timeout = self.server.limits.read_timeout;
        while bytes.has_remaining() {
            let written =
                tokio::time::timeout(timeout, self.writer.write_buf(&mut bytes)).await??;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
        }
        Ok(())
    }

    /// Closes the connection after its last response.
    async fn close(mut self) {
        if self.writer.shutdown().await.is_ok() {
            let _ = tokio::time::timeout(DISCARD_TIMEOUT, self.reader.discard()).await;
        }
    }
}
