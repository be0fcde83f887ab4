---- MODULE Quota ----
\* Quota rows of one team in one data centre: floors, lent parts, sessions, crashes, pauses and reclaim.
\* One tick is one unit of every bound. A process that takes no step is paused.
EXTENDS Integers

CONSTANTS
    Limit,          \* the portion
    Term,           \* the term of a session, in ticks
    ReclaimWaits,   \* a reclaim waits for the run bound
    ChecksSession,  \* an admission against the lent part checks the session
    WaitsForGone,   \* a row is orphaned only when its process is gone
    FencesGiveBack  \* a give-back without an answer stays lowered until it can't land any more

VARIABLES
    floor, lent,    \* the rows, as stored
    phase, waited,  \* their phase and how long they have been in it, as stored
    alive,          \* whether the process lives
    mine,           \* the lent part that the process knows of
    until,          \* what is left of the session, by the process's clock
    session,        \* what is left of the session, by the service's clock
    giving,         \* a give-back of one slot of the floor: none, sent, or thought to have failed
    work            \* how much work still runs for 1 .. RunBound ticks

vars == <<floor, lent, phase, waited, alive, mine, until, session, giving, work>>

Entries == 1..2
RunBound == 2     \* the longest run of admitted work, in ticks
Ticks == 1..RunBound

Sum(f) == f[1] + f[2]
Held == Sum(floor) + Sum(lent)
Run(e) == Sum(work[e])

Init ==
    /\ floor = [e \in Entries |-> 0]
    /\ lent = [e \in Entries |-> 0]
    /\ phase = [e \in Entries |-> "held"]
    /\ waited = [e \in Entries |-> 0]
    /\ alive = [e \in Entries |-> TRUE]
    /\ mine = [e \in Entries |-> 0]
    /\ until = [e \in Entries |-> Term]
    /\ session = [e \in Entries |-> Term]
    /\ giving = [e \in Entries |-> "none"]
    /\ work = [e \in Entries |-> [k \in Ticks |-> 0]]

Dec(x) == IF x > 0 THEN x - 1 ELSE 0

Tick ==
    /\ until' = [e \in Entries |-> Dec(until[e])]
    /\ session' = [e \in Entries |-> Dec(session[e])]
    /\ waited' = [e \in Entries |->
        IF phase[e] \in {"lapsed", "orphaned"} /\ waited[e] < RunBound THEN waited[e] + 1 ELSE waited[e]]
    /\ work' = [e \in Entries |-> [k \in Ticks |-> IF k < RunBound THEN work[e][k + 1] ELSE 0]]
    /\ UNCHANGED <<floor, lent, phase, alive, mine, giving>>

Usable(e) ==
    LET kept == IF giving[e] = "sent" THEN floor[e] - 1 ELSE floor[e]
    IN  kept + (IF until[e] > 0 \/ ~ChecksSession THEN mine[e] ELSE 0)

Admit(e) ==
    /\ alive[e]
    /\ Run(e) < Usable(e)
    /\ \E k \in Ticks : work' = [work EXCEPT ![e][k] = @ + 1]
    /\ UNCHANGED <<floor, lent, phase, waited, alive, mine, until, session, giving>>

CanSet(e) == alive[e] /\ phase[e] = "held" /\ giving[e] = "none"

TakeFloor(e) ==
    /\ CanSet(e)
    /\ Held < Limit
    /\ floor' = [floor EXCEPT ![e] = @ + 1]
    /\ UNCHANGED <<lent, phase, waited, alive, mine, until, session, giving, work>>

\* The session must be the one of the row; the process may learn of the part later, or never.
TakeLent(e) ==
    /\ CanSet(e)
    /\ session[e] > 0
    /\ Held < Limit
    /\ lent' = [lent EXCEPT ![e] = @ + 1]
    /\ mine' \in {mine, [mine EXCEPT ![e] = lent[e] + 1]}
    /\ UNCHANGED <<floor, phase, waited, alive, until, session, giving, work>>

\* The process lowers what it uses before it sends the swap.
SendGiveBack(e) ==
    /\ CanSet(e)
    /\ floor[e] > 0
    /\ Run(e) < floor[e] + lent[e]
    /\ Run(e) <= floor[e] - 1 + (IF until[e] > 0 THEN mine[e] ELSE 0)
    /\ giving' = [giving EXCEPT ![e] = "sent"]
    /\ UNCHANGED <<floor, lent, phase, waited, alive, mine, until, session, work>>

