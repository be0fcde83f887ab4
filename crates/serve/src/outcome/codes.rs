//! The codes of refusals. A code, its status and its meaning stay as they are once released.

macro_rules! codes {
    ($(#[$attr:meta])* $name:ident { $($variant:ident, $text:literal, $status:literal, $remedy:literal;)* }) => {
        $(#[$attr])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name {
            $(#[doc = concat!("`", $text, "`: ", $remedy, ".")] $variant,)*
        }

        impl $name {
            /// Every code.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// Returns the stable text of the code, as refusals carry it.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }

            /// Returns the HTTP status of the refusal.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$variant => $status,)* }
            }

            /// Returns what the caller can do, as refusals carry it.
            #[must_use]
            pub const fn remedy(self) -> &'static str {
                match self { $(Self::$variant => $remedy,)* }
            }
        }
    };
}

codes!(
    /// Why a request was refused before it ran.
    NotRunCode {
        BadPath, "bad-path", 400, "send /q/<queue>/<path> without dot segments, encoded slashes or control characters";
        BadRequest, "bad-request", 400, "correct the header that the detail names";
        MethodRefused, "method-refused", 405, "use a method other than CONNECT";
        KeyMissing, "key-missing", 401, "send the team's key as a bearer token";
        KeyUnknown, "key-unknown", 401, "ask an operator for a key: this one is not granted or was withdrawn";
        KeyWithdrawn, "key-withdrawn", 401, "ask an operator for a key: this one was withdrawn while the request waited";
        QueueUnknown, "queue-unknown", 404, "use the name of a queue in the catalogue";
        RequestTooLarge, "request-too-large", 413, "send a smaller body or ask the queue's owner for a larger limit";
        QueueFull, "queue-full", 429, "come back after Retry-After: the team has as many waiting as the queue allows";
        TooLateToStart, "too-late-to-start", 429, "come back after Retry-After or allow a longer deadline";
        Shed, "shed", 503, "come back after Retry-After: the entry is overloaded and serves more urgent work first";
        DeadlinePassed, "deadline-passed", 504, "come back after Retry-After or allow a longer deadline";
        KeysNotFresh, "keys-not-fresh", 503, "come back after Retry-After: this entry cannot tell whether the key is still granted";
        QuotaLapsed, "quota-lapsed", 503, "come back after Retry-After: the team's quota at this entry lapsed before the request was sent";
        NotReady, "not-ready", 503, "come back after Retry-After: this entry has no catalogue yet";
        NoUpstream, "no-upstream", 503, "come back after Retry-After: the queue's pool has no upstream in service";
        UpstreamUnreachable, "upstream-unreachable", 503, "come back after Retry-After: no upstream took the connection";
        UpstreamRefused, "upstream-refused", 503, "come back after Retry-After: the upstream refused before it ran the request";
        ClaimsUnavailable, "claims-unavailable", 503, "come back after Retry-After with the same Idempotency-Key";
    }
);

codes!(
    /// Why the outcome of a request is not known.
    UnknownCode {
        UpstreamLost, "upstream-lost", 502, "look at the result before you send it again: the upstream was lost after the request was sent";
        AnswerCrossed, "answer-crossed", 502, "look at the result before you send it again: the upstream answered another request";
        AnswerMalformed, "answer-malformed", 502, "look at the result before you send it again: the upstream's answer was not valid HTTP";
        AnswerTooLarge, "answer-too-large", 502, "ask for less or ask the queue's owner for a larger limit: the request did run";
        DeadlineRunning, "deadline-running", 504, "look at the result before you send it again: the deadline passed while it ran";
        RequestBodyLost, "request-body-lost", 400, "look at the result before you send it again: the body broke off or passed its limit midway";
        DuplicateRequest, "duplicate-request", 409, "look at the result of the first request with this Idempotency-Key: this one was not run again";
        PastUnknown, "past-unknown", 409, "look at the result before you use a new Idempotency-Key: an earlier request with this one may have run";
    }
);
