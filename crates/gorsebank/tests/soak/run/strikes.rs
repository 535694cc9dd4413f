//! What each fault does to a run.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;
use tokio::time::sleep;

use super::{BackEnd, ENDING, Mood, NEWS, Run, SLACK, row_of};
use crate::gateways::Slot;
use crate::history::{Departed, Done, Left, Limited, What};
use crate::plan::{Fault, RowFault, RowStrike, StatedLimit, Statement, StatementStrike, Strike};
use crate::platform::client::{Client, request_with};
use crate::platform::store::Inner;
use crate::platform::wire::Wire;

/// A leaving back end keeps its row for so long.
const LEAVING: Duration = Duration::from_millis(3_000);
/// What a slow way to the table adds to each piece that it carries.
const FAR: Duration = Duration::from_millis(120);
/// Pause between two tries of a request under which back ends end.
const ENDING_PAUSE: Duration = Duration::from_millis(150);
/// Orders that an engine loses in a row.
const ORDERS_LOST: usize = 3;

impl Run {
    /// Does what a strike says.
    pub(super) async fn strike(self: Arc<Self>, strike: Strike) {
        let from = self.began.elapsed();
        let index = strike.target % self.slots.len();
        let what = match strike.fault {
            Fault::Kill => vec![self.kill(index)],
            Fault::KillAll => (0..self.slots.len())
                .map(|index| self.kill(index))
                .collect(),
            Fault::Stop => vec![self.stop(index).await],
            Fault::Pause => vec![self.pause(index, strike.lasts).await],
            Fault::TableDown => vec![self.table(|table| &table.down, strike.lasts).await],
            Fault::TableThrottles => {
                vec![self.table(|table| &table.throttled, strike.lasts).await]
            }
            Fault::TableLosesAnswers => {
                vec![self.table(|table| &table.lose_answers, strike.lasts).await]
            }
            Fault::TableForgets => {
                self.store.compact();
                vec![Some(What::Table)]
            }
            Fault::TableSilent => {
                self.slots[index].lock().wire.silence();
                vec![Some(What::Table)]
            }
            Fault::BackEndSilent => vec![self.cut_off(strike.target, Wire::silence)],
            Fault::BackEndLeaves => {
                self.clone().replace_back_end(strike.target).await;
                Vec::new()
            }
            Fault::BackEndEnds => {
                if let Some(back_end) = self.back_end(strike.target) {
                    back_end.runner.end();
                }
                Vec::new()
            }
            Fault::BackEndSlow => {
                self.change_mood(strike, |mood| &mood.slow).await;
                Vec::new()
            }
            Fault::BackEndGrey => {
                self.change_mood(strike, |mood| &mood.grey).await;
                Vec::new()
            }
            Fault::EndingRequest => {
                self.come_again(strike).await;
                Vec::new()
            }
            Fault::TableFar => {
                let wire = self.slots[index].lock().wire.clone();
                wire.delay(FAR);
                sleep(strike.lasts).await;
                wire.delay(Duration::ZERO);
                vec![Some(What::Table)]
            }
            Fault::TableRefusesOne => {
                let wire = self.slots[index].lock().wire.clone();
                wire.refuse(true);
                sleep(strike.lasts).await;
                wire.refuse(false);
                vec![Some(What::Table)]
            }
            Fault::BackEndReset => vec![self.cut_off(strike.target, Wire::reset)],
            Fault::BackEndDark => {
                let wire = self.back_end(strike.target).map(|it| it.wire);
                if let Some(wire) = wire {
                    wire.darken(true);
                    sleep(strike.lasts).await;
                    wire.darken(false);
                }
                vec![Some(What::BackEndCutOff)]
            }
            Fault::OrdersLost => {
                if let Some(back_end) = self.back_end(strike.target) {
                    let lost = &back_end.runner.lose_orders;
                    lost.store(ORDERS_LOST, Ordering::Relaxed);
                }
                Vec::new()
            }
            Fault::Reload => {
                self.slots[index].lock().signal(Signal::SIGHUP);
                Vec::new()
            }
            Fault::TableOneWay => {
                let wire = self.slots[index].lock().wire.clone();
                wire.hold_answers(true);
                sleep(strike.lasts).await;
                wire.hold_answers(false);
                vec![Some(What::Table)]
            }
            Fault::Configuration => {
                self.configure("/read/");
                Vec::new()
            }
        };
        let until = self.began.elapsed() + NEWS;
        let done = what.into_iter().flatten();
        let done = done.map(|what| Done { from, until, what });
        self.done.lock().extend(done);
    }

