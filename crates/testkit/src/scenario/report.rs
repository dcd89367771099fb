//! What a scenario has seen, as its script gets it.

use super::{ScenarioStage, ScriptResult, one_finding};
use fighall_core::finding::FindingList;
use rhai::{Dynamic, INT, Map, Position};

impl ScenarioStage {
    // Tells what became of each stream that was not answered whole, beside a failed expectation.
    pub(super) fn explanations(&self) -> FindingList {
        let mut findings = FindingList::new();
        for row in &self.state.borrow().report.streams {
            if row.answered == row.sent {
                continue;
            }
            let message = format!(
                "{}: {} of {} answered, refused {:?}",
                row.name, row.answered, row.sent, row.refused
            );
            findings.extend(one_finding(&self.file, Position::NONE, message));
        }
        findings
    }

    pub(super) fn finish(&self) -> ScriptResult<Map> {
        let loads = std::mem::take(&mut self.state.borrow_mut().loads);
        let mut all = Map::new();
        for load in loads {
            let ended = self.runtime.block_on(load);
            let report = ended.map_err(|_| "a load stopped early")?;
            for row in &report.streams {
                let mut counts = Map::new();
                counts.insert("sent".into(), number(row.sent));
                counts.insert("answered".into(), number(row.answered));
                counts.insert("broken".into(), number(row.broken));
                counts.insert("refused".into(), number(row.refused_total()));
                counts.insert("p99_ms".into(), number(row.latency().p99 / 1_000));
                counts.insert("max_ms".into(), number(row.latency().max / 1_000));
                all.insert(row.name.as_str().into(), Dynamic::from_map(counts));
            }
            self.state
                .borrow_mut()
                .report
                .streams
                .extend(report.streams);
        }
        Ok(all)
    }

    pub(super) fn seen(&self) -> ScriptResult<Map> {
        let records = self.with_cluster(|cluster| {
            let targets = cluster.targets.values();
            targets.map(|target| target.record()).collect::<Vec<_>>()
        })?;
        let counts = self.state.borrow().report.counts(&records);
        let most = records.iter().map(|record| record.max_in_flight).max();
        let started = records.iter().map(|record| record.started).sum();
        let cancelled = records.iter().map(|record| record.cancelled).sum();
        let mut seen = Map::new();
        seen.insert("started".into(), number(started));
        seen.insert("cancelled".into(), number(cancelled));
        seen.insert("doubled".into(), number(counts.doubled));
        seen.insert("lost".into(), number(counts.lost));
        seen.insert("untrue".into(), number(counts.untrue));
        seen.insert("most_at_once".into(), number(u64::from(most.unwrap_or(0))));
        let saw_key = records.iter().any(|record| record.saw_key);
        seen.insert("saw_key".into(), Dynamic::from_bool(saw_key));
        Ok(seen)
    }
}

pub(super) fn number(count: u64) -> Dynamic {
    Dynamic::from_int(INT::try_from(count).unwrap_or(INT::MAX))
}
