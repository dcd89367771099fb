//! Fair queue across organisations: deficit round robin (Shreedhar and Varghese, 1995) in which
//! every request costs one unit.

use fighall_core::ids::{BootTime, OrgId};
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug)]
struct QueuedItem<T> {
    deadline: BootTime,
    value: T,
}

#[derive(Debug)]
struct OrgQueue<T> {
    weight: u64,
    deficit: u64,
    items: VecDeque<QueuedItem<T>>,
}

/// `FairQueue` holds waiting requests and serves organisations in proportion to their weights.
#[derive(Debug)]
pub struct FairQueue<T> {
    limit: usize,
    length: usize,
    queues: BTreeMap<OrgId, OrgQueue<T>>,
    // Organisations with waiting requests, in round-robin order.
    active: VecDeque<OrgId>,
}

impl<T> FairQueue<T> {
    /// Creates a queue that holds at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            length: 0,
            queues: BTreeMap::new(),
            active: VecDeque::new(),
        }
    }

    /// Gets the number of waiting requests of all organisations.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Tells whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Estimates the number of requests that are served before a new one of `organisation`, from
    /// the queue lengths and weights of the waiting organisations.
    pub fn requests_ahead(&self, organisation: &str, weight: u64) -> usize {
        let weight = weight.max(1);
        let own_queue = self.queues.get(organisation);
        let own_length = own_queue.map_or(0, |queue| queue.items.len());
        let rounds = (u64::try_from(own_length).unwrap_or(0) / weight) + 1;
        let mut ahead = own_length;
        for (name, queue) in &self.queues {
            if name == organisation {
                continue;
            }
            let served = usize::try_from(rounds * queue.weight).unwrap_or(usize::MAX);
            ahead += queue.items.len().min(served);
        }
        ahead
    }

    /// Adds a request of an organisation. If the queue is full, the newest request of the
    /// organisation with the longest queue relative to its weight is evicted and returned, unless
    /// that would be the new request.
    ///
    /// # Errors
    ///
    /// Returns `value` if the queue is full and no other request can be evicted.
    pub fn push(
        &mut self,
        organisation: &str,
        weight: u64,
        deadline: BootTime,
        value: T,
    ) -> Result<Option<T>, T> {
        let mut evicted = None;
        if self.length >= self.limit {
            match self.evict(organisation, weight.max(1)) {
                Some(item) => evicted = Some(item),
                None => return Err(value),
            }
        }
        let queue = self
            .queues
            .entry(organisation.to_owned())
            .or_insert_with(|| OrgQueue {
                weight: 1,
                deficit: 0,
                items: VecDeque::new(),
            });
        queue.weight = weight.max(1);
        if queue.items.is_empty() {
            self.active.push_back(organisation.to_owned());
        }
        queue.items.push_back(QueuedItem { deadline, value });
        self.length += 1;
        Ok(evicted)
    }

    /// Returns a request to the front of the queue that was taken and could not be served.
    pub fn push_front(&mut self, organisation: &str, weight: u64, deadline: BootTime, value: T) {
        let queue = self
            .queues
            .entry(organisation.to_owned())
            .or_insert_with(|| OrgQueue {
                weight: weight.max(1),
                deficit: 1,
                items: VecDeque::new(),
            });
        if queue.items.is_empty() {
            self.active.push_front(organisation.to_owned());
        }
        queue.items.push_front(QueuedItem { deadline, value });
        self.length += 1;
    }

    fn evict(&mut self, organisation: &str, weight: u64) -> Option<T> {
        let weighted_length = |length: usize, weight: u64| {
            u64::try_from(length).unwrap_or(u64::MAX) * 1_000 / weight.max(1)
        };
        let own_length = self
            .queues
            .get(organisation)
            .map_or(0, |queue| queue.items.len());
        let own_weighted_length = weighted_length(own_length + 1, weight);
        let longest = self
            .queues
            .iter()
            .max_by_key(|(_, queue)| weighted_length(queue.items.len(), queue.weight));
        let (name, queue) = longest?;
        if name == organisation
            || weighted_length(queue.items.len(), queue.weight) <= own_weighted_length
        {
            return None;
        }
        let name = name.clone();
        let item = self.queues.get_mut(&name)?.items.pop_back()?;
        self.length -= 1;
        self.remove_if_empty(&name);
        Some(item.value)
    }

    /// Takes the next request. Requests whose deadline has passed are removed and appended to
    /// `expired`.
    pub fn pop(&mut self, now: BootTime, expired: &mut Vec<T>) -> Option<T> {
        while let Some(name) = self.active.front().cloned() {
            let Some(queue) = self.queues.get_mut(&name) else {
                self.active.pop_front();
                continue;
            };
            if queue.deficit == 0 {
                queue.deficit = queue.weight;
            }
            let Some(item) = queue.items.pop_front() else {
                self.remove_if_empty(&name);
                continue;
            };
            self.length -= 1;
            let in_time = item.deadline > now;
            if in_time {
                queue.deficit -= 1;
                if queue.deficit == 0 {
                    self.active.rotate_left(1);
                }
            }
            self.remove_if_empty(&name);
            if in_time {
                return Some(item.value);
            }
            expired.push(item.value);
        }
        None
    }

    /// Removes the requests for which `matches` returns true, such as those whose callers
    /// disconnected.
    pub fn remove(&mut self, matches: impl Fn(&T) -> bool) {
        for queue in self.queues.values_mut() {
            queue.items.retain(|item| !matches(&item.value));
        }
        self.length = self.queues.values().map(|queue| queue.items.len()).sum();
        let names: Vec<_> = self.queues.keys().cloned().collect();
        for name in names {
            self.remove_if_empty(&name);
        }
    }

    fn remove_if_empty(&mut self, name: &str) {
        let empty = self
            .queues
            .get(name)
            .is_some_and(|queue| queue.items.is_empty());
        if empty {
            self.queues.remove(name);
            self.active.retain(|waiting| waiting != name);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    const DEADLINE: Duration = Duration::from_secs(10);

    fn pop_text(queue: &mut FairQueue<char>, count: usize) -> String {
        let mut expired = Vec::new();
        let mut text = String::new();
        for _ in 0..count {
            text.extend(queue.pop(Duration::ZERO, &mut expired));
        }
        text
    }

    #[test]
    fn service_follows_weights_not_queue_lengths() {
        let mut queue = FairQueue::new(100);
        for _ in 0..30 {
            queue.push("a", 1, DEADLINE, 'a').unwrap();
        }
        for _ in 0..4 {
            queue.push("b", 2, DEADLINE, 'b').unwrap();
        }
        assert_eq!(queue.requests_ahead("c", 1), 3);
        assert_eq!(pop_text(&mut queue, 8), "abbabbaa");
        assert_eq!(queue.len(), 26);
    }

    #[test]
    fn a_full_queue_evicts_from_the_longest_and_expired_requests_are_removed() {
        let mut queue = FairQueue::new(4);
        for _ in 0..4 {
            queue.push("a", 1, Duration::from_secs(1), 'a').unwrap();
        }
        assert_eq!(queue.push("a", 1, DEADLINE, 'x'), Err('x'));
        assert_eq!(queue.push("b", 1, DEADLINE, 'b'), Ok(Some('a')));
        let mut expired = Vec::new();
        assert_eq!(queue.pop(Duration::from_secs(2), &mut expired), Some('b'));
        assert_eq!(expired.len(), 3);
        assert!(queue.is_empty());
    }
}
