---- MODULE Freshness ----
\* Withdrawal of a key, and the proof of freshness that each data centre needs to take keyed work. Revision 1 withdraws
\* the key. A data centre can lose the service. Answers of peers travel for any time; data centres that don't ask or hear have lost
\* each other.
EXTENDS Integers

CONSTANTS
    Bound,          \* how old a proof may be, in ticks
    CountsTravel,   \* a peer's age counts from when it was asked
    ChecksRevision, \* a proof is taken only for a revision that the data centre has
    NeedsAll        \* an outage needs a report from every data centre

VARIABLES
    accepted,   \* the accepted revision
    since,      \* ticks since the withdrawal was accepted
    rev,        \* the revision of each data centre
    age,        \* the age of its freshest proof
    contact,    \* whether it reaches the service
    answer      \* what a peer's answer on its way tells, to whom, and how long ago it was asked

vars == <<accepted, since, rev, age, contact, answer>>

Dcs == 1..2
Other(d) == 3 - d
Old == Bound + 1
None == [to |-> 0, rev |-> 0, age |-> 0, travel |-> 0, outage |-> FALSE]

Cap(x) == IF x > Old THEN Old ELSE x
Min(a, b) == IF a < b THEN a ELSE b

Init ==
    /\ accepted = 0
    /\ since = 0
    /\ rev = [d \in Dcs |-> 0]
    /\ age = [d \in Dcs |-> 0]
    /\ contact = [d \in Dcs |-> TRUE]
    /\ answer = None

Tick ==
    /\ since' = IF accepted = 1 THEN Cap(since + 1) ELSE 0
    /\ age' = [d \in Dcs |-> Cap(age[d] + 1)]
    /\ answer' = IF answer.to = 0 \/ (CountsTravel /\ answer.travel >= Bound) THEN None
                  ELSE [answer EXCEPT !.travel = Cap(@ + 1)]
    /\ UNCHANGED <<accepted, rev, contact>>

Cut(d) ==
    /\ contact' = [contact EXCEPT ![d] = ~@]
    /\ UNCHANGED <<accepted, since, rev, age, answer>>

\* The operator is told through a data centre that has contact.
Withdraw(d) ==
    /\ contact[d]
    /\ accepted = 0
    /\ accepted' = 1
    /\ since' = 0
    /\ rev' = [rev EXCEPT ![d] = 1]
    /\ age' = [age EXCEPT ![d] = 0]
    /\ UNCHANGED <<contact, answer>>

Read(d) ==
    /\ contact[d]
    /\ rev' = [rev EXCEPT ![d] = accepted]
    /\ age' = [age EXCEPT ![d] = 0]
    /\ UNCHANGED <<accepted, since, contact, answer>>

\* The peer answers with its revision, the age of its proof, and whether it has no contact.
Ask(d) ==
    /\ answer.to = 0
    /\ answer' = [to |-> d, rev |-> rev[Other(d)], age |-> age[Other(d)], travel |-> 0,
        outage |-> ~contact[Other(d)]]
    /\ UNCHANGED <<accepted, since, rev, age, contact>>

Hear(d) ==
    LET a == answer
        travel == IF CountsTravel THEN a.travel ELSE 0
        is_known == a.rev <= rev[d] \/ ~ChecksRevision
        peer == IF is_known THEN Cap(a.age + travel) ELSE Old
        \* Neither had contact when the peer was asked: nobody can have accepted anything then.
        outage == IF is_known /\ a.outage /\ ~contact[d] THEN travel ELSE Old
    IN  /\ a.to = d
        /\ age' = [age EXCEPT ![d] = Min(@, Min(peer, outage))]
        /\ answer' = None
        /\ UNCHANGED <<accepted, since, rev, contact>>

\* The broken rule: no contact of its own is taken for an outage for all.
Assume(d) ==
    /\ ~NeedsAll
    /\ ~contact[d]
    /\ age' = [age EXCEPT ![d] = 0]
    /\ UNCHANGED <<accepted, since, rev, contact, answer>>

Learn(d) ==
    /\ rev[Other(d)] > rev[d]
    /\ rev' = [rev EXCEPT ![d] = rev[Other(d)]]
    /\ UNCHANGED <<accepted, since, age, contact, answer>>

Next ==
    \/ Tick
    \/ \E d \in Dcs : Cut(d) \/ Withdraw(d) \/ Read(d) \/ Ask(d) \/ Hear(d) \/ Assume(d) \/ Learn(d)

\* A data centre whose proof is young enough takes work for the key unless it knows of the withdrawal.
Takes(d) == age[d] < Bound /\ rev[d] = 0
InvWithdrawn == \A d \in Dcs : Takes(d) => since <= Bound
====
