//! Bodies that are held in segments and counted in the memory budget.

use std::{collections::VecDeque, time::Duration};

use bytes::{Bytes, BytesMut};

use crate::{
    WireError,
    budget::{MemoryBudget, MemoryKind, Permit},
};

/// Largest segment. Segments of one size are reused by the allocator, and none has to be copied when
/// a body grows.
const SEGMENT_BYTES: usize = 64 * 1024;
/// First segment of a body whose length is not known.
const FIRST_SEGMENT_BYTES: usize = 4 * 1024;
/// What is reserved for a response before its request is sent; most responses need no more.
const INITIAL_RESPONSE_BYTES: usize = 16 * 1024;
/// The part of a response that counts as [`MemoryKind::Responses`], the reserve for ordinary ones.
const SMALL_RESPONSE_BYTES: usize = 64 * 1024;
/// Longest wait for memory; endpoints cut off a response that stays unread for some seconds.
const MAX_MEMORY_WAIT: Duration = Duration::from_secs(2);

/// A complete body; what it holds counts in the budget until it is dropped or written.
#[derive(Default)]
pub struct Body {
    segments: VecDeque<Bytes>,
    len: usize,
    permits: Option<(Permit, Option<Permit>)>,
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self { len: bytes.len(), segments: VecDeque::from([bytes]), permits: None }
    }
}

impl Body {
    /// Returns the number of bytes that are left.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no bytes are left.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Takes the next segment. It counts until the next call.
    pub(crate) fn next_segment(&mut self) -> Option<Bytes> {
        if let Some((first, rest)) = &mut self.permits {
            if let Some(rest) = rest {
                rest.shrink_to(self.len.saturating_sub(first.bytes()));
            }
            first.shrink_to(self.len);
        }
        let segment = self.segments.pop_front()?;
        self.len -= segment.len();
        Some(segment)
    }
}

/// Collects a body from the pieces in which it arrives.
pub struct BodyCollector {
    segments: VecDeque<Bytes>,
    last: BytesMut,
    len: usize,
    allocated_bytes: usize,
    stated_len: Option<usize>,
    max_bytes: usize,
    first: Permit,
    rest: Option<Permit>,
}

impl BodyCollector {
    /// Begins a body of at most `max_bytes`; `permit` is what was reserved for it beforehand.
    pub fn new(permit: Permit, max_bytes: usize) -> Self {
        Self {
            segments: VecDeque::new(),
            last: BytesMut::new(),
            len: 0,
            allocated_bytes: 0,
            stated_len: None,
            max_bytes,
            first: permit,
            rest: None,
        }
    }

    /// Reserves the memory for a body whose length is stated, so that two bodies cannot each wait
    /// for the memory that the other one holds.
    ///
    /// # Errors
    ///
    /// When the body is too large, or no memory is free in time.
    pub async fn expect_len(&mut self, len: usize) -> Result<(), WireError> {
        if len > self.max_bytes {
            return Err(WireError::BodyTooLarge { limit: self.max_bytes });
        }
        self.stated_len = Some(len);
        self.reserve(len).await
    }

    /// Appends a piece, which is copied.
    ///
    /// # Errors
    ///
    /// When the body is too large, or no memory is free in time.
    pub async fn push(&mut self, mut piece: &[u8]) -> Result<(), WireError> {
        if self.len + piece.len() > self.max_bytes {
            return Err(WireError::BodyTooLarge { limit: self.max_bytes });
        }
        while !piece.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.add_segment().await?;
            }
            let part = piece.len().min(self.last.capacity() - self.last.len());
            self.last.extend_from_slice(&piece[..part]);
            self.len += part;
            piece = &piece[part..];
        }
        Ok(())
    }

    /// Returns the body.
    pub fn finish(mut self) -> Body {
        self.segments.push_back(self.last.freeze());
        Body { segments: self.segments, len: self.len, permits: Some((self.first, self.rest)) }
    }

    async fn add_segment(&mut self) -> Result<(), WireError> {
        let wanted = match self.stated_len {
            Some(stated) => stated.saturating_sub(self.len),
            None => self.allocated_bytes.max(FIRST_SEGMENT_BYTES),
        };
        let bytes = wanted.clamp(1, SEGMENT_BYTES);
        self.reserve(self.allocated_bytes + bytes).await?;
        self.allocated_bytes += bytes;
        let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(bytes));
        if !full.is_empty() {
            self.segments.push_back(full.freeze());
        }
        Ok(())
    }

    async fn reserve(&mut self, bytes: usize) -> Result<(), WireError> {
        let no_memory = WireError::NoMemoryForBody { bytes };
        if !self.first.grow_to(bytes.min(SMALL_RESPONSE_BYTES), MAX_MEMORY_WAIT).await {
            return Err(no_memory);
        }
        let bytes = bytes.saturating_sub(self.first.bytes());
        let rest = match &mut self.rest {
            _ if bytes == 0 => return Ok(()),
            Some(rest) => rest,
            None => match self.first.budget().try_reserve(MemoryKind::LargeResponses, 0) {
                Some(rest) => self.rest.insert(rest),
                None => return Err(no_memory),
            },
        };
        match rest.grow_to(bytes, MAX_MEMORY_WAIT).await {
            true => Ok(()),
            false => Err(no_memory),
        }
    }
}

