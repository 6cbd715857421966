//! Drop guards that tell the scheduler when a request no longer waits for an endpoint or has
//! ended there, also if the request's future is dropped.
//!
//! A [`QueuedRequest`] becomes an [`InFlightRequest`] when the scheduler grants an endpoint.
//! Dropping either early, for example when the caller disconnects, notifies the scheduler.

use std::{io, time::Duration};

use baobabvane_decide::{Ending, LASTING_ANSWER_MS, Reach, StreamReport, Ticket};
use baobabvane_tasks::Mailbox;
use baobabvane_wire::WireError;
use monoio::time::Instant;

use crate::scheduler::{Grant, PlacementRequest, Refused, SchedulerMessage};

/// See [`LASTING_ANSWER_MS`].
const LASTING_ANSWER: Duration = Duration::from_millis(LASTING_ANSWER_MS as u64);

/// A request waiting for an endpoint; withdrawn on drop unless it was granted or refused.
struct QueuedRequest<'a> {
    ticket: Ticket,
    scheduler: &'a Mailbox<SchedulerMessage>,
    is_resolved: bool,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        if !self.is_resolved {
            self.scheduler.send(SchedulerMessage::CancelPlacement(self.ticket));
        }
    }
}

/// A request that was granted an endpoint; reported as cancelled if dropped before its end.
pub(super) struct InFlightRequest {
    ticket: Ticket,
    scheduler: Mailbox<SchedulerMessage>,
    /// When the first data of a successful response arrived.
    response_started_at: Option<Instant>,
    /// Whether the response has gone on for so long that its endpoint did not crash at its beginning.
    has_lasted: bool,
    has_ended: bool,
    /// Whether the request counts for a rollout.
    is_counted: bool,
    timing: StreamTiming,
}

/// When the events of a stream arrived from its endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct StreamTiming {
    events: u32,
    tokens: u32,
    first_at: Option<Instant>,
    last_at: Option<Instant>,
    longest_gap: Duration,
    is_held_back: bool,
}

impl StreamTiming {
    fn record_events(&mut self, events: u32, tokens: u32, now: Instant) {
        self.events += events;
        self.tokens += tokens;
        self.first_at = self.first_at.or(Some(now));
        if let Some(last) = self.last_at.replace(now) {
            self.longest_gap = self.longest_gap.max(now.saturating_duration_since(last));
        }
    }

    /// Returns the report of a stream that ends now; `None` if it had no events, or if its gaps are
    /// not those of the endpoint.
    fn report(&self, is_complete: bool, now: Instant) -> Option<StreamReport> {
        let (first, last) = (self.first_at?, self.last_at?);
        if self.is_held_back {
            return None;
        }
        // A stream that breaks off or is abandoned had a last gap without an event at its end.
        let end = if is_complete { last } else { now };
        let last_gap = end.saturating_duration_since(last);
        let ms = |duration: Duration| duration.as_secs_f64() * 1_000.0;
        Some(StreamReport {
            events: self.events,
            tokens: self.tokens,
            streaming_ms: ms(end.saturating_duration_since(first)),
            longest_gap_ms: ms(self.longest_gap.max(last_gap)),
        })
    }
}

impl InFlightRequest {
    /// Notifies the scheduler that the request is being sent, if it counts for a rollout.
    pub(super) fn record_sent(&self) {
        if self.is_counted {
            self.scheduler.send(SchedulerMessage::RequestSent(self.ticket));
        }
    }

    fn report_gap(&self) {
        let gap = self.timing.longest_gap;
        if self.is_counted && !gap.is_zero() {
            self.scheduler.send(SchedulerMessage::LongestGap(self.ticket, gap));
        }
    }

    /// Records events that arrived from the endpoint of a stream.
    pub(super) fn record_events(&mut self, events: u32, tokens: u32) {
        self.timing.record_events(events, tokens, Instant::now());
    }

    /// Records that the caller reads the stream so slowly that the endpoint's events wait.
    pub(super) fn record_held_back(&mut self) {
        self.timing.is_held_back = true;
    }

    /// Notifies the scheduler of a stream's timing, before the end of the request.
    fn report_stream(&self, is_complete: bool) {
        if let Some(report) = self.timing.report(is_complete, Instant::now()) {
            self.scheduler.send(SchedulerMessage::StreamEnded(self.ticket, report));
        }
    }

