//! A second attempt beside one whose connection may have gone silent.

use super::{AnsweredExchange, RequestRouter};
use crate::{
    exchange::{AttemptFailure, ReuseFlag},
    places::{Attempts, Place},
    request::RequestContext,
};
use fighall_core::{clock::boot_time, event::EventKind};
use futures_util::{FutureExt, pin_mut, select_biased};
use std::time::Duration;

/// Shortest time without an answer after which a connection is suspected to be silent.
const SILENT_MIN: Duration = Duration::from_millis(100);
/// Pause before a place for a second attempt is looked for again.
const SECOND_PAUSE: Duration = Duration::from_millis(30);

impl RequestRouter {
    // An open connection can have gone silent. When an idempotent request went out on one that was
    // idle before and no answer comes, a second attempt starts on a new connection, and the first
    // answer of either counts. A slow target is thus never cut off.
    pub(super) async fn attempt_hedged(
        &self,
        context: &RequestContext,
        place: Place,
        attempts: &mut Attempts,
    ) -> std::result::Result<AnsweredExchange, AttemptFailure> {
        let address = place.address();
        attempts.note(&place);
        let reused = ReuseFlag::default();
        let first = self.attempt(context, place, false, &reused).fuse();
        pin_mut!(first);
        let mut pause = self.patience(context);
        let abandon_at = boot_time() + context.left() / 2;
        let place = loop {
            {
                let elapsed = compio::time::sleep(pause).fuse();
                pin_mut!(elapsed);
                select_biased! {
                    outcome = first => return outcome,
                    () = elapsed => {}
                }
            }
            if !reused.get() || !context.body.is_available() {
                return first.await;
            }
            if let Some(place) = self.places.choose_now(context, attempts) {
                if !self.budget.borrow_mut().take() {
                    return first.await;
                }
                break place;
            }
            // Silent attempts hold the slots that their second ones wait for: this one lets go.
            if boot_time() >= abandon_at {
                return Err(AttemptFailure::silent(
                    "no answer, and no slot for a second attempt",
                ));
            }
            pause = SECOND_PAUSE;
        };
        let kind = EventKind::Retried {
            cause: "no answer yet; a second attempt goes out on a new connection".to_owned(),
        };
        self.ring.record(context.subject(), kind);
        self.metrics.retries.with_label_values(&["silent"]).inc();
        attempts.note(&place);
        let flag = ReuseFlag::default();
        let second = self.attempt(context, place, true, &flag).fuse();
        pin_mut!(second);
        select_biased! {
            outcome = first => match outcome {
                Ok(answered) => Ok(answered),
                Err(failure) => second.await.map_err(|other| failure.join(other)),
            },
            outcome = second => match outcome {
                Ok(answered) => {
                    // The other idle connections to the silent one's address are suspect.
                    self.pool.close_idle_to(address);
                    Ok(answered)
                }
                Err(failure) => first.await.map_err(|other| failure.join(other)),
            },
        }
    }

    // An answer is late when it takes many times what is usual for the service.
    fn patience(&self, context: &RequestContext) -> Duration {
        let left = context.left();
        let usual = self.targets.usual_latency(&context.service);
        usual.map_or(left / 4, |usual| {
            // However little time is left, what is usual is no sign of silence.
            let longest = (left / 4).max(usual * 2);
            (usual * 10).max(SILENT_MIN).min(longest)
        })
    }
}
