/// HTTP status by which a server says that the request was meant for another server.
const OTHER_SERVER: u16 = 421;

/// Least HTTP status of a final answer; a lower one announces another answer.
const MIN_FINAL_STATUS: u16 = 200;

/// Greatest HTTP status with a meaning. The HTTP parser accepts statuses up to 999.
const MAX_STATUS: u16 = 599;

/// HTTP statuses that tell a caller that its request did not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, OTHER_SERVER, 429, 503];

value_type! {
    /// Request that the head of a response names.
    #[derive(Copy, Eq)]
    pub enum NamedRequest {
        /// The request of the attempt.
        Own,
        /// Another request.
        Other,
        /// None: the head has no identifier.
        Absent,
    }

    /// What a connection carried before the attempt.
    #[derive(Copy, Eq)]
    pub enum ConnectionHistory {
        /// Nothing; any refusal on it belongs to the attempt.
        New,
        /// Other requests. A faulty server may send a response to one of them once more.
        Reused,
    }

    /// Head of a response to an attempt, as far as it shows whether the request ran.
    pub struct ResponseFacts {
        /// HTTP status.
        pub status: u16,
        /// Request that the response names.
        pub named: NamedRequest,
        /// True when the server states that it did not run the request.
        pub not_run: bool,
        /// True when the response carries the server's seal.
        pub sealed: bool,
        /// True when the body has a content encoding, or a transfer coding that is not taken off.
        pub encoded: bool,
        /// What the connection carried before.
        pub history: ConnectionHistory,
    }

    /// What a response proves about the attempt.
    #[derive(Copy, Eq)]
    pub enum ResponseProof {
        /// The response is the server's own to this request, which ran.
        Own,
        /// The request did not run.
        NotRun,
        /// The response may be a refusal of an earlier request on the connection: this request may
        /// have run. The text is the cause for the log.
        UnprovenRefusal(&'static str),
        /// The response is not the server's own to this request, which may have run. The text is
        /// the cause for the log.
        Foreign(&'static str),
    }
}

impl ResponseFacts {
    /// Decides what the response proves.
    ///
    /// ```
    /// use toucanring::core::retry::{
    ///     ConnectionHistory, NamedRequest, ResponseFacts, ResponseProof,
    /// };
    ///
    /// let mut facts = ResponseFacts {
    ///     status: 503,
    ///     named: NamedRequest::Absent,
    ///     not_run: true,
    ///     sealed: false,
    ///     encoded: false,
    ///     history: ConnectionHistory::New,
    /// };
    /// assert_eq!(facts.proof(), ResponseProof::NotRun);
    /// facts.history = ConnectionHistory::Reused;
    /// assert_ne!(facts.proof(), ResponseProof::NotRun);
    /// ```
    #[must_use]
    pub fn proof(&self) -> ResponseProof {
        if self.named == NamedRequest::Other {
            return ResponseProof::Foreign("answer_of_another_request");
        }
        if self.status > MAX_STATUS {
            return ResponseProof::Foreign("invalid_status");
        }
        if self.status < MIN_FINAL_STATUS {
            return ResponseProof::Foreign("interim_answer");
        }
        if self.not_run || self.status == OTHER_SERVER {
            let may_be_earlier =
                self.named == NamedRequest::Absent && self.history == ConnectionHistory::Reused;
            if may_be_earlier {
                return ResponseProof::UnprovenRefusal("unnamed_refusal");
            }
            return ResponseProof::NotRun;
        }
        if self.encoded {
            return ResponseProof::Foreign("encoded_answer");
        }
        if !self.sealed || self.named == NamedRequest::Absent {
            return ResponseProof::Foreign("unsealed_answer");
        }
        if NOT_RUN_STATUSES.contains(&self.status) {
            return ResponseProof::UnprovenRefusal("unstated_refusal");
        }
        ResponseProof::Own
    }
}
