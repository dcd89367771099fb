//! Lists of all objects of a kind, read page by page.

use super::{StoreClient, expect_success};
use crate::{
    era::{StoreEra, era_of},
    errors::{Error, Result},
    mapping::{ListPage, StoreCall},
    object::ObjectList,
};
use std::{collections::BTreeMap, time::Duration};

// Pages of a list that have been read.
#[derive(Debug, Default)]
struct PageCollector {
    list: Option<ObjectList>,
    // Position of each name in the list.
    positions: BTreeMap<String, usize>,
}

impl PageCollector {
    // Adds a page. Returns whether it has names that no page before it had, so that the next one continues after it.
    fn add(&mut self, page: ObjectList) -> bool {
        let place = self
            .cursor()
            .map(|cursor| format!("page after {cursor:?}, "));
        let place = place.unwrap_or_default();
        let list = self.list.get_or_insert_with(|| ObjectList {
            version: page.version,
            ..ObjectList::default()
        });
        // Use the lowest page version, so that a watch from it returns all changes made during paging.
        list.version = list.version.min(page.version);
        let mut has_advanced = false;
        for object in page.objects {
            has_advanced |= !self.positions.contains_key(&object.name);
            let next_position = list.objects.len();
            let position = self.positions.entry(object.name.clone());
            match list.objects.get_mut(*position.or_insert(next_position)) {
                None => list.objects.push(object),
                Some(known) if known.version < object.version => *known = object,
                Some(_) => {}
            }
        }
        for finding in page.findings {
            list.findings.push(format!("{place}{finding}"));
        }
        has_advanced
    }

    fn cursor(&self) -> Option<String> {
        let last = self.list.as_ref()?.objects.last()?;
        Some(last.name.clone())
    }

    fn is_of_other_era(&self, era: StoreEra) -> bool {
        let list = self.list.as_ref();
        list.is_some_and(|list| era_of(list.version) != era)
    }

    // Ends the list at the latest page, because the next one cannot be read.
    fn truncate(&mut self, cause: &impl std::fmt::Display) {
        let cursor = self.cursor().unwrap_or_default();
        if let Some(list) = &mut self.list {
            list.truncated = true;
            list.findings
                .push(format!("page after {cursor:?}: {cause}"));
        }
    }
}

impl StoreClient {
    /// Reads all objects of a kind. A list whose next page the store refuses, or repeats, is marked as
    /// truncated.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response arrived within the time limit for retries.
    pub async fn list(&self, kind: &str) -> Result<ObjectList> {
        self.list_pages(kind, false).await
    }

    /// Reads all objects of a kind like [`StoreClient::list`] and allows a slightly stale result, which some
    /// object APIs serve at a lower cost. A watch from the version of the list returns the changes since then.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response arrived within the time limit for retries.
    pub async fn list_stale(&self, kind: &str) -> Result<ObjectList> {
        self.list_pages(kind, true).await
    }

    async fn list_pages(&self, kind: &str, stale: bool) -> Result<ObjectList> {
        let mut collector = PageCollector::default();
        loop {
            let call = StoreCall::List {
                kind: kind.to_owned(),
                after: collector.cursor(),
                stale,
            };
            let (era, page) = match self.read_page(&call).await {
                Ok(read) => read,
                Err(error) if collector.list.is_some() && is_permanent(&error) => {
                    collector.truncate(&error);
                    break;
                }
                Err(error) => return Err(error),
            };
            // Pages of different eras cannot be combined: start again from the first page.
            if collector.is_of_other_era(era) {
                collector = PageCollector::default();
                continue;
            }
            let has_advanced = collector.add(page.list);
            if !page.has_more {
                break;
            }
            if !has_advanced {
                collector.truncate(&"the store returns no further names");
                break;
            }
        }
        let list = collector.list;
        list.ok_or_else(|| Error::invalid_response("list response without pages"))
    }

    async fn read_page(&self, call: &StoreCall) -> Result<(StoreEra, ListPage)> {
        let response = self.call_with_retries(call).await?;
        expect_success(&response)?;
        let mut page = (self.mapping.page)(&response.body)?;
        page.list = page.list.in_era(response.era);
        Ok((response.era, page))
    }

    /// Reads the first page of a kind in a single attempt with its own `timeout`, without retries. The list is
    /// marked as truncated if there are others.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response arrived within `timeout`.
    pub async fn list_with_timeout(&self, kind: &str, timeout: Duration) -> Result<ObjectList> {
        let call = StoreCall::List {
            kind: kind.to_owned(),
            after: None,
            stale: false,
        };
        let response = self.call_once(&call, timeout).await?;
        expect_success(&response)?;
        let page = (self.mapping.page)(&response.body)?;
        let mut list = page.list.in_era(response.era);
        list.truncated = page.has_more;
        Ok(list)
    }
}

// Tells whether a call that failed with an error fails again: the store does not accept it, or its response cannot be
// decoded.
fn is_permanent(error: &Error) -> bool {
    match error {
        Error::Status { status } => (400..500).contains(status),
        Error::InvalidResponse { .. } => true,
        _ => false,
    }
}
