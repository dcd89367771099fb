//! Scripted scenarios: deployments, load, faults and expectations in the small test language
//! [Rhai](https://rhai.rs).
//!
//! | Function | Meaning |
//! | --- | --- |
//! | `organisation(name, rate, burst)` | adds an organisation, before `start` |
//! | `start(regions, hosts, targets, slots)` | starts a deployment |
//! | `load(organisation, method, rate, seconds)` | starts a stream of requests |
//! | `wait(seconds)` | lets time pass |
//! | `drain(scope, name)`, `undrain(scope, name)` | operators' drains |
//! | `leave(target)` | the platform's list names a target as leaving |
//! | `withdraw(organisation)` | withdraws the organisation's key |
//! | `kill(host)`, `stop(host)`, `replace(host)` | ends a host, with or without notice |
//! | `store(fault)` | `"up"`, `"down"`, `"slow"`, `"lossy"` or `"silent"` |
//! | `silence_targets()` | all open connections to targets go silent |
//! | `close_targets(region)` | ends a region's targets |
//! | `set_rate(organisation, rate)` | publishes another rate |
//! | `finish()` | waits for all streams; gives a map of their counts by name |
//! | `seen()` | gives a map of the targets' own counts |
//! | `expect(condition, text)` | reports a finding unless the condition holds |

mod report;

use crate::{
    cluster::{ClusterPlan, LocalCluster, SERVICE, SERVICE_HOST, organisation, to_json},
    faults::StoreFaults,
    load::{LoadStream, run as run_load},
    report::LoadReport,
};
use compio::runtime::{JoinHandle, Runtime};
use fighall_config::{
    commands::{DrainScope, OperatorCommand},
    fleet::OrganisationLimit,
    listing::HostState,
};
use fighall_core::{
    clock::wall_millis,
    finding::{FindingList, SourcePosition},
};
use fighall_store::object::kinds::COMMANDS;
use rhai::{Engine, EvalAltResult, INT, NativeCallContext, Position};
use std::{cell::RefCell, rc::Rc, time::Duration};

type ScriptResult<T> = Result<T, Box<EvalAltResult>>;

#[derive(Default)]
struct StageState {
    organisations: Vec<OrganisationLimit>,
    cluster: Option<LocalCluster>,
    loads: Vec<JoinHandle<LoadReport>>,
    report: LoadReport,
    findings: FindingList,
}

/// `ScenarioStage` is what a script acts on.
struct ScenarioStage {
    file: String,
    runtime: Runtime,
    state: RefCell<StageState>,
}

/// Runs a scenario.
///
/// # Errors
///
/// Returns every expectation that did not hold, or the error that ended the script, each with its
/// place.
pub fn run(file: &str, text: &str) -> Result<(), FindingList> {
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return Err(one_finding(file, Position::NONE, error.to_string())),
    };
    let stage = Rc::new(ScenarioStage {
        file: file.to_owned(),
        runtime,
        state: RefCell::new(StageState::default()),
    });
    let engine = new_engine(&stage);
    let outcome = engine.run(text);
    let mut findings = std::mem::take(&mut stage.state.borrow_mut().findings);
    if let Err(error) = outcome {
        let position = error.position();
        findings.extend(one_finding(file, position, error.to_string()));
    }
    if !findings.is_empty() {
        findings.extend(stage.explanations());
    }
    findings.into_result(Some(()))
}

fn one_finding(file: &str, position: Position, message: String) -> FindingList {
    let mut findings = FindingList::new();
    findings.push(place(file, position), message);
    findings
}

fn place(file: &str, position: Position) -> SourcePosition {
    SourcePosition {
        file: file.to_owned(),
        line: position.line().unwrap_or(1),
        column: position.position().unwrap_or(1),
    }
}

fn new_engine(stage: &Rc<ScenarioStage>) -> Engine {
    let mut engine = Engine::new();
    register_deployment(&mut engine, stage);
    register_faults(&mut engine, stage);
    register_checks(&mut engine, stage);
    engine
}

