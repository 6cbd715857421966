//! A model engine that simulates prefill and decode at a configured speed. Its answer repeats the
//! start of the prompt, followed in a stream by numbered words.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use baobabvane_wire::{Request, ServerConn};
use http::{HeaderValue, header};
use monoio::time::{Instant, sleep, sleep_until};
use serde_json::{Value, json};

use crate::server::{Handler, ServerHandle, json_response, spawn};

/// Simulated speed of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    /// Prefill time of one prompt token, in microseconds.
    pub prefill_us: u64,
    /// Time before each token of the answer, in microseconds; 0 writes without delay.
    pub decode_us: u64,
}

/// Faults that an engine injects; none by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineFaults {
    /// Answers every request with status 503.
    pub refuse: bool,
    /// Closes the connection of a stream after this many tokens.
    pub cut_after: Option<u32>,
    /// Ends the body of a stream properly after this many tokens, but without the `[DONE]` event.
    pub end_after: Option<u32>,
    /// Accepts requests and never answers.
    pub hang: bool,
}

/// A running engine; dropping it stops its thread.
#[derive(Debug)]
pub struct Engine {
    server: ServerHandle,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    faults: EngineFaults,
    started: HashMap<String, u32>,
    finished: u32,
    cancelled: u32,
    running: u32,
    peak_running: u32,
}

impl Engine {
    /// Starts an engine on a free port.
    pub fn spawn(speed: EngineSpeed) -> Self {
        Self::spawn_at(SocketAddr::from(([127, 0, 0, 1], 0)), speed)
    }

    /// Starts an engine at an address.
    pub fn spawn_at(address: SocketAddr, speed: EngineSpeed) -> Self {
        let shared = Arc::new(Mutex::new(Shared::default()));
        let handler_shared = Arc::clone(&shared);
        let server = spawn(address, move || EngineHandler {
            speed,
            shared: handler_shared,
            prefill_free_at: Cell::new(Instant::now()),
            chunk_buffer: RefCell::new(Vec::new()),
        });
        Self { server, shared }
    }

    /// Returns the address on which the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the faults for requests that arrive from now on.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.lock().expect("the lock is not poisoned").faults = faults;
    }

    /// Returns how many requests the engine started, without those refused with 503.
    pub fn started(&self) -> u32 {
        self.shared.lock().expect("the lock is not poisoned").started.values().sum()
    }

    /// Returns whether the engine started a request whose last message, cut to its first 32
    /// characters, equals `prompt_prefix`.
    pub fn was_started(&self, prompt_prefix: &str) -> bool {
        self.shared.lock().expect("the lock is not poisoned").started.contains_key(prompt_prefix)
    }

    /// Returns how many answers were written to their end, including streams that `end_after` ended.
    pub fn finished(&self) -> u32 {
        self.shared.lock().expect("the lock is not poisoned").finished
    }

    /// Returns the largest number of requests that ran at the same time.
    pub fn peak_running(&self) -> u32 {
        self.shared.lock().expect("the lock is not poisoned").peak_running
    }

    /// Returns how many requests ended without a complete answer, because the connection closed or
    /// a fault broke it.
    pub fn cancelled(&self) -> u32 {
        self.shared.lock().expect("the lock is not poisoned").cancelled
    }
}

struct EngineHandler {
    speed: EngineSpeed,
    shared: Arc<Mutex<Shared>>,
    prefill_free_at: Cell<Instant>,
    /// Buffer for one event, reused from event to event.
    chunk_buffer: RefCell<Vec<u8>>,
}

