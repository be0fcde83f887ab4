---- MODULE Home ----
\* At most one run of a non-idempotent request that its caller sends again: its key has one home among the entries.
\* A home remembers what it started, and forgets it when it restarts. Entry 2 ranks above entry 1 for the key, so it is
\* the home whenever it is there; entry 1 is the home while it does not count entry 2 as a member. A home that can't know
\* the past runs nothing for as long as a caller may repeat a request, unless the former home vouches for the key. An entry
\* that leaves in order hands its claims to the next home, and only then tells it that it has left.
EXTENDS Integers

CONSTANTS
    Window,         \* how long a caller may repeat a request, in ticks
    Term,           \* the term of a session, and the longest age of the list of sessions by which a home acts, in ticks
    Remembers,      \* a home runs no request that it has started before
    WaitsWindow,    \* a new home runs nothing by its own knowledge for as long as a request may be repeated
    WaitsForOthers, \* it counts that time from when the others can no longer act by an older list of members
    WaitsSession,   \* an entry counts another as a member for as long as that one's session lives
    ChecksSession,  \* a home checks its session right before it runs a request
    CountsAsker,    \* a former home counts who asks it as a member before it answers
    VouchesByPast,  \* a former home vouches only if it can know the past itself
    StopsFirst,     \* an entry that leaves runs nothing from before it hands over
    WaitsForClaims  \* an entry tells that it has left only when its claims have arrived

VARIABLES
    runs,       \* how often the request was run
    age,        \* ticks since the request was first run; -1 before
    phase,      \* whether each entry is out, in, or leaving
    counts,     \* whether each entry counts the other as a member
    session,    \* what is left of each entry's session, by its own and the service's clock
    blind,      \* for how long each entry can't know the past
    memory,     \* whether each entry remembers the request as claimed
    handed      \* whether the claims of each entry that leaves have arrived

vars == <<runs, age, phase, counts, session, blind, memory, handed>>

Entries == 1..2
Other(e) == 3 - e

Init ==
    /\ runs = 0
    /\ age = -1
    /\ phase = [e \in Entries |-> IF e = 1 THEN "in" ELSE "out"]
    /\ counts = [e \in Entries |-> FALSE]
    /\ session = [e \in Entries |-> IF e = 1 THEN Term ELSE 0]
    /\ blind = [e \in Entries |-> 0]
    /\ memory = [e \in Entries |-> FALSE]
    /\ handed = [e \in Entries |-> FALSE]

Dec(x) == IF x > 0 THEN x - 1 ELSE 0
Gap == IF WaitsWindow THEN Window + 1 ELSE 0
FirstGap == IF WaitsForOthers THEN Gap + Term ELSE Gap

Tick ==
    /\ session' = [e \in Entries |-> Dec(session[e])]
    /\ blind' = [e \in Entries |-> Dec(blind[e])]
    /\ age' = IF age >= 0 THEN age + 1 ELSE age
    /\ UNCHANGED <<runs, phase, counts, memory, handed>>

IsListed(e) == phase[e] # "out" /\ session[e] > 0

\* An entry renews its session and reads the list of sessions.
Renew(e) ==
    /\ IsListed(e)
    /\ session' = [session EXCEPT ![e] = Term]
    /\ counts' = [counts EXCEPT ![e] = @ \/ (WaitsSession /\ IsListed(Other(e)))]
    /\ UNCHANGED <<runs, age, phase, blind, memory, handed>>

\* An entry that was paused or cut off opens a session again, and knows nothing of the time between.
Reopen(e) ==
    /\ phase[e] = "in"
    /\ session[e] = 0
    /\ session' = [session EXCEPT ![e] = Term]
    /\ blind' = [blind EXCEPT ![e] = FirstGap]
    /\ counts' = [counts EXCEPT ![e] = @ \/ IsListed(Other(e))]
    /\ UNCHANGED <<runs, age, phase, memory, handed>>

\* A new process comes. Under its new name it is counted only once it is heard of.
Join(e) ==
    /\ phase[e] = "out"
    /\ ~counts[Other(e)]
    /\ phase' = [phase EXCEPT ![e] = "in"]
    /\ session' = [session EXCEPT ![e] = Term]
    /\ blind' = [blind EXCEPT ![e] = FirstGap]
    /\ counts' = [counts EXCEPT ![e] = IsListed(Other(e))]
    /\ UNCHANGED <<runs, age, memory, handed>>