fn register_deployment(engine: &mut Engine, stage: &Rc<ScenarioStage>) {
    let own = Rc::clone(stage);
    engine.register_fn("organisation", move |name: &str, rate: INT, burst: INT| {
        let limit = organisation(name, unsigned(rate), unsigned(burst));
        own.state.borrow_mut().organisations.push(limit);
    });
    let own = Rc::clone(stage);
    engine.register_fn(
        "start",
        move |regions: rhai::Array, hosts: INT, targets: INT, slots: INT| {
            own.start(regions, hosts, targets, slots)
        },
    );
    let own = Rc::clone(stage);
    engine.register_fn(
        "load",
        move |name: &str, method: &str, rate: f64, seconds: f64| {
            own.load(name, method, rate, seconds)
        },
    );
    let own = Rc::clone(stage);
    engine.register_fn("wait", move |seconds: f64| {
        let time = Duration::from_secs_f64(seconds);
        own.runtime.block_on(compio::time::sleep(time));
    });
    let own = Rc::clone(stage);
    engine.register_fn("set_rate", move |name: &str, rate: INT| {
        own.set_rate(name, rate)
    });
}

fn register_faults(engine: &mut Engine, stage: &Rc<ScenarioStage>) {
    let own = Rc::clone(stage);
    engine.register_fn("drain", move |scope: &str, name: &str| {
        let command = drain(scope, name);
        own.with_cluster(|cluster| {
            let text = to_json(&command);
            cluster
                .platform
                .put(COMMANDS, &command.object_name(), &text);
        })
    });
    let own = Rc::clone(stage);
    engine.register_fn("undrain", move |scope: &str, name: &str| {
        let command = drain(scope, name);
        own.with_cluster(|cluster| cluster.platform.delete(COMMANDS, &command.object_name()))
    });
    let own = Rc::clone(stage);
    engine.register_fn("leave", move |target: &str| {
        own.with_cluster(|cluster| cluster.list_target(target, HostState::Leaving))
    });
    let own = Rc::clone(stage);
    engine.register_fn("withdraw", move |name: &str| {
        own.with_cluster(|cluster| cluster.withdraw_key(&cluster.key(name), name))
    });
    let own = Rc::clone(stage);
    engine.register_fn("kill", move |host: &str| {
        own.with_cluster(|cluster| cluster.kill_host(host))
    });
    let own = Rc::clone(stage);
    engine.register_fn("stop", move |host: &str| own.stop(host, false));
    let own = Rc::clone(stage);
    engine.register_fn("replace", move |host: &str| own.stop(host, true));
    let own = Rc::clone(stage);
    engine.register_fn("store", move |fault: &str| {
        let faults = store_faults(fault)?;
        own.with_cluster(|cluster| cluster.platform.set_faults(faults))
    });
    let own = Rc::clone(stage);
    engine.register_fn("silence_targets", move || {
        own.with_cluster(|cluster| {
            for target in cluster.targets.values() {
                target.silence_connections();
            }
        })
    });
    let own = Rc::clone(stage);
    engine.register_fn("close_targets", move |region: &str| {
        own.with_cluster(|cluster| {
            for (name, target) in &cluster.targets {
                if name.starts_with(region) {
                    target.close();
                }
            }
        })
    });
}

fn register_checks(engine: &mut Engine, stage: &Rc<ScenarioStage>) {
    let own = Rc::clone(stage);
    engine.register_fn("finish", move || own.finish());
    let own = Rc::clone(stage);
    engine.register_fn("seen", move || own.seen());
    let own = Rc::clone(stage);
    let expect = move |context: NativeCallContext<'_>, holds: bool, text: &str| {
        if !holds {
            let place = place(&own.file, context.call_position());
            let message = format!("expected {text}");
            own.state.borrow_mut().findings.push(place, message);
        }
    };
    engine.register_fn("expect", expect);
}