impl MemoryBudget {
    /// Reserves what a response takes at first, before its request is sent.
    pub async fn reserve_response(self: &std::rc::Rc<Self>, max_wait: Duration) -> Option<Permit> {
        self.reserve(MemoryKind::Responses, INITIAL_RESPONSE_BYTES, max_wait).await
    }
}

#[cfg(test)]
mod tests {
    use futures::FutureExt;

    use super::*;

    const MAX_BYTES: usize = 1 << 20;

    fn collect(pieces: &[usize], stated: Option<usize>) -> (Body, std::rc::Rc<MemoryBudget>) {
        let budget = MemoryBudget::new(64 << 20);
        let permit = budget.try_reserve(MemoryKind::Responses, INITIAL_RESPONSE_BYTES).unwrap();
        let mut collector = BodyCollector::new(permit, MAX_BYTES);
        if let Some(len) = stated {
            collector.expect_len(len).now_or_never().expect("memory is free").unwrap();
        }
        let mut next_byte = 0_u8;
        for len in pieces {
            let piece: Vec<u8> = (0..*len)
                .map(|_| {
                    next_byte = next_byte.wrapping_add(1);
                    next_byte
                })
                .collect();
            collector.push(&piece).now_or_never().expect("memory is free").unwrap();
        }
        (collector.finish(), budget)
    }

    fn used(budget: &MemoryBudget) -> usize {
        MemoryKind::ALL.iter().map(|kind| budget.used_bytes(*kind)).sum()
    }

    #[test]
    fn a_body_is_the_same_however_it_arrives_and_is_freed_as_it_is_taken() {
        let len = 300_000;
        for stated in [None, Some(len)] {
            for piece_bytes in [997, 4096, 100_000, len] {
                let pieces: Vec<_> =
                    (0..len).step_by(piece_bytes).map(|at| piece_bytes.min(len - at)).collect();
                let (mut body, budget) = collect(&pieces, stated);
                assert!(used(&budget) >= len && used(&budget) <= len + SEGMENT_BYTES);
                let mut taken = 0;
                let mut expected = 0_u8;
                while let Some(segment) = body.next_segment() {
                    assert!(used(&budget) <= len - taken + SEGMENT_BYTES);
                    for byte in &segment {
                        expected = expected.wrapping_add(1);
                        assert_eq!(*byte, expected);
                    }
                    taken += segment.len();
                }
                assert_eq!((taken, used(&budget)), (len, 0));
            }
        }
    }

    #[test]
    fn small_and_empty_bodies_take_no_more_than_was_reserved() {
        for len in [0, 1, 5_000] {
            let (body, budget) = collect(&[len], None);
            assert_eq!((body.len(), used(&budget)), (len, INITIAL_RESPONSE_BYTES));
        }
    }

    /// Guards against bodies that each stay within their limit and together exceed the memory.
    #[test]
    fn bodies_that_are_read_at_a_time_share_the_budget() {
        const MEMORY_BYTES: usize = 64 << 20;
        let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
            .enable_timer()
            .build()
            .expect("the runtime can create its epoll descriptor");
        runtime.block_on(async {
            let budget = MemoryBudget::new(MEMORY_BYTES);
            let mut bodies: Vec<_> = (0..100)
                .map(|_| budget.try_reserve(MemoryKind::Responses, INITIAL_RESPONSE_BYTES))
                .map(|permit| BodyCollector::new(permit.expect("all is free"), MAX_BYTES))
                .collect();
            let piece = [0; 16 * 1024];
            while !bodies.is_empty() {
                bodies.retain_mut(|body| matches!(body.push(&piece).now_or_never(), Some(Ok(()))));
                let held: usize = bodies.iter().map(|body| body.allocated_bytes).sum();
                assert!(held <= used(&budget) && used(&budget) <= MEMORY_BYTES / 2, "{held}");
            }
            assert_eq!(used(&budget), 0);
        });
    }

    #[test]
    fn a_body_over_its_limit_is_rejected_before_it_is_kept() {
        let budget = MemoryBudget::new(64 << 20);
        let permit = budget.try_reserve(MemoryKind::Responses, INITIAL_RESPONSE_BYTES).unwrap();
        let mut collector = BodyCollector::new(permit, 10);
        assert!(collector.expect_len(11).now_or_never().unwrap().is_err());
        assert!(collector.push(b"12345678901").now_or_never().unwrap().is_err());
        assert_eq!(collector.len, 0);
    }
}