    fn kill(&self, index: usize) -> Option<What> {
        let number = self.next_process();
        let mut slot = self.slots[index].lock();
        let killed = slot.door()?.process;
        slot.kill();
        slot.start_again(number);
        Some(What::Killed(killed))
    }

    async fn stop(&self, index: usize) -> Option<What> {
        let stopped = self.slots[index].lock().signal(Signal::SIGTERM)?;
        Slot::wait_for_end(&self.slots[index]).await;
        let number = self.next_process();
        let mut slot = self.slots[index].lock();
        // Another fault may have put another process there meanwhile.
        if slot.door().is_none_or(|door| door.process == stopped) {
            slot.start_again(number);
        }
        Some(What::Stopped(stopped))
    }

    async fn pause(&self, index: usize, lasts: Duration) -> Option<What> {
        let paused = self.slots[index].lock().signal(Signal::SIGSTOP)?;
        sleep(lasts).await;
        self.slots[index].lock().signal(Signal::SIGCONT);
        Some(What::Paused(paused))
    }

    async fn table(&self, flag: impl Fn(&Inner) -> &AtomicBool, lasts: Duration) -> Option<What> {
        flag(&self.store.inner).store(true, Ordering::Relaxed);
        sleep(lasts).await;
        flag(&self.store.inner).store(false, Ordering::Relaxed);
        Some(What::Table)
    }

    fn back_end(&self, target: usize) -> Option<BackEnd> {
        let listed = self.listed.lock();
        let count = listed.len().max(1);
        listed.get(target % count).cloned()
    }

    async fn change_mood(&self, strike: Strike, mood: impl Fn(&Mood) -> &AtomicBool) {
        let Some(back_end) = self.back_end(strike.target) else {
            return;
        };
        mood(&back_end.mood).store(true, Ordering::Relaxed);
        sleep(strike.lasts).await;
        mood(&back_end.mood).store(false, Ordering::Relaxed);
    }

    /// A request under which back ends end comes again, at one gateway after the other.
    async fn come_again(&self, strike: Strike) {
        let body = [ENDING, &strike.at.as_millis().to_le_bytes()].concat();
        let path = ["/stream/", "/resumable/"][strike.target % 2];
        let mut index = strike.target;
        while self.began.elapsed() < self.over {
            index += 1;
            let door = self.slots[index % self.slots.len()].lock().door();
            if let Some(door) = door
                && let Some(mut client) = Client::try_connect(door.callers).await
            {
                // What its caller gets is no matter here; back ends tell what arrived.
                let _ = client
                    .send(request_with("ending", path, "warm", &body))
                    .await;
            }
            sleep(ENDING_PAUSE).await;
        }
    }

    /// A back end says for a while how many requests it takes.
    pub(super) async fn state_limit(self: Arc<Self>, limit: StatedLimit) {
        sleep(limit.at).await;
        let Some(back_end) = self.back_end(limit.target) else {
            return;
        };
        let runner = &back_end.runner;
        if runner.states_limit() {
            return;
        }
        let from = self.began.elapsed();
        runner.state_limit(Some(&limit.rate.to_string()));
        sleep(limit.lasts).await;
        runner.state_limit(None);
        self.limits.lock().push(Limited {
            back_end: runner.id.clone(),
            rate: limit.rate,
            from,
            until: self.began.elapsed(),
            arrivals: Vec::new(),
        });
    }