\* The swap takes effect, whether its answer comes or not.
LandGiveBack(e) ==
    /\ giving[e] \in {"sent", "forgotten"}
    /\ floor[e] > 0
    /\ floor' = [floor EXCEPT ![e] = @ - 1]
    /\ giving' = [giving EXCEPT ![e] = "none"]
    /\ UNCHANGED <<lent, phase, waited, alive, mine, until, session, work>>

\* Another swap has changed the value, so this one never will.
DropGiveBack(e) ==
    /\ giving[e] \in {"sent", "forgotten"}
    /\ giving' = [giving EXCEPT ![e] = "none"]
    /\ UNCHANGED <<floor, lent, phase, waited, alive, mine, until, session, work>>

\* The broken rule: no answer came and the value is unchanged, so the process uses its old part again.
ForgetGiveBack(e) ==
    /\ ~FencesGiveBack
    /\ giving[e] = "sent"
    /\ giving' = [giving EXCEPT ![e] = "forgotten"]
    /\ UNCHANGED <<floor, lent, phase, waited, alive, mine, until, session, work>>

\* A renewal whose answer may be lost.
Renew(e) ==
    /\ alive[e]
    /\ session[e] > 0
    /\ session' = [session EXCEPT ![e] = Term]
    /\ until' \in {until, [until EXCEPT ![e] = Term]}
    /\ UNCHANGED <<floor, lent, phase, waited, alive, mine, giving, work>>

\* A new session: the process reads its row anew.
Reopen(e) ==
    /\ alive[e]
    /\ session[e] = 0
    /\ phase[e] \in {"held", "lapsed"}
    /\ session' = [session EXCEPT ![e] = Term]
    /\ until' = [until EXCEPT ![e] = Term]
    /\ mine' = [mine EXCEPT ![e] = lent[e]]
    /\ phase' = [phase EXCEPT ![e] = "held"]
    /\ waited' = [waited EXCEPT ![e] = 0]
    /\ UNCHANGED <<floor, lent, alive, giving, work>>

Lapse(e) ==
    /\ phase[e] = "held"
    /\ session[e] = 0
    /\ phase' = [phase EXCEPT ![e] = "lapsed"]
    /\ waited' = [waited EXCEPT ![e] = 0]
    /\ UNCHANGED <<floor, lent, alive, mine, until, session, giving, work>>

Crash(e) ==
    /\ alive[e]
    /\ alive' = [alive EXCEPT ![e] = FALSE]
    /\ mine' = [mine EXCEPT ![e] = 0]
    /\ until' = [until EXCEPT ![e] = 0]
    /\ UNCHANGED <<floor, lent, phase, waited, session, giving, work>>

Orphan(e) ==
    /\ phase[e] \in {"held", "lapsed"}
    /\ ~alive[e] \/ (~WaitsForGone /\ session[e] = 0)
    /\ phase' = [phase EXCEPT ![e] = "orphaned"]
    /\ waited' = [waited EXCEPT ![e] = 0]
    /\ UNCHANGED <<floor, lent, alive, mine, until, session, giving, work>>

MayReclaim(e) == waited[e] >= RunBound \/ ~ReclaimWaits

ReclaimLent(e) ==
    /\ phase[e] = "lapsed"
    /\ lent[e] > 0
    /\ MayReclaim(e)
    /\ lent' = [lent EXCEPT ![e] = 0]
    /\ UNCHANGED <<floor, phase, waited, alive, mine, until, session, giving, work>>

ReclaimRow(e) ==
    /\ phase[e] = "orphaned"
    /\ MayReclaim(e)
    /\ floor' = [floor EXCEPT ![e] = 0]
    /\ lent' = [lent EXCEPT ![e] = 0]
    /\ phase' = [phase EXCEPT ![e] = "gone"]
    /\ waited' = [waited EXCEPT ![e] = 0]
    /\ UNCHANGED <<alive, mine, until, session, giving, work>>

Next ==
    \/ Tick
    \/ \E e \in Entries :
        \/ Admit(e) \/ TakeFloor(e) \/ TakeLent(e)
        \/ SendGiveBack(e) \/ LandGiveBack(e) \/ DropGiveBack(e) \/ ForgetGiveBack(e)
        \/ Renew(e) \/ Reopen(e) \/ Lapse(e) \/ Crash(e) \/ Orphan(e)
        \/ ReclaimLent(e) \/ ReclaimRow(e)

InvUpperLimit == Run(1) + Run(2) <= Limit
InvPortion == Held <= Limit
====
