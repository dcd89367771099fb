//! Rendezvous hashing (Thaler and Ravishankar, 1998): chooses members of a set for a key such that a
//! change of the set moves a minimal number of keys.

use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Gets the weight of `candidate` for `key`; the candidate with the largest weight is chosen.
pub fn weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Sorts candidates by their weight for `key`, the largest first.
pub fn rank<T>(key: &str, candidates: &mut [T], name: impl Fn(&T) -> String) {
    candidates.sort_by_cached_key(|candidate| {
        let name = name(candidate);
        (Reverse(weight(key, &name)), name)
    });
}

/// Gets the `count` candidates with the largest weights for `key`, the largest first. Selecting them
/// takes time linear in the number of candidates.
pub fn top<'c, T>(
    key: &str,
    candidates: &'c [T],
    count: usize,
    name: impl Fn(&T) -> &str,
) -> Vec<&'c T> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let mut weighted: Vec<(Reverse<u64>, &str, &T)> = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        let name = name(candidate);
        let weight = xxh3_64_with_seed(name.as_bytes(), seed);
        weighted.push((Reverse(weight), name, candidate));
    }
    let sort_key = |entry: &(Reverse<u64>, &'c str, &'c T)| (entry.0, entry.1);
    if count < weighted.len() {
        weighted.select_nth_unstable_by_key(count, sort_key);
        weighted.truncate(count);
    }
    weighted.sort_unstable_by_key(sort_key);
    weighted.into_iter().map(|entry| entry.2).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn top_returns_the_start_of_the_ranking() {
        for key in 0..100 {
            let key = format!("key-{key}");
            let mut all: Vec<_> = (0..20).map(|number| format!("host-{number}")).collect();
            let highest = top(&key, &all, 5, String::as_str);
            let highest: Vec<_> = highest.into_iter().cloned().collect();
            rank(&key, &mut all, String::clone);
            assert_eq!(highest, all[..5]);
        }
    }

    #[test]
    fn removing_another_candidate_keeps_the_winner() {
        for key in 0..100 {
            let key = format!("key-{key}");
            let mut all = ["a", "b", "c", "d", "e"].map(str::to_owned).to_vec();
            rank(&key, &mut all, String::clone);
            let winner = all[0].clone();
            let mut remaining = all[..4].to_vec();
            remaining.reverse();
            rank(&key, &mut remaining, String::clone);
            assert_eq!(remaining[0], winner);
        }
    }
}
