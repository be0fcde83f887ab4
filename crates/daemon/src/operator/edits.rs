//! Edits of the catalogue.

use goldcrest_api::{EditAnswer, EditRequest, ProblemCode};
use goldcrest_ledger::catalogue::Head;
use goldcrest_obs::logs::Part;
use goldcrest_session::{UpdateError, Updated, keys};
use goldcrest_types::names::{EditId, OperatorName};
use goldcrest_types::units::Revision;
use http::StatusCode;

use super::server::problem;
use crate::catalogue::install_head;
use crate::http::{Answer, json};
use crate::world::World;

const PART: &str = Part::Operator.as_str();

/// Applies an edit that `operator` signed. Once the response reports it as accepted, it is in force in this process.
pub async fn apply(world: &World, operator: OperatorName, request: EditRequest) -> Answer {
    let edit = request.signed(operator);
    let updated = world.follower.edit(&edit).await;
    let head = world.follower.head().borrow().clone();
    install_head(world, head.as_ref());
    match updated {
        Ok(Updated::Applied { value, .. }) => {
            log::info!(
                target: PART,
                edit:% = edit.id,
                operator:% = edit.operator,
                revision:% = value.revision;
                "Edit accepted."
            );
            accepted(edit.id, value.revision)
        }
        Ok(Updated::AppliedEarlier) => accepted_earlier(world, edit.id).await,
        Ok(Updated::Refused(refusal)) => problem(
            StatusCode::CONFLICT,
            ProblemCode::EditRefused,
            &refusal.to_string(),
        ),
        Err(error) => failed(&error),
    }
}

fn accepted(edit: EditId, revision: Revision) -> Answer {
    json(StatusCode::OK, &EditAnswer { edit, revision })
}

/// Looks up the revision of an edit that an earlier attempt has applied.
async fn accepted_earlier(world: &World, edit: EditId) -> Answer {
    let read = world.session.read::<Head>(&keys::catalogue_head()).await;
    match read {
        Ok((head, _)) => match head.acceptance(edit) {
            Some(found) => accepted(edit, found.revision),
            None => problem(
                StatusCode::CONFLICT,
                ProblemCode::NotApplied,
                "the edit was applied and is no longer remembered: compare the file with the catalogue in force",
            ),
        },
        Err(error) => failed(&error),
    }
}

fn failed(error: &UpdateError) -> Answer {
    let code = match error {
        UpdateError::Unresolved(_) => ProblemCode::OutcomeUnknown,
        UpdateError::NotApplied(_) | UpdateError::Document(_) => ProblemCode::NotApplied,
    };
    problem(StatusCode::SERVICE_UNAVAILABLE, code, &error.to_string())
}