\* An entry hears of the other by a heartbeat.
Hear(e) ==
    /\ phase[e] # "out"
    /\ phase[Other(e)] = "in"
    /\ ~counts[e]
    /\ counts' = [counts EXCEPT ![e] = TRUE]
    /\ UNCHANGED <<runs, age, phase, session, blind, memory, handed>>

\* An entry no longer counts the other, which is silent, as a member.
CountOut(e) ==
    /\ phase[e] = "in"
    /\ counts[e]
    /\ session[Other(e)] = 0 \/ ~WaitsSession
    /\ counts' = [counts EXCEPT ![e] = FALSE]
    /\ blind' = [blind EXCEPT ![e] = Gap]
    /\ UNCHANGED <<runs, age, phase, session, memory, handed>>

Crash(e) ==
    /\ phase[e] # "out"
    /\ phase' = [phase EXCEPT ![e] = "out"]
    /\ memory' = [memory EXCEPT ![e] = FALSE]
    /\ handed' = [handed EXCEPT ![e] = FALSE]
    /\ UNCHANGED <<runs, age, counts, session, blind>>

Leave(e) ==
    /\ phase[e] = "in"
    /\ session[e] > 0
    /\ phase' = [phase EXCEPT ![e] = "leaving"]
    /\ UNCHANGED <<runs, age, counts, session, blind, memory, handed>>

\* The claims arrive at the next home. They may also be lost, or be late by any time.
HandOver(e) ==
    /\ phase[e] = "leaving"
    /\ phase[Other(e)] = "in"
    /\ ~handed[e]
    /\ handed' = [handed EXCEPT ![e] = TRUE]
    /\ memory' = [memory EXCEPT ![Other(e)] = @ \/ memory[e]]
    /\ UNCHANGED <<runs, age, phase, counts, session, blind>>

\* The entry tells that it has left, and ends. Who learns it so notes no gap.
TellLeft(e) ==
    /\ phase[e] = "leaving"
    /\ handed[e] \/ ~WaitsForClaims
    /\ phase[Other(e)] = "in"
    /\ phase' = [phase EXCEPT ![e] = "out"]
    /\ counts' = [counts EXCEPT ![Other(e)] = FALSE]
    /\ memory' = [memory EXCEPT ![e] = FALSE]
    /\ handed' = [handed EXCEPT ![e] = FALSE]
    /\ session' = [session EXCEPT ![e] = 0]
    /\ UNCHANGED <<runs, age, blind>>

IsHome(e) == e = 2 \/ ~counts[e]

MayRun(e) ==
    /\ session[e] > 0 \/ ~ChecksSession
    /\ ~memory[e] \/ ~Remembers
    /\ runs < 2

RunBy(e) ==
    /\ runs' = runs + 1
    /\ age' = IF age < 0 THEN 0 ELSE age
    /\ memory' = [memory EXCEPT ![e] = TRUE]

\* The request comes, for the first time or again, to an entry that believes to be its home.
Run(e) ==
    /\ phase[e] = "in" \/ (phase[e] = "leaving" /\ ~StopsFirst)
    /\ IsHome(e)
    /\ blind[e] = 0
    /\ MayRun(e)
    /\ RunBy(e)
    /\ UNCHANGED <<phase, counts, session, blind, handed>>

\* Entry 2 can't know the past, and asks the former home.
RunVouched ==
    /\ phase[2] = "in"
    /\ phase[1] = "in"
    /\ blind[2] > 0
    /\ (session[1] > 0 /\ blind[1] = 0) \/ ~VouchesByPast
    /\ ~memory[1]
    /\ MayRun(2)
    /\ RunBy(2)
    /\ counts' = [counts EXCEPT ![1] = @ \/ CountsAsker]
    /\ UNCHANGED <<phase, session, blind, handed>>

\* The former home has seen the request, and says so.
LearnSeen ==
    /\ phase[2] = "in"
    /\ phase[1] = "in"
    /\ memory[1]
    /\ memory' = [memory EXCEPT ![2] = TRUE]
    /\ counts' = [counts EXCEPT ![1] = @ \/ CountsAsker]
    /\ UNCHANGED <<runs, age, phase, session, blind, handed>>

Step ==
    \/ Tick
    \/ RunVouched
    \/ LearnSeen
    \/ \E e \in Entries : Renew(e) \/ Reopen(e) \/ Join(e) \/ Hear(e) \/ CountOut(e)
    \/ \E e \in Entries : Crash(e) \/ Leave(e) \/ HandOver(e) \/ TellLeft(e) \/ Run(e)

\* Once no repetition may come any more, nothing is left to check.
Next == age <= Window /\ Step

InvAtMostOnce == runs <= 1
====
