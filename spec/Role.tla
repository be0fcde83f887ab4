---- MODULE Role ----
\* A role that one entry holds at a time, with a fencing epoch that rises with every change of the holder. A holder checks
\* its session right before it sends a command; a command travels for any time, also past the end of that session; and
\* the receiver refuses an epoch below the highest that it has seen.
EXTENDS Integers

CONSTANTS
    Term,           \* the term of a session, in ticks
    Takes,          \* how often the role is taken
    WaitsSession,   \* a held role is taken only when its holder's session has lapsed
    ChecksSession,  \* a holder acts only while the session under which it took the role is valid
    RaisesEpoch,    \* the epoch rises with every take
    Fences          \* the receiver refuses an older epoch

VARIABLES
    holder,     \* the holder as stored, or 0
    taken,      \* how often the role was taken
    session,    \* what is left of each entry's session, by its own and the service's clock
    held,       \* the take by which each entry holds the role, or 0
    sent,       \* the take of each entry's command that is on its way, or 0
    epoch,      \* the highest epoch that the receiver has seen
    newest,     \* the newest take whose command took effect
    latest      \* the take whose command took effect last

vars == <<holder, taken, session, held, sent, epoch, newest, latest>>

Entries == 1..2
Other(e) == 3 - e
EpochOf(take) == IF RaisesEpoch THEN take ELSE 1

Init ==
    /\ holder = 0
    /\ taken = 0
    /\ session = [e \in Entries |-> Term]
    /\ held = [e \in Entries |-> 0]
    /\ sent = [e \in Entries |-> 0]
    /\ epoch = 0
    /\ newest = 0
    /\ latest = 0

Dec(x) == IF x > 0 THEN x - 1 ELSE 0

Tick ==
    /\ session' = [e \in Entries |-> Dec(session[e])]
    /\ UNCHANGED <<holder, taken, held, sent, epoch, newest, latest>>

Renew(e) ==
    /\ session[e] > 0
    /\ session' = [session EXCEPT ![e] = Term]
    /\ UNCHANGED <<holder, taken, held, sent, epoch, newest, latest>>

\* An entry whose session lapsed opens another. What it held under the old one is no longer held.
Reopen(e) ==
    /\ session[e] = 0
    /\ session' = [session EXCEPT ![e] = Term]
    /\ held' = [held EXCEPT ![e] = 0]
    /\ UNCHANGED <<holder, taken, sent, epoch, newest, latest>>

Take(e) ==
    /\ session[e] > 0
    /\ held[e] = 0
    /\ holder # Other(e) \/ session[Other(e)] = 0 \/ ~WaitsSession
    /\ taken < Takes
    /\ taken' = taken + 1
    /\ holder' = e
    /\ held' = [held EXCEPT ![e] = taken + 1]
    /\ UNCHANGED <<session, sent, epoch, newest, latest>>

\* The holder gives the role up. From here on it does not act, whatever becomes of the answer.
Release(e) ==
    /\ held[e] > 0
    /\ held' = [held EXCEPT ![e] = 0]
    /\ holder' = IF holder = e /\ taken = held[e] THEN 0 ELSE holder
    /\ UNCHANGED <<taken, session, sent, epoch, newest, latest>>

MayAct(e) == held[e] > 0 /\ (session[e] > 0 \/ ~ChecksSession)

Send(e) ==
    /\ MayAct(e)
    /\ sent[e] = 0
    /\ sent' = [sent EXCEPT ![e] = held[e]]
    /\ UNCHANGED <<holder, taken, session, held, epoch, newest, latest>>

\* A command arrives, and takes effect unless its epoch is older than one seen before.
Arrive(e) ==
    /\ sent[e] > 0
    /\ LET mine == EpochOf(sent[e])
           takes_effect == mine >= epoch \/ ~Fences
       IN  /\ epoch' = IF mine > epoch THEN mine ELSE epoch
           /\ latest' = IF takes_effect THEN sent[e] ELSE latest
           /\ newest' = IF takes_effect /\ sent[e] > newest THEN sent[e] ELSE newest
    /\ sent' = [sent EXCEPT ![e] = 0]
    /\ UNCHANGED <<holder, taken, session, held>>

Next ==
    \/ Tick
    \/ \E e \in Entries : Renew(e) \/ Reopen(e) \/ Take(e) \/ Release(e)
    \/ \E e \in Entries : Send(e) \/ Arrive(e)

\* Nobody acts beside the holder.
InvOneHolder == ~(MayAct(1) /\ MayAct(2))

\* No command takes effect after one of a later holder.
InvNothingStale == latest = newest
====
