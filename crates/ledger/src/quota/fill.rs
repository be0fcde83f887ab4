//! Max-min fair division of slots by demand.

use goldcrest_types::units::Slots;

/// Divides `capacity` over `demands` by max-min fairness: no recipient gets more than its demand while the demand of
/// another is unmet, and recipients with unmet demand get the same, apart from rounding. Slots that remain when all
/// demands are met are spread evenly on top. Returns the slots of each recipient, in the order of `demands`; they add
/// up to `capacity` unless `demands` is empty.
#[must_use]
pub fn fill(capacity: Slots, demands: &[Slots]) -> Vec<Slots> {
    let mut out = vec![Slots::ZERO; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|index| demands[*index]);
    let mut left = capacity.get();
    let mut recipients = u32::try_from(demands.len()).unwrap_or(u32::MAX);
    for index in &order {
        let got = demands[*index].get().min(left.div_ceil(recipients));
        out[*index] = Slots::new(got);
        left -= got;
        recipients -= 1;
    }
    spread(left, &mut out);
    out
}

fn spread(left: u32, out: &mut [Slots]) {
    let Ok(recipients) = u32::try_from(out.len()) else {
        return;
    };
    if recipients == 0 {
        return;
    }
    let each = left / recipients;
    let mut extra = left % recipients;
    for slots in out {
        let one = extra.min(1);
        *slots += Slots::new(each + one);
        extra -= one;
    }
}