impl Handler for EngineHandler {
    async fn handle(&self, conn: &mut ServerConn, req: Request) -> bool {
        let faults = self.shared.lock().expect("the lock is not poisoned").faults;
        if faults.refuse {
            let refusal = json_response(503, "{\"error\":\"overloaded\"}".to_owned());
            return conn.write_response(refusal).await.is_ok();
        }
        let body: Value = serde_json::from_slice(req.body()).unwrap_or_default();
        let text = body["messages"]
            .as_array()
            .and_then(|m| m.last())
            .and_then(|m| m["content"].as_str())
            .unwrap_or_default();
        let prompt_prefix: String = text.chars().take(32).collect();
        self.record_start(&prompt_prefix);
        if faults.hang {
            conn.peer_closed().await;
            self.record_end(false);
            return false;
        }
        let tokens = body["max_tokens"].as_u64().unwrap_or(16) as u32;
        self.wait_for_prefill(text.len() as u64 / 4).await;
        let stream = body["stream"].as_bool().unwrap_or(false);
        let is_complete = if stream {
            self.write_stream(conn, &prompt_prefix, tokens, faults).await
        } else {
            self.write_answer(conn, &prompt_prefix, tokens).await
        };
        self.record_end(is_complete);
        is_complete
    }
}

impl EngineHandler {
    fn record_start(&self, prompt_prefix: &str) {
        let mut shared = self.shared.lock().expect("the lock is not poisoned");
        *shared.started.entry(prompt_prefix.to_owned()).or_default() += 1;
        shared.running += 1;
        shared.peak_running = shared.peak_running.max(shared.running);
    }

    fn record_end(&self, is_complete: bool) {
        let mut shared = self.shared.lock().expect("the lock is not poisoned");
        shared.running -= 1;
        match is_complete {
            true => shared.finished += 1,
            false => shared.cancelled += 1,
        }
    }

    /// Waits for the prefill of a prompt. Prompts are prefilled one at a time, as in a real engine.
    async fn wait_for_prefill(&self, tokens: u64) {
        let start = self.prefill_free_at.get().max(Instant::now());
        let end = start + Duration::from_micros(tokens * self.speed.prefill_us);
        self.prefill_free_at.set(end);
        if end > Instant::now() {
            sleep_until(end).await;
        }
    }

    async fn wait_for_token(&self) {
        if self.speed.decode_us > 0 {
            sleep(Duration::from_micros(self.speed.decode_us)).await;
        }
    }

    async fn write_answer(&self, conn: &mut ServerConn, prompt_prefix: &str, tokens: u32) -> bool {
        let decode = async {
            for _ in 0..tokens {
                self.wait_for_token().await;
            }
        };
        let has_disconnected = monoio::select! {
            () = decode => false,
            () = conn.peer_closed() => true,
        };
        if has_disconnected {
            return false;
        }
        let answer = json!({
            "object": "chat.completion",
            "choices": [{"index": 0, "finish_reason": "stop",
                "message": {"role": "assistant", "content": format!("about {prompt_prefix}")}}],
            "usage": {"completion_tokens": tokens},
        });
        conn.write_response(json_response(200, answer.to_string())).await.is_ok()
    }

    async fn write_stream(
        &self,
        conn: &mut ServerConn,
        prompt_prefix: &str,
        tokens: u32,
        faults: EngineFaults,
    ) -> bool {
        let mut head = http::Response::new(());
        let sse = HeaderValue::from_static("text/event-stream");
        head.headers_mut().insert(header::CONTENT_TYPE, sse);
        if conn.start_stream(head).await.is_err() {
            return false;
        }
        for n in 0..tokens {
            if faults.cut_after == Some(n) {
                return false;
            }
            if faults.end_after == Some(n) {
                return conn.end_stream().await.is_ok();
            }
            self.wait_for_token().await;
            let word = if n == 0 { format!("about {prompt_prefix}") } else { format!(" word{n}") };
            if self.write_event(conn, &word).await.is_err() {
                return false;
            }
        }
        let last = conn.write_chunk(b"data: [DONE]\n\n").await;
        last.is_ok() && conn.end_stream().await.is_ok()
    }

    async fn write_event(
        &self,
        conn: &mut ServerConn,
        word: &str,
    ) -> Result<(), baobabvane_wire::WireError> {
        let event = json!({"choices": [{"index": 0, "delta": {"content": word}}]});
        let mut chunk = std::mem::take(&mut *self.chunk_buffer.borrow_mut());
        chunk.clear();
        chunk.extend_from_slice(format!("data: {event}\n\n").as_bytes());
        let written = conn.write_chunk(&chunk).await;
        *self.chunk_buffer.borrow_mut() = chunk;
        written
    }
}
