//! The return of service after a loss of all power, as callers observe it.

use std::time::Duration;

use super::guarantees::{Finding, Guarantee};
use super::history::{CallerRequest, History, PowerReturn};

/// Time after the return of power from which requests are counted.
pub const RETURN_BOUND: Duration = Duration::from_secs(15);
/// Smallest fraction of these requests that is to be served.
const MIN_SERVED_FRACTION: f64 = 0.25;
/// Length of the periods of a summary.
const SUMMARY_PERIOD: Duration = Duration::from_secs(2);

/// Requests of a period, and how many of them were served.
#[derive(Clone, Copy, Debug, Default)]
struct Service {
    sent: usize,
    served: usize,
}

impl Service {
    fn of<'a>(requests: impl Iterator<Item = &'a CallerRequest>) -> Self {
        requests.fold(Service::default(), |service, request| Service {
            sent: service.sent + 1,
            served: service.served + usize::from(request.is_served()),
        })
    }

    fn fraction(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// Checks that requests are served in time after the return of power: all together, and each kind by
/// itself where loads are short because engines kept their copies of weights.
pub fn check_return(history: &History) -> Vec<Finding> {
    let Some(power_return) = history.power_return else {
        return Vec::new();
    };
    let counted = counted_requests(history, power_return);
    let (for_models, others) = counted
        .clone()
        .partition::<Vec<&CallerRequest>, _>(|request| request.kind.needs_model());
    let mut services = vec![("requests", Service::of(counted))];
    if power_return.has_disks {
        services.push(("requests for models", Service::of(for_models.into_iter())));
        services.push(("requests without models", Service::of(others.into_iter())));
    }
    let too_few = services
        .into_iter()
        .filter(|(_, service)| service.fraction() < MIN_SERVED_FRACTION);
    let to_finding = |(name, service): (&str, Service)| Finding {
        guarantee: Guarantee::Return,
        details: format!(
            "{} of {} {name} were served, {power_return:?}",
            service.served, service.sent
        ),
    };
    let first_model = power_return
        .bounds_first_model
        .then(|| check_first_model(history, power_return));
    too_few
        .map(to_finding)
        .chain(first_model.flatten())
        .collect()
}

/// Returns the requests that were sent later than the bound after the return of power.
fn counted_requests(
    history: &History,
    power_return: PowerReturn,
) -> impl Iterator<Item = &CallerRequest> + Clone {
    let counted_from = power_return.at + RETURN_BOUND;
    let requests = history.requests.iter();
    requests.filter(move |request| request.sent_at > counted_from)
}

/// Checks that a model serves within the bound after the return of power.
fn check_first_model(history: &History, power_return: PowerReturn) -> Option<Finding> {
    let first = first_model_response(history, power_return);
    let is_late = first.is_none_or(|first| first > RETURN_BOUND);
    is_late.then(|| Finding {
        guarantee: Guarantee::Return,
        details: format!("the first response of a model came after {first:?}"),
    })
}

/// Returns the time from the return of power until a model has served a request that was sent since.
fn first_model_response(history: &History, power_return: PowerReturn) -> Option<Duration> {
    let served = history.requests.iter().filter(|request| {
        request.sent_at > power_return.at && request.kind.needs_model() && request.is_served()
    });
    served
        .map(|request| request.ended_at - power_return.at)
        .min()
}

/// Describes the served fraction of requests for models and of other requests for each period since
/// the return of power, by the time of sending.
pub fn summarize_return(history: &History, power_return: PowerReturn) -> String {
    let fraction = |from: Duration, needs_model: bool| {
        let requests = history.requests.iter().filter(|request| {
            let is_sent_then = (from..from + SUMMARY_PERIOD).contains(&request.sent_at);
            is_sent_then && request.kind.needs_model() == needs_model
        });
        Service::of(requests).fraction()
    };
    let last = history.requests.iter().map(|request| request.sent_at).max();
    let length = last.unwrap_or_default().saturating_sub(power_return.at);
    let periods = length.as_secs() / SUMMARY_PERIOD.as_secs();
    let describe = |period: u64| {
        let from = power_return.at + SUMMARY_PERIOD * period as u32;
        format!("{:.2}/{:.2}", fraction(from, true), fraction(from, false))
    };
    let fractions: Vec<String> = (0..=periods).map(describe).collect();
    let counted = Service::of(counted_requests(history, power_return));
    let (served, sent, fractions) = (counted.served, counted.sent, fractions.join(" "));
    let first = first_model_response(history, power_return);
    format!(
        "first response of a model after {first:?}; {served} of {sent} served after the bound; \
         served (models/others): {fractions}"
    )
}
