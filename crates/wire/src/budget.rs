//! One account of the memory that a process holds for its callers, endpoints, peers and store.
//!
//! Each kind of use has a reserve that no other kind can take, and a maximum. If a reservation does
//! not fit, the slowest readers are evicted and the reservation waits.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt,
    rc::Rc,
    time::Duration,
};

use futures::channel::oneshot;
use monoio::time::{Instant, timeout};

/// A kind of use of the memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryKind {
    /// Connections of callers, the heads of their requests and small bodies.
    Callers,
    /// Larger bodies of requests.
    RequestBodies,
    /// The first part of each response, and incomplete events of streams.
    Responses,
    /// The rest of large responses.
    LargeResponses,
    /// Messages of other instances.
    Peers,
    /// Answers of the store.
    Store,
}

impl MemoryKind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Self; 6] = [
        Self::Callers,
        Self::RequestBodies,
        Self::Responses,
        Self::LargeResponses,
        Self::Peers,
        Self::Store,
    ];

    /// Returns the name of the kind in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::RequestBodies => "request_bodies",
            Self::Responses => "responses",
            Self::LargeResponses => "large_responses",
            Self::Peers => "peers",
            Self::Store => "store",
        }
    }

    /// The reserve of the kind, in 32nds of the total.
    const fn reserve_parts(self) -> usize {
        match self {
            Self::Callers => 6,
            Self::RequestBodies | Self::Responses | Self::LargeResponses => 4,
            Self::Peers | Self::Store => 1,
        }
    }

    /// The most that the kind may take, in 32nds of the total.
    const fn max_parts(self) -> usize {
        match self {
            Self::Callers | Self::RequestBodies | Self::Responses => 16,
            Self::LargeResponses => 32,
            Self::Peers | Self::Store => 8,
        }
    }
}

/// The parts into which the total is divided.
const PARTS: usize = 32;
/// The memory of the process is divided by this for the total. The other half is for the program, its
/// control state, what the allocator retains and the buffers of the kernel.
const TOTAL_DIVISOR: usize = 2;
/// A reader that holds less is not evicted for memory.
const MIN_EVICTED_BYTES: usize = 64 * 1024;
/// A reader that reads at least so many bytes a second is never evicted. The smallest machine has
/// 10 Mbit/s, of which this is a fortieth.
const MIN_READ_RATE: f64 = 32.0 * 1024.0;
/// A reader is not evicted within this time of its start, which one lost packet may take.
const MIN_READ_TIME: Duration = Duration::from_secs(1);
/// The rate counts from the first read after so long, so that a reader which was fast at first is not
/// taken for fast for ever.
const READ_WINDOW: Duration = Duration::from_secs(4);
/// The least time between two searches for readers to evict, so that many reservations that wait do
/// not each search among many readers.
const EVICTION_INTERVAL: Duration = Duration::from_millis(50);

/// The memory that all connections of a process share.
pub struct MemoryBudget {
    total_bytes: usize,
    used_bytes: [Cell<usize>; MemoryKind::ALL.len()],
    waiting: RefCell<BTreeMap<WaitKey, oneshot::Sender<Permit>>>,
    is_granting: Cell<bool>,
    readers: RefCell<BTreeMap<u64, Rc<ReaderState>>>,
    last_number: Cell<u64>,
    last_eviction_at: Cell<Option<Instant>>,
    evicted_readers: Cell<u64>,
}

/// The place of a waiting reservation: the smallest of a kind is first, so that small responses do
/// not wait for large ones.
type WaitKey = (u8, usize, u64);

