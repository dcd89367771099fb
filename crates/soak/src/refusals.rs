//! Targets that send copies of their refusals while some start again under new names.

use crate::world::{SoakTarget, SoakWorld, TARGET_SLOTS};
use fighall_testkit::behaviour::TargetBehaviour;
use std::{io::Result, rc::Rc, time::Duration};

/// Times that targets start again during the fault.
const RESTARTS: u32 = 4;
/// One of this many targets starts again each time.
const RESTART_SHARE: usize = 2;
/// Slots of a target during the fault, so that it sheds.
const FEW_SLOTS: u32 = 1;
/// Part of the refusals that are copied, in percent.
const COPIES_PERCENT: u32 = 90;

/// Lets targets shed requests, copy refusals and start again under new names for `length`. Former entries stay
/// listed until then.
///
/// # Errors
///
/// Returns the error of a socket or of encoding an entry.
pub async fn copy_refusals(world: &SoakWorld, length: Duration, pick: u64) -> Result<()> {
    change_all(world, |behaviour| {
        behaviour.slots = FEW_SLOTS;
        behaviour.copies_refusals_percent = COPIES_PERCENT;
    });
    let mut former = Vec::new();
    let restarted = restart_targets(world, length, pick, &mut former).await;
    change_all(world, |behaviour| {
        behaviour.slots = TARGET_SLOTS;
        behaviour.copies_refusals_percent = 0;
    });
    for name in former {
        world.remove_target(&name);
    }
    restarted
}

// Adds the names that the targets had before to `former`.
async fn restart_targets(
    world: &SoakWorld,
    length: Duration,
    pick: u64,
    former: &mut Vec<String>,
) -> Result<()> {
    let mut random = fastrand::Rng::with_seed(pick);
    for _ in 0..RESTARTS {
        let mut names = world.listed.borrow().clone();
        names.retain(|name| !former.contains(name));
        random.shuffle(&mut names);
        names.truncate(names.len().div_ceil(RESTART_SHARE));
        for name in names {
            let renamed = world.rename_target(&name).await;
            if !matches!(renamed, Ok(false)) {
                former.push(name);
            }
            renamed?;
        }
        compio::time::sleep(length / RESTARTS).await;
    }
    Ok(())
}

fn change_all(world: &SoakWorld, change: impl Fn(&mut TargetBehaviour)) {
    let targets: Vec<Rc<SoakTarget>> = world.targets.borrow().values().cloned().collect();
    for target in targets {
        target.stand_in.change(&change);
    }
}
