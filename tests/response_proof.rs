//! What the head of a response proves about an attempt.

use {
    rstest::rstest,
    toucanring::core::retry::{
        ConnectionHistory::{self, New, Reused},
        NamedRequest::{self, Absent, Other, Own},
        ResponseFacts, ResponseProof,
    },
};

fn refusal(status: u16, named: NamedRequest, history: ConnectionHistory) -> ResponseFacts {
    ResponseFacts {
        status,
        named,
        not_run: status != 421,
        sealed: false,
        encoded: false,
        history,
    }
}

/// Guards against a refusal that counts as proof though it may belong to another request, and
/// against a genuine one that does not count.
#[rstest]
#[case(503, Own, Reused, true)]
#[case(503, Own, New, true)]
#[case(503, Absent, New, true)]
#[case(503, Absent, Reused, false)]
#[case(421, Absent, New, true)]
#[case(421, Absent, Reused, false)]
#[case(503, Other, New, false)]
#[case(421, Other, Reused, false)]
fn refusals_prove_only_with_their_request(
    #[case] status: u16,
    #[case] named: NamedRequest,
    #[case] history: ConnectionHistory,
    #[case] is_proof: bool,
) {
    let facts = refusal(status, named, history);

    let proof = facts.proof();

    assert_eq!(proof == ResponseProof::NotRun, is_proof);
}

/// Guards against a status that tells a caller to try again though the server did not state that
/// the request had not run.
#[rstest]
#[case(408)]
#[case(429)]
#[case(503)]
fn a_status_alone_proves_nothing(#[case] status: u16) {
    let facts = ResponseFacts {
        not_run: false,
        sealed: true,
        ..refusal(status, Own, New)
    };

    let proof = facts.proof();

    assert_eq!(proof, ResponseProof::UnprovenRefusal("unstated_refusal"));
}

/// Guards against an interim answer that is passed on as the final one, or proves that a request did
/// not run.
#[rstest]
fn an_interim_answer_proves_nothing(#[values(false, true)] not_run: bool) {
    let facts = ResponseFacts {
        not_run,
        sealed: true,
        ..refusal(101, Own, New)
    };

    let proof = facts.proof();

    assert_eq!(proof, ResponseProof::Foreign("interim_answer"));
}

/// Guards against an answer with a status that has no meaning, which the HTTP parser accepts, that
/// is passed on or proves that a request did not run.
#[rstest]
fn a_status_above_599_proves_nothing(
    #[values(600, 999)] status: u16,
    #[values(false, true)] not_run: bool,
) {
    let facts = ResponseFacts {
        not_run,
        sealed: true,
        ..refusal(status, Own, New)
    };

    let proof = facts.proof();

    assert_eq!(proof, ResponseProof::Foreign("invalid_status"));
}
