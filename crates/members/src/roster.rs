//! A snapshot of the live instances, which selects the scheduler of each pool in each
//! availability zone.
//!
//! Instances with equal snapshots select the same scheduler without coordination.

use std::net::SocketAddr;

use crate::membership::Member;

/// The live instances, including the one that took the snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    members: Vec<Member>,
}

impl Roster {
    /// Creates a roster of the given live instances.
    pub fn new(members: impl IntoIterator<Item = Member>) -> Self {
        Self { members: members.into_iter().collect() }
    }

    /// Returns the live instances in the order in which they were given.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// Returns the address on which a live instance receives messages of other instances.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.members.iter().find(|m| m.name == name).map(|m| m.address)
    }

    /// Returns the instance of `zone` that schedules `pool`, or `None` if none is eligible.
    /// Instances that are stopping are not eligible, nor are those for whose name `is_excluded`
    /// returns true, such as instances that the caller failed to reach.
    ///
    /// All callers with the same members and exclusions get the same result. When an instance
    /// leaves, only the pools that it scheduled move.
    pub fn scheduler(
        &self,
        pool: &str,
        zone: &str,
        is_excluded: impl Fn(&str) -> bool,
    ) -> Option<&Member> {
        self.members
            .iter()
            .filter(|m| m.zone == zone && !m.is_leaving && !is_excluded(&m.name))
            .max_by_key(|m| rendezvous_weight(pool, &m.name))
    }
}

/// Returns the weight of an instance for a pool; the instance with the largest one schedules
/// the pool (rendezvous hashing).
fn rendezvous_weight(pool: &str, name: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(pool.as_bytes());
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    *hasher.finalize().as_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(n: usize) -> Member {
        Member {
            name: format!("entry-{n}"),
            zone: "a".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            is_leaving: false,
        }
    }

    #[test]
    fn only_the_pools_of_a_lost_instance_move() {
        let all = Roster::new((0..8).map(member));
        let fewer = Roster::new((0..8).filter(|n| *n != 3).map(member));
        let mut moved = 0;
        for n in 0..200 {
            let pool = format!("pool-{n}");
            let before = &all.scheduler(&pool, "a", |_| false).unwrap().name;
            let after = &fewer.scheduler(&pool, "a", |_| false).unwrap().name;
            assert!(before == after || before == "entry-3");
            moved += usize::from(before != after);
        }
        assert!((10..50).contains(&moved), "{moved} of 200 pools moved");
    }
}
