---- MODULE Transfer ----
\* Moves of one team's slots between two data centres, by two holders of the role of whom one may be paused. Each holder
\* has one next step in mind, from what it read some time ago; a step changes one document by one swap.
EXTENDS Integers

CONSTANTS
    Limit,          \* the upper limit
    Moves,          \* how many moves of each data centre and direction are explored
    NumbersMoves,   \* a data centre's document refuses a move that is not the next one
    LowersFirst,    \* a release leaves the data centre's document before it is counted as free
    CountsFirst     \* an issue is counted before it is added to the data centre's document

VARIABLES
    portion,                    \* what each data centre's document holds
    lowered, lowerSeq,          \* its last release: how much left it, and its number
    raiseSeq,                   \* the number of its last issue
    counted, free,              \* the fleet's document: what each data centre has, and what none has
    release, releaseSeq,        \* the open release of each data centre, and the number of the last one
    issue, issueSeq,            \* the open issue of each data centre, and the number of the last one
    mind                        \* the step that each holder has in mind

vars == <<portion, lowered, lowerSeq, raiseSeq, counted, free, release, releaseSeq, issue, issueSeq, mind>>

Dcs == 1..2
Holders == 1..2
Nothing == [step |-> "none", dc |-> 1, seq |-> 0, slots |-> 0]

Init ==
    /\ portion = [d \in Dcs |-> IF d = 1 THEN Limit ELSE 0]
    /\ lowered = [d \in Dcs |-> 0]
    /\ lowerSeq = [d \in Dcs |-> 0]
    /\ raiseSeq = [d \in Dcs |-> 0]
    /\ counted = [d \in Dcs |-> IF d = 1 THEN Limit ELSE 0]
    /\ free = 0
    /\ release = [d \in Dcs |-> 0]
    /\ releaseSeq = [d \in Dcs |-> 0]
    /\ issue = [d \in Dcs |-> 0]
    /\ issueSeq = [d \in Dcs |-> 0]
    /\ mind = [h \in Holders |-> Nothing]

FleetDoc == <<counted, free, release, releaseSeq, issue, issueSeq>>
DcDocs == <<portion, lowered, lowerSeq, raiseSeq>>

Think(h, step, d, seq, slots) ==
    /\ mind[h].step = "none"
    /\ mind' = [mind EXCEPT ![h] = [step |-> step, dc |-> d, seq |-> seq, slots |-> slots]]
    /\ UNCHANGED <<FleetDoc, DcDocs>>

\* A holder reads the documents and finds a step that is due.
Read(h, d) ==
    \/ release[d] > 0 /\ lowerSeq[d] < releaseSeq[d] /\ Think(h, "lower", d, releaseSeq[d], release[d])
    \/ release[d] > 0 /\ lowerSeq[d] = releaseSeq[d] /\ Think(h, "end", d, lowerSeq[d], lowered[d])
    \/ issue[d] > 0 /\ raiseSeq[d] < issueSeq[d] /\ Think(h, "raise", d, issueSeq[d], issue[d])

Forget(h) == mind' = [mind EXCEPT ![h] = Nothing]

BeginRelease(d, n) ==
    /\ release[d] = 0
    /\ releaseSeq[d] < Moves
    /\ counted[d] >= n
    /\ release' = [release EXCEPT ![d] = n]
    /\ releaseSeq' = [releaseSeq EXCEPT ![d] = @ + 1]
    /\ IF LowersFirst
       THEN UNCHANGED <<counted, free>>
       ELSE /\ counted' = [counted EXCEPT ![d] = @ - n]
            /\ free' = free + n
    /\ UNCHANGED <<issue, issueSeq, DcDocs, mind>>

\* As much of the release as no row holds, any part of it, leaves the data centre's document.
Lower(h) ==
    LET move == mind[h]
        d == move.dc
    IN  /\ move.step = "lower"
        /\ Forget(h)
        /\ IF move.seq = lowerSeq[d] + 1
           THEN /\ \E n \in 0..move.slots :
                    /\ n <= portion[d]
                    /\ lowered' = [lowered EXCEPT ![d] = n]
                    /\ portion' = [portion EXCEPT ![d] = @ - n]
                /\ lowerSeq' = [lowerSeq EXCEPT ![d] = @ + 1]
           ELSE UNCHANGED <<lowered, portion, lowerSeq>>
        /\ UNCHANGED <<raiseSeq, FleetDoc>>

EndRelease(h) ==
    LET move == mind[h]
        d == move.dc
    IN  /\ move.step = "end"
        /\ Forget(h)
        /\ IF release[d] > 0 /\ move.seq = releaseSeq[d]
           THEN /\ release' = [release EXCEPT ![d] = 0]
                /\ IF LowersFirst
                   THEN /\ counted' = [counted EXCEPT ![d] = @ - move.slots]
                        /\ free' = free + move.slots
                   ELSE UNCHANGED <<counted, free>>
           ELSE UNCHANGED <<release, counted, free>>
        /\ UNCHANGED <<releaseSeq, issue, issueSeq, DcDocs>>

BeginIssue(d, n) ==
    /\ issue[d] = 0
    /\ issueSeq[d] < Moves
    /\ free >= n
    /\ issue' = [issue EXCEPT ![d] = n]
    /\ issueSeq' = [issueSeq EXCEPT ![d] = @ + 1]
    /\ IF CountsFirst
       THEN /\ free' = free - n
            /\ counted' = [counted EXCEPT ![d] = @ + n]
       ELSE UNCHANGED <<counted, free>>
    /\ UNCHANGED <<release, releaseSeq, DcDocs, mind>>

Raise(h) ==
    LET move == mind[h]
        d == move.dc
    IN  /\ move.step = "raise"
        /\ Forget(h)
        /\ IF move.seq = raiseSeq[d] + 1 \/ ~NumbersMoves
           THEN /\ portion' = [portion EXCEPT ![d] = @ + move.slots]
                /\ raiseSeq' = [raiseSeq EXCEPT ![d] = move.seq]
           ELSE UNCHANGED <<portion, raiseSeq>>
        /\ UNCHANGED <<lowered, lowerSeq, FleetDoc>>

EndIssue(d) ==
    /\ issue[d] > 0
    /\ raiseSeq[d] = issueSeq[d]
    /\ issue' = [issue EXCEPT ![d] = 0]
    /\ IF CountsFirst
       THEN UNCHANGED <<counted, free>>
       ELSE /\ free' = IF free >= issue[d] THEN free - issue[d] ELSE 0
            /\ counted' = [counted EXCEPT ![d] = @ + issue[d]]
    /\ UNCHANGED <<release, releaseSeq, issueSeq, DcDocs, mind>>

Next ==
    \/ \E d \in Dcs, n \in 1..Limit : BeginRelease(d, n) \/ BeginIssue(d, n)
    \/ \E d \in Dcs : EndIssue(d)
    \/ \E h \in Holders : Lower(h) \/ EndRelease(h) \/ Raise(h)
    \/ \E h \in Holders, d \in Dcs : Read(h, d)

InvUpperLimit == portion[1] + portion[2] <= Limit
InvCounted == \A d \in Dcs : portion[d] <= counted[d]
InvSum == counted[1] + counted[2] + free = Limit
====