impl MemoryBudget {
    /// Creates the budget of a process that may use `memory_bytes` in all.
    pub fn new(memory_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            total_bytes: memory_bytes / TOTAL_DIVISOR,
            used_bytes: Default::default(),
            waiting: RefCell::default(),
            is_granting: Cell::new(false),
            readers: RefCell::default(),
            last_number: Cell::new(0),
            last_eviction_at: Cell::new(None),
            evicted_readers: Cell::new(0),
        })
    }

    /// Returns the bytes that a kind holds.
    pub fn used_bytes(&self, kind: MemoryKind) -> usize {
        self.used_bytes[kind as usize].get()
    }

    /// Returns the number of readers that were evicted so far.
    pub fn evicted_readers(&self) -> u64 {
        self.evicted_readers.get()
    }

    /// Reserves memory at once; `None` if too little is free.
    pub fn try_reserve(self: &Rc<Self>, kind: MemoryKind, bytes: usize) -> Option<Permit> {
        if bytes > self.free_bytes(kind) {
            return None;
        }
        Some(self.count(kind, bytes))
    }

    /// Like [`MemoryBudget::try_reserve`], but leaves at least `left` bytes free for the kind.
    pub fn try_reserve_leaving(
        self: &Rc<Self>,
        kind: MemoryKind,
        bytes: usize,
        left: usize,
    ) -> Option<Permit> {
        let mut permit = self.try_reserve(kind, bytes + left)?;
        permit.shrink_to(bytes);
        Some(permit)
    }

    /// Counts memory that is taken whether or not it is free. This is for control, whose messages have
    /// limits of their own and must not fail because callers take the memory.
    pub fn count(self: &Rc<Self>, kind: MemoryKind, bytes: usize) -> Permit {
        let used = &self.used_bytes[kind as usize];
        used.set(used.get() + bytes);
        Permit { budget: Rc::clone(self), kind, bytes }
    }

    /// Reserves memory; if too little is free, evicts slow readers and waits up to `max_wait`.
    pub async fn reserve(
        self: &Rc<Self>,
        kind: MemoryKind,
        bytes: usize,
        max_wait: Duration,
    ) -> Option<Permit> {
        if let Some(permit) = self.try_reserve(kind, bytes) {
            return Some(permit);
        }
        if bytes > self.max_bytes(kind) {
            return None;
        }
        let deadline = Instant::now() + max_wait;
        let (tx, mut rx) = oneshot::channel();
        let key = (kind as u8, bytes, self.next_number());
        self.waiting.borrow_mut().insert(key, tx);
        let _waiting = Waiting { budget: self, key };
        loop {
            let now = Instant::now();
            if now >= deadline {
                return None;
            }
            self.evict_slow_readers(bytes.saturating_sub(self.free_bytes(kind)), now);
            let wait = EVICTION_INTERVAL.min(deadline - now);
            if let Ok(granted) = timeout(wait, &mut rx).await {
                return granted.ok();
            }
        }
    }

    /// Returns the most that a kind may hold while all others hold no more than their reserves.
    pub(crate) fn max_bytes(&self, kind: MemoryKind) -> usize {
        let reserves: usize =
            MemoryKind::ALL.iter().filter(|k| **k != kind).map(|k| self.reserve_bytes(*k)).sum();
        (self.total_bytes - reserves).min(self.part(kind.max_parts()))
    }

    fn part(&self, parts: usize) -> usize {
        self.total_bytes / PARTS * parts
    }

    fn reserve_bytes(&self, kind: MemoryKind) -> usize {
        self.part(kind.reserve_parts())
    }

    fn free_bytes(&self, kind: MemoryKind) -> usize {
        let others: usize = MemoryKind::ALL
            .iter()
            .filter(|k| **k != kind)
            .map(|k| self.used_bytes(*k).max(self.reserve_bytes(*k)))
            .sum();
        let used = self.used_bytes(kind);
        let free_in_total = self.total_bytes.saturating_sub(others + used);
        free_in_total.min(self.part(kind.max_parts()).saturating_sub(used))
    }

    fn release(self: &Rc<Self>, kind: MemoryKind, bytes: usize) {
        let used = &self.used_bytes[kind as usize];
        used.set(used.get() - bytes);
        self.grant_waiting();
    }

    /// Grants the reservations that fit by now.
    fn grant_waiting(self: &Rc<Self>) {
        // A permit that cannot be handed over is dropped below, which calls this method again.
        if self.is_granting.get() || self.waiting.borrow().is_empty() {
            return;
        }
        self.is_granting.set(true);
        for kind in MemoryKind::ALL {
            loop {
                let first_of_kind = (kind as u8, 0, 0)..(kind as u8 + 1, 0, 0);
                let first = self.waiting.borrow().range(first_of_kind).next().map(|(key, _)| *key);
                let Some(key) = first else { break };
                let Some(permit) = self.try_reserve(kind, key.1) else { break };
                let tx = self.waiting.borrow_mut().remove(&key);
                if let Some(tx) = tx {
                    // An error means that the reservation is no longer awaited.
                    let _ = tx.send(permit);
                }
            }
        }
        self.is_granting.set(false);
    }

    fn next_number(&self) -> u64 {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        number
    }

    /// Adds a reader to those that may be evicted.
    pub(crate) fn add_reader(self: &Rc<Self>, held_bytes: usize, started_at: Instant) -> Reader {
        let (tx, evicted_rx) = oneshot::channel();
        let state = Rc::new(ReaderState {
            started_at,
            held_bytes: Cell::new(held_bytes),
            read_bytes: Cell::new(0),
            window: Cell::new((started_at, 0)),
            evict_tx: RefCell::new(Some(tx)),
        });
        let number = self.next_number();
        self.readers.borrow_mut().insert(number, Rc::clone(&state));
        Reader { budget: Rc::clone(self), number, state, evicted_rx }
    }

    /// Evicts the reader that holds most and makes the least progress, whatever it holds, so that its
    /// connection is closed; returns false if all readers are fast enough.
    pub fn evict_slowest_reader(&self, now: Instant) -> bool {
        self.evict_one(0, now).is_some()
    }

    /// Evicts readers until those that are about to close hold at least `bytes`.
    fn evict_slow_readers(&self, bytes: usize, now: Instant) {
        let is_early = |at: Instant| now.saturating_duration_since(at) < EVICTION_INTERVAL;
        if self.last_eviction_at.get().is_some_and(is_early) {
            return;
        }
        self.last_eviction_at.set(Some(now));
        let mut evicted_bytes = self.closing_bytes();
        while evicted_bytes < bytes {
            let Some(held) = self.evict_one(MIN_EVICTED_BYTES, now) else { return };
            evicted_bytes += held;
        }
    }

    /// Returns what evicted readers still hold.
    fn closing_bytes(&self) -> usize {
        let readers = self.readers.borrow();
        readers.values().filter(|r| r.is_evicted()).map(|r| r.held_bytes.get()).sum()
    }

    fn evict_one(&self, min_bytes: usize, now: Instant) -> Option<usize> {
        let readers = self.readers.borrow();
        let candidates = readers
            .values()
            .filter(|r| !r.is_evicted() && r.held_bytes.get() >= min_bytes && r.is_slow(now));
        let slowest = candidates.max_by(|a, b| a.cost(now).total_cmp(&b.cost(now)))?;
        slowest.evict_tx.borrow_mut().take()?.send(()).ok()?;
        self.evicted_readers.set(self.evicted_readers.get() + 1);
        Some(slowest.held_bytes.get())
    }
}