impl ScenarioStage {
    fn start(
        &self,
        regions: rhai::Array,
        hosts: INT,
        targets: INT,
        slots: INT,
    ) -> ScriptResult<()> {
        let mut names = Vec::new();
        for region in regions {
            names.push(region.into_string().map_err(str::to_owned)?);
        }
        let mut plan = ClusterPlan {
            regions: names,
            hosts: small(hosts),
            targets: small(targets),
            slots: small(slots),
            ..ClusterPlan::default()
        };
        let organisations = self.state.borrow().organisations.clone();
        if !organisations.is_empty() {
            plan.organisations = organisations;
        }
        let started = self.runtime.block_on(LocalCluster::start(plan));
        let cluster = started.map_err(|error| error.to_string())?;
        self.state.borrow_mut().cluster = Some(cluster);
        Ok(())
    }

    fn load(&self, name: &str, method: &str, rate: f64, seconds: f64) -> ScriptResult<()> {
        let (stream, entries) = self.with_cluster(|cluster| {
            let stream = LoadStream {
                name: format!("{name}_{}", method.to_lowercase()),
                organisation: name.to_owned(),
                key: cluster.key(name),
                service: SERVICE.to_owned(),
                host: SERVICE_HOST.to_owned(),
                method: method.to_owned(),
                target: "/quotes".to_owned(),
                rate,
                ..LoadStream::default()
            };
            (stream, cluster.entries())
        })?;
        let time = Duration::from_secs_f64(seconds);
        let task = self
            .runtime
            .spawn(async move { run_load(&[stream], &entries, time).await });
        self.state.borrow_mut().loads.push(task);
        Ok(())
    }

    fn set_rate(&self, name: &str, rate: INT) -> ScriptResult<()> {
        let mut state = self.state.borrow_mut();
        let cluster = state.cluster.as_mut().ok_or("nothing is started")?;
        for limit in &mut cluster.plan.organisations {
            if limit.name == name {
                limit.rate = unsigned(rate);
            }
        }
        let published = self.runtime.block_on(cluster.publish_all());
        published.map_err(|error| error.to_string())?;
        Ok(())
    }

    fn stop(&self, host: &str, replace: bool) -> ScriptResult<()> {
        let mut state = self.state.borrow_mut();
        let cluster = state.cluster.as_mut().ok_or("nothing is started")?;
        let (region, index) = host.rsplit_once('-').ok_or("no such host")?;
        let index = index.parse().map_err(|_| "no such host")?;
        let work = async {
            cluster.stop_host(host).await;
            if replace {
                cluster.start_host(host, region, index).await?;
                cluster.ready().await?;
            }
            crate::cluster::Result::Ok(())
        };
        let done = self.runtime.block_on(work);
        done.map_err(|error| error.to_string().into())
    }

    fn with_cluster<T>(&self, act: impl FnOnce(&mut LocalCluster) -> T) -> ScriptResult<T> {
        let mut state = self.state.borrow_mut();
        let cluster = state.cluster.as_mut().ok_or("nothing is started")?;
        Ok(act(cluster))
    }
}

fn drain(scope: &str, name: &str) -> OperatorCommand {
    let scope = match scope {
        "zone" => DrainScope::Zone,
        "region" => DrainScope::Region,
        "host" => DrainScope::Host,
        _ => DrainScope::Target,
    };
    OperatorCommand::Drain {
        scope,
        name: name.to_owned(),
        since: wall_millis(),
    }
}

fn store_faults(fault: &str) -> ScriptResult<StoreFaults> {
    let mut faults = StoreFaults::default();
    match fault {
        "up" => {}
        "down" => faults.down = true,
        "slow" => faults.delay_ms = 2_000,
        "lossy" => faults.lost_answer_percent = 50,
        "silent" => faults.silent_watches = true,
        other => return Err(format!("unknown fault `{other}`").into()),
    }
    Ok(faults)
}

fn unsigned(number: INT) -> u64 {
    u64::try_from(number).unwrap_or(0)
}

fn small(number: INT) -> u32 {
    u32::try_from(number).unwrap_or(1)
}
