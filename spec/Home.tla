---- MODULE Home ----
\* At most one run of a non-idempotent request that its caller sends again: its key has one home among the entries.
\* A home remembers what it started, and forgets it when it restarts. It holds its keys by a session. A new home can't
\* know the past: for as long as a caller may repeat a request it answers "outcome unknown" and runs nothing.
EXTENDS Integers

CONSTANTS
    Window,         \* how long a caller may repeat a request, in ticks
    Term,           \* the term of the home's session, in ticks
    Remembers,      \* a home runs no request that it has started before
    WaitsWindow,    \* a new home runs nothing for as long as a request may be repeated
    WaitsSession,   \* a new home takes over only when the old one's session has lapsed
    ChecksSession   \* a home checks its session right before it runs a request

VARIABLES
    runs,       \* how often each request was run
    age,        \* ticks since each request was first sent; -1 before
    home,       \* the home in force
    session,    \* what is left of each entry's session, by its own and the service's clock
    blind,      \* for how long each entry still answers "outcome unknown"
    memory,     \* what each entry remembers to have started
    believes    \* which entries believe to be home

vars == <<runs, age, home, session, blind, memory, believes>>

Entries == 1..2
Requests == 1..2

Init ==
    /\ runs = [r \in Requests |-> 0]
    /\ age = [r \in Requests |-> -1]
    /\ home = 1
    /\ session = [e \in Entries |-> IF e = 1 THEN Term ELSE 0]
    /\ blind = [e \in Entries |-> 0]
    /\ memory = [e \in Entries |-> {}]
    /\ believes = {1}

Dec(x) == IF x > 0 THEN x - 1 ELSE 0

Tick ==
    /\ session' = [e \in Entries |-> Dec(session[e])]
    /\ blind' = [e \in Entries |-> Dec(blind[e])]
    /\ age' = [r \in Requests |-> IF age[r] >= 0 /\ age[r] <= Window THEN age[r] + 1 ELSE age[r]]
    /\ UNCHANGED <<runs, home, memory, believes>>

Renew(e) ==
    /\ home = e
    /\ session[e] > 0
    /\ session' = [session EXCEPT ![e] = Term]
    /\ UNCHANGED <<runs, age, home, blind, memory, believes>>

\* The other entry becomes home. The old one may not have noticed.
TakeOver(e) ==
    /\ home # e
    /\ session[home] = 0 \/ ~WaitsSession
    /\ home' = e
    /\ session' = [session EXCEPT ![e] = Term]
    /\ blind' = [blind EXCEPT ![e] = IF WaitsWindow THEN Window + 1 ELSE 0]
    /\ memory' = [memory EXCEPT ![e] = {}]
    /\ believes' = believes \union {e}
    /\ UNCHANGED <<runs, age>>

\* A restarted home has forgotten what it started, and is a new home.
Restart(e) ==
    /\ e \in believes
    /\ memory' = [memory EXCEPT ![e] = {}]
    /\ blind' = [blind EXCEPT ![e] = IF WaitsWindow THEN Window + 1 ELSE 0]
    /\ UNCHANGED <<runs, age, home, session, believes>>

\* The request comes, for the first time or again, to an entry that believes to be its home.
Run(e, r) ==
    /\ e \in believes
    /\ age[r] <= Window
    /\ session[e] > 0 \/ ~ChecksSession
    /\ blind[e] = 0
    /\ r \notin memory[e] \/ ~Remembers
    /\ runs[r] < 2
    /\ runs' = [runs EXCEPT ![r] = @ + 1]
    /\ memory' = [memory EXCEPT ![e] = @ \union {r}]
    /\ age' = [age EXCEPT ![r] = IF @ < 0 THEN 0 ELSE @]
    /\ UNCHANGED <<home, session, blind, believes>>

\* The request comes for the first time and is answered without a run.
Refuse(r) ==
    /\ age[r] < 0
    /\ age' = [age EXCEPT ![r] = 0]
    /\ UNCHANGED <<runs, home, session, blind, memory, believes>>

Next ==
    \/ Tick
    \/ \E e \in Entries : Renew(e) \/ TakeOver(e) \/ Restart(e)
    \/ \E e \in Entries, r \in Requests : Run(e, r)
    \/ \E r \in Requests : Refuse(r)

InvAtMostOnce == \A r \in Requests : runs[r] <= 1
====