/// Withdraws a reservation that is no longer awaited.
struct Waiting<'a> {
    budget: &'a MemoryBudget,
    key: WaitKey,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.budget.waiting.borrow_mut().remove(&self.key);
    }
}

/// Memory that counts in a budget until this is dropped.
pub struct Permit {
    budget: Rc<MemoryBudget>,
    kind: MemoryKind,
    bytes: usize,
}

impl fmt::Debug for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Permit").field("kind", &self.kind).field("bytes", &self.bytes).finish()
    }
}

impl Permit {
    /// Returns the bytes that are reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves more at once, so that at least `bytes` are reserved; returns whether they are.
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        let Some(more) = bytes.checked_sub(self.bytes).filter(|more| *more > 0) else {
            return true;
        };
        let permit = self.budget.try_reserve(self.kind, more);
        permit.map(|permit| self.absorb(permit)).is_some()
    }

    /// Like [`Permit::try_grow_to`], but evicts slow readers and waits.
    pub(crate) async fn grow_to(&mut self, bytes: usize, max_wait: Duration) -> bool {
        if self.try_grow_to(bytes) {
            return true;
        }
        let permit = self.budget.reserve(self.kind, bytes - self.bytes, max_wait).await;
        permit.map(|permit| self.absorb(permit)).is_some()
    }

    /// Counts more, so that at least `bytes` are counted, whether or not they are free; see
    /// [`MemoryBudget::count`].
    pub fn count_to(&mut self, bytes: usize) {
        let more = bytes.saturating_sub(self.bytes);
        let permit = self.budget.count(self.kind, more);
        self.absorb(permit);
    }

    /// Frees what is reserved beyond `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let unused = self.bytes.saturating_sub(bytes);
        if unused > 0 {
            self.bytes -= unused;
            self.budget.release(self.kind, unused);
        }
    }

    pub(crate) fn budget(&self) -> &Rc<MemoryBudget> {
        &self.budget
    }

    fn absorb(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

struct ReaderState {
    started_at: Instant,
    held_bytes: Cell<usize>,
    read_bytes: Cell<usize>,
    /// The start of the time that the rate counts from, and what was read since.
    window: Cell<(Instant, usize)>,
    evict_tx: RefCell<Option<oneshot::Sender<()>>>,
}

impl ReaderState {
    fn is_evicted(&self) -> bool {
        self.evict_tx.borrow().is_none()
    }

    fn is_slow(&self, now: Instant) -> bool {
        let (since, read_bytes) = self.window.get();
        let elapsed = now.saturating_duration_since(since);
        elapsed >= MIN_READ_TIME && (read_bytes as f64) < MIN_READ_RATE * elapsed.as_secs_f64()
    }

    /// What a reader costs: the bytes held, for the time that it took for each byte so far.
    fn cost(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.started_at).as_secs_f64();
        self.held_bytes.get() as f64 * elapsed / (self.read_bytes.get() + 1) as f64
    }
}

