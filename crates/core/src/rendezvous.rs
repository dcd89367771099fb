//! Rendezvous hashing (Thaler and Ravishankar, 1998): picks members of a set by a key, so that
//! each change of the set moves only the keys that it must.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Gets the weight of `candidate` for `key`; the candidate with the largest weight wins.
pub fn weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Sorts candidates by their weight for `key`, the winner first.
pub fn rank<T>(key: &str, candidates: &mut [T], name: impl Fn(&T) -> String) {
    candidates.sort_by_cached_key(|candidate| {
        let name = name(candidate);
        (std::cmp::Reverse(weight(key, &name)), name)
    });
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn removing_a_loser_moves_nothing() {
        for key in 0..100 {
            let key = format!("key-{key}");
            let mut all = ["a", "b", "c", "d", "e"].map(str::to_owned).to_vec();
            rank(&key, &mut all, String::clone);
            let winner = all[0].clone();
            let mut fewer = all[..4].to_vec();
            fewer.reverse();
            rank(&key, &mut fewer, String::clone);
            assert_eq!(fewer[0], winner);
        }
    }
}
