---- MODULE Catalogue ----
\* Operators' edits of the catalogue's head, whose answers can be lost, and the revision that each process works by.
EXTENDS Integers, FiniteSets

CONSTANTS
    ReadsBack,  \* after a lost answer the writer reads the value before it tries again
    OnlyRises   \* a process takes a revision only if it is higher than its own

VARIABLES
    revision,   \* the head's revision
    recent,     \* the edits that the head remembers
    applied,    \* how often each edit was applied
    seen,       \* the revision that each operator's tool read last, or -1
    told,       \* what each operator was told: nothing, unknown, or done
    works,      \* the revision that each process works by; 0 before it has one
    highest,    \* the highest revision that each process ever worked by
    mail        \* revisions on their way between processes

vars == <<revision, recent, applied, seen, told, works, highest, mail>>

Operators == 1..2
Processes == 1..2
Max == 3

Init ==
    /\ revision = 0
    /\ recent = {}
    /\ applied = [o \in Operators |-> 0]
    /\ seen = [o \in Operators |-> -1]
    /\ told = [o \in Operators |-> "nothing"]
    /\ works = [p \in Processes |-> 0]
    /\ highest = [p \in Processes |-> 0]
    /\ mail = {}

Read(o) ==
    /\ told[o] # "done"
    /\ seen' = [seen EXCEPT ![o] = revision]
    /\ told' = [told EXCEPT ![o] = IF o \in recent /\ ReadsBack THEN "done" ELSE told[o]]
    /\ UNCHANGED <<revision, recent, applied, works, highest, mail>>

\* The swap takes effect; its answer may be lost.
Swap(o) ==
    /\ told[o] # "done"
    /\ seen[o] = revision
    /\ o \notin recent \/ ~ReadsBack
    /\ revision < Max
    /\ revision' = revision + 1
    /\ recent' = recent \union {o}
    /\ applied' = [applied EXCEPT ![o] = @ + 1]
    /\ seen' = [seen EXCEPT ![o] = -1]
    /\ told' \in {[told EXCEPT ![o] = "done"], [told EXCEPT ![o] = "unknown"]}
    /\ UNCHANGED <<works, highest, mail>>

Highest(p, r) == highest' = [highest EXCEPT ![p] = IF r > @ THEN r ELSE @]

Fetch(p) ==
    /\ revision > works[p]
    /\ works' = [works EXCEPT ![p] = revision]
    /\ Highest(p, revision)
    /\ UNCHANGED <<revision, recent, applied, seen, told, mail>>

Send(p) ==
    /\ works[p] > 0
    /\ mail' = mail \union {works[p]}
    /\ UNCHANGED <<revision, recent, applied, seen, told, works, highest>>

\* A message can come late, and more than once.
Receive(p) ==
    /\ \E r \in mail :
        /\ r > works[p] \/ ~OnlyRises
        /\ works' = [works EXCEPT ![p] = r]
        /\ Highest(p, r)
    /\ UNCHANGED <<revision, recent, applied, seen, told, mail>>

\* A new process on the same VM knows nothing and is not ready.
Restart(p) ==
    /\ works' = [works EXCEPT ![p] = 0]
    /\ highest' = [highest EXCEPT ![p] = 0]
    /\ UNCHANGED <<revision, recent, applied, seen, told, mail>>

Next ==
    \/ \E o \in Operators : Read(o) \/ Swap(o)
    \/ \E p \in Processes : Fetch(p) \/ Send(p) \/ Receive(p) \/ Restart(p)

InvOnce == \A o \in Operators : applied[o] <= 1
InvMonotone == \A p \in Processes : works[p] = highest[p]
InvTrue == \A o \in Operators : told[o] = "done" => applied[o] >= 1
InvAhead == \A p \in Processes : works[p] <= revision
====