/// A peer that a response is being written to.
pub(crate) struct Reader {
    budget: Rc<MemoryBudget>,
    number: u64,
    state: Rc<ReaderState>,
    evicted_rx: oneshot::Receiver<()>,
}

impl Reader {
    pub(crate) fn record_read(&self, bytes: usize, now: Instant) {
        let (since, read_bytes) = self.state.window.get();
        self.state.window.set(match now.saturating_duration_since(since) > READ_WINDOW {
            true => (now, bytes),
            false => (since, read_bytes + bytes),
        });
        self.state.read_bytes.set(self.state.read_bytes.get() + bytes);
        self.state.held_bytes.set(self.state.held_bytes.get().saturating_sub(bytes));
    }

    /// Resolves when the reader has to be closed; never otherwise.
    pub(crate) async fn evicted(&mut self) {
        if (&mut self.evicted_rx).await.is_err() {
            std::future::pending().await
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.budget.readers.borrow_mut().remove(&self.number);
    }
}

#[cfg(test)]
mod tests {
    use futures::FutureExt;

    use super::*;

    const MIB: usize = 1 << 20;
    const KINDS: [MemoryKind; 6] = MemoryKind::ALL;

    fn sum(budget: &MemoryBudget) -> usize {
        KINDS.iter().map(|kind| budget.used_bytes(*kind)).sum()
    }

    #[test]
    fn no_kind_can_take_the_reserve_of_another() {
        for greedy in KINDS {
            let budget = MemoryBudget::new(64 * MIB);
            let mut taken = Vec::new();
            while let Some(permit) = budget.try_reserve(greedy, 4096) {
                taken.push(permit);
            }
            assert_eq!(budget.used_bytes(greedy) / 4096, budget.max_bytes(greedy) / 4096);
            for kind in KINDS.into_iter().filter(|kind| *kind != greedy) {
                taken.extend(budget.try_reserve(kind, budget.reserve_bytes(kind)));
                assert_eq!(
                    budget.used_bytes(kind),
                    budget.reserve_bytes(kind),
                    "{greedy:?} {kind:?}"
                );
            }
            assert!(sum(&budget) <= 32 * MIB);
            drop(taken);
            assert_eq!(sum(&budget), 0);
        }
    }

