//! A stable 64-bit hash and rendezvous hashing.
//!
//! Every process must compute the same owner from the same view, across restarts and builds, so the hash is fixed here.
//! The hasher of the standard library is seeded per process and may change between releases.

use std::net::SocketAddr;

use model::{CustomerId, EndpointId};

/// The odd increment of a 64-bit Weyl sequence, derived from the golden ratio.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// A value with a hash that is the same in every process and build.
pub trait StableHash {
    /// The 64-bit hash.
    fn stable_hash(&self) -> u64;
}

impl StableHash for EndpointId {
    fn stable_hash(&self) -> u64 {
        hash_bytes(self.as_str().as_bytes())
    }
}

impl StableHash for &str {
    fn stable_hash(&self) -> u64 {
        hash_bytes(self.as_bytes())
    }
}

impl StableHash for CustomerId {
    fn stable_hash(&self) -> u64 {
        hash_bytes(self.as_str().as_bytes())
    }
}

impl StableHash for SocketAddr {
    fn stable_hash(&self) -> u64 {
        let port = u64::from(self.port());
        match self {
            Self::V4(v4) => hash_bytes(&v4.ip().octets()) ^ mix_bits(port),
            Self::V6(v6) => hash_bytes(&v6.ip().octets()) ^ mix_bits(port),
        }
    }
}

/// Returns the member with the highest score for `key`, or `None` without members.
///
/// Rendezvous hashing: each member's score depends on the key and that member alone, so a member that joins or leaves
/// moves only the keys that it gains or loses. Costs one hash mix per member and no allocation.
pub fn rendezvous(
    key: &impl StableHash,
    members: impl IntoIterator<Item = SocketAddr>,
) -> Option<SocketAddr> {
    let hash = key.stable_hash();
    members
        .into_iter()
        .max_by_key(|member| (score(hash, member.stable_hash()), *member))
}

/// The score of a member for a key, from their hashes.
pub(crate) fn score(key: u64, member: u64) -> u64 {
    // Both hashes are already well mixed. Without the rotation, every key whose hash equals that of the member would
    // get the same score.
    mix_bits(key ^ member.rotate_left(32))
}

/// Hashes eight bytes at a time as a little-endian word. The length goes first, so that trailing zero bytes change the
/// hash.
fn hash_bytes(bytes: &[u8]) -> u64 {
    let mut state = mix_bits(bytes.len() as u64);
    for chunk in bytes.chunks(8) {
        let mut word = [0; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        state = mix_bits(state ^ u64::from_le_bytes(word));
    }
    state
}

/// A bijective mix in which each input bit flips about half of the output bits: two rounds of xor-shift and
/// multiplication by an odd constant.
fn mix_bits(value: u64) -> u64 {
    let mut x = value.wrapping_add(GOLDEN_RATIO);
    x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    x ^ (x >> 32)
}
