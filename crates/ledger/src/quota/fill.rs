//! Division of a number of slots by demand.

use goldcrest_types::units::Slots;

/// Divides `capacity` over `demands`: nobody gets more than it demands while another is short, and those that are
/// short get the same (max-min). What is left when all demands are met is spread evenly on top. The result adds up to
/// `capacity`, unless there is nobody to give it to.
#[must_use]
pub fn fill(capacity: Slots, demands: &[Slots]) -> Vec<Slots> {
    let mut out = vec![Slots::ZERO; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|index| demands[*index]);
    let mut left = capacity.get();
    let mut takers = u32::try_from(demands.len()).unwrap_or(u32::MAX);
    for index in &order {
        let got = demands[*index].get().min(left.div_ceil(takers));
        out[*index] = Slots::new(got);
        left -= got;
        takers -= 1;
    }
    spread(left, &mut out);
    out
}

fn spread(left: u32, out: &mut [Slots]) {
    let Ok(takers) = u32::try_from(out.len()) else {
        return;
    };
    if takers == 0 {
        return;
    }
    let each = left / takers;
    let mut extra = left % takers;
    for slots in out {
        let one = extra.min(1);
        *slots += Slots::new(each + one);
        extra -= one;
    }
}