    /// A back end says something of itself in its answers.
    pub(super) async fn make_statement(self: Arc<Self>, strike: StatementStrike) {
        sleep(strike.at).await;
        match strike.statement {
            Statement::Leaves => self.leave_by_answers(strike).await,
            Statement::WantsPause => {
                let Some(back_end) = self.back_end(strike.target) else {
                    return;
                };
                back_end.mood.busy.store(true, Ordering::Relaxed);
                sleep(strike.lasts).await;
                back_end.mood.busy.store(false, Ordering::Relaxed);
            }
        }
    }

    /// A back end leaves and says so in its answers alone; another one comes.
    async fn leave_by_answers(self: Arc<Self>, strike: StatementStrike) {
        let Some(leaving) = self.take_off_the_list(strike.target) else {
            return;
        };
        let next = self.add_back_end(leaving.service).await;
        tokio::spawn(self.clone().replace_when_ended(next));
        leaving.runner.say_leaving(true);
        self.departed.lock().push(Departed {
            back_end: leaving.runner.id.clone(),
            said: self.began.elapsed(),
        });
        sleep(strike.lasts).await;
        self.store.remove("servers", &leaving.runner.id);
    }

    /// A back end that faults strike no more, since it leaves.
    fn take_off_the_list(&self, target: usize) -> Option<BackEnd> {
        let mut listed = self.listed.lock();
        let count = listed.len();
        (count > 0).then(|| listed.remove(target % count))
    }

    /// Something happens to the row of a back end.
    pub(super) async fn strike_row(self: Arc<Self>, strike: RowStrike) {
        sleep(strike.at).await;
        let Some(back_end) = self.back_end(strike.target) else {
            return;
        };
        let id = back_end.runner.id.clone();
        let mut row = row_of(&back_end, "ready");
        match strike.fault {
            RowFault::StartsAgain => {
                self.starting_again.lock().insert(id);
                back_end.runner.end();
                return;
            }
            RowFault::LacksField => {
                row.as_object_mut().expect("a row").remove("addr");
            }
            RowFault::OtherType => row["slots"] = json!("eight"),
            RowFault::UnknownWord => row["state"] = json!("dreaming"),
        }
        let from = self.began.elapsed();
        self.store.put("servers", &id, row);
        sleep(strike.lasts).await;
        // It may have ended, or begun to leave, meanwhile.
        let is_listed = |one: &BackEnd| one.runner.id == id && one.born == back_end.born;
        if self.listed.lock().iter().any(is_listed) {
            self.put_row(&back_end, "ready");
        }
        let until = self.began.elapsed() + NEWS;
        let what = What::BackEndCutOff;
        self.done.lock().push(Done { from, until, what });
    }

    /// Something happens to the connections of a back end that are open.
    fn cut_off(&self, target: usize, how: impl Fn(&Wire)) -> Option<What> {
        how(&self.back_end(target)?.wire);
        Some(What::BackEndCutOff)
    }

    /// A back end says that it leaves, and another one comes.
    async fn replace_back_end(self: Arc<Self>, target: usize) {
        let Some(leaving) = self.take_off_the_list(target) else {
            return;
        };
        let next = self.add_back_end(leaving.service).await;
        tokio::spawn(self.clone().replace_when_ended(next));
        self.put_row(&leaving, "draining");
        let said = self.began.elapsed();
        sleep(NEWS + SLACK).await;
        let left = Left {
            back_end: leaving.runner.id.clone(),
            said,
            counted: self.began.elapsed(),
            arrived: leaving.runner.seen().len(),
            arrived_in_the_end: 0,
        };
        self.left.lock().push(left);
        sleep(LEAVING - NEWS).await;
        self.store.remove("servers", &leaving.runner.id);
    }
}