    /// Notifies the scheduler of the first data of a successful response, and of later data once the
    /// response has lasted.
    pub(super) fn record_progress(&mut self) {
        let Some(started_at) = self.response_started_at else {
            self.response_started_at = Some(Instant::now());
            self.scheduler.send(SchedulerMessage::AnswerStarted(self.ticket));
            return;
        };
        if !self.has_lasted && started_at.elapsed() >= LASTING_ANSWER {
            self.has_lasted = true;
            self.scheduler.send(SchedulerMessage::AnswerProceeded(self.ticket, Reach::Lasting));
        }
    }

    pub(super) fn has_response_started(&self) -> bool {
        self.response_started_at.is_some()
    }

    /// Notifies the scheduler that the response could not be read to its end.
    ///
    /// If the connection was closed, the request may have crashed the endpoint.
    pub(super) fn break_off(self, error: &WireError) {
        let is_closed = match error {
            WireError::Io(e) => e.kind() != io::ErrorKind::TimedOut,
            WireError::UnexpectedEof => true,
            _ => false,
        };
        if is_closed {
            let has_lasted = self.has_lasted;
            self.scheduler.send(SchedulerMessage::ConnectionBroke(self.ticket, has_lasted));
        }
        self.end(Ending::Failed);
    }

    /// Notifies the scheduler that the response was read to its end.
    ///
    /// The end of a response that is close-delimited does not show that it is complete.
    pub(super) fn complete(self, answer_tokens: u32, is_close_delimited: bool) {
        // An error tells nothing of how the endpoint answers such a prompt.
        if self.has_response_started() {
            let has_lasted = self.has_lasted;
            self.scheduler.send(match is_close_delimited {
                true => SchedulerMessage::AnswerClosed(self.ticket, has_lasted),
                false => SchedulerMessage::AnswerProceeded(self.ticket, Reach::Complete),
            });
        }
        self.end(Ending::Complete { answer_tokens });
    }

    /// Notifies the scheduler how the request ended at the endpoint.
    pub(super) fn end(mut self, ending: Ending) {
        self.has_ended = true;
        self.report_gap();
        self.report_stream(matches!(ending, Ending::Complete { .. }));
        self.scheduler.send(SchedulerMessage::RequestEnded(self.ticket, ending));
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if !self.has_ended {
            self.report_gap();
            self.report_stream(false);
            self.scheduler.send(SchedulerMessage::RequestEnded(self.ticket, Ending::Cancelled));
        }
    }
}

/// Requests an endpoint from the scheduler and waits for the grant or refusal.
///
/// Returns `None` when the scheduler gives neither, as at shutdown.
pub(super) async fn request_endpoint(
    scheduler: &Mailbox<SchedulerMessage>,
    placement_request: PlacementRequest,
) -> Option<Result<(Grant, InFlightRequest), Refused>> {
    let ticket = placement_request.ticket;
    let mut queued = QueuedRequest { ticket, scheduler, is_resolved: false };
    let result =
        scheduler.ask(|reply| SchedulerMessage::Place(Box::new(placement_request), reply)).await?;
    queued.is_resolved = true;
    Some(result.map(|grant| {
        let in_flight = InFlightRequest {
            ticket,
            scheduler: scheduler.clone(),
            response_started_at: None,
            has_lasted: false,
            has_ended: false,
            is_counted: grant.is_counted,
            timing: StreamTiming::default(),
        };
        (grant, in_flight)
    }))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against stalled streams that report no long gap because their callers left first, and
    /// against gaps that a slow caller causes.
    #[test]
    fn report_of_a_stream_has_the_gaps_of_its_endpoint() {
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        let mut timing = StreamTiming::default();
        assert_eq!(timing.report(true, at(0)), None);
        timing.record_events(1, 8, at(100));
        timing.record_events(2, 16, at(150));
        let report = timing.report(true, at(900)).unwrap();
        let expected =
            StreamReport { events: 3, tokens: 24, streaming_ms: 50.0, longest_gap_ms: 50.0 };
        assert_eq!(report, expected);
        let broken = timing.report(false, at(900)).unwrap();
        assert_eq!((broken.streaming_ms, broken.longest_gap_ms), (800.0, 750.0));
        timing.is_held_back = true;
        assert_eq!(timing.report(false, at(900)), None);
    }
}