    #[test]
    fn the_longest_response_fits_on_the_smallest_machine() {
        const SMALLEST_MACHINE_BYTES: usize = 88_000_000;
        let budget = MemoryBudget::new(SMALLEST_MACHINE_BYTES);
        assert!(budget.max_bytes(MemoryKind::LargeResponses) >= 16 * MIB);
    }

    /// Guards against readers that pay for others, and against evicting more than is needed.
    #[test]
    fn only_slow_readers_are_evicted_and_the_most_costly_first() {
        let budget = MemoryBudget::new(64 * MIB);
        let start = Instant::now();
        let mut fast = budget.add_reader(8 * MIB, start);
        let mut small = budget.add_reader(MIN_EVICTED_BYTES - 1, start);
        let mut slow = budget.add_reader(4 * MIB, start);
        let mut stopped = budget.add_reader(2 * MIB, start);
        let mut new = budget.add_reader(8 * MIB, start + Duration::from_secs(10));
        fast.record_read(MIB, start + Duration::from_secs(9));
        slow.record_read(100_000, start);
        let now = start + Duration::from_secs(10);
        budget.evict_slow_readers(1, now);
        assert!(stopped.evicted().now_or_never().is_some());
        budget.evict_slow_readers(MIB, now + EVICTION_INTERVAL);
        assert!(slow.evicted().now_or_never().is_none(), "the first one's memory suffices");
        drop(stopped);
        budget.evict_slow_readers(100 * MIB, now + 2 * EVICTION_INTERVAL);
        assert!(slow.evicted().now_or_never().is_some());
        for reader in [&mut fast, &mut small, &mut new] {
            assert!(reader.evicted().now_or_never().is_none());
        }
        assert_eq!(budget.evicted_readers(), 2);
    }

    #[test]
    fn a_reader_that_was_fast_at_first_can_be_evicted_soon() {
        let budget = MemoryBudget::new(64 * MIB);
        let start = Instant::now();
        let reader = budget.add_reader(8 * MIB, start);
        reader.record_read(4 * MIB, start);
        let later = start + 2 * READ_WINDOW;
        assert!(!budget.evict_slowest_reader(later));
        reader.record_read(1, later);
        assert!(!budget.evict_slowest_reader(later));
        assert!(budget.evict_slowest_reader(later + MIN_READ_TIME));
    }

    /// Guards against small responses that wait for large ones, and against permits that are lost.
    #[test]
    fn waiting_reservations_are_granted_smallest_first() {
        let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
            .enable_timer()
            .build()
            .expect("the runtime can create its epoll descriptor");
        runtime.block_on(async {
            let budget = MemoryBudget::new(64 * MIB);
            let kind = MemoryKind::LargeResponses;
            let max = budget.max_bytes(kind);
            let all = budget.try_reserve(kind, max).expect("all is free");
            let reserve = |bytes| {
                let budget = Rc::clone(&budget);
                async move { budget.reserve(kind, bytes, Duration::from_secs(5)).await }
            };
            let mut abandoned = Box::pin(reserve(1));
            let (mut large, mut small) = (Box::pin(reserve(max)), Box::pin(reserve(MIB)));
            assert!((&mut abandoned).now_or_never().is_none());
            assert!((&mut large).now_or_never().is_none());
            assert!((&mut small).now_or_never().is_none());
            drop(abandoned);
            drop(all);
            let granted = (&mut small).now_or_never().expect("the small one is first");
            assert!((&mut large).now_or_never().is_none());
            drop(granted);
            assert!((&mut large).now_or_never().flatten().is_some());
            assert_eq!(sum(&budget), 0);
            assert!(reserve(max + 1).now_or_never().expect("it can never fit").is_none());
        });
    }
}
