---- MODULE Fleet ----
\* The VMs of two pools in one data centre: permits, reboots that arrive late, and failures. Any number of holders of the
\* role change the document at any time, as if none was ever fenced; each change is one swap.
EXTENDS Integers, FiniteSets

CONSTANTS
    Budget,         \* how many VMs of a pool may be out of service
    CountsFailed,   \* VMs that failed on their own count against the budget
    WaitsForBoot,   \* a VM whose reboot was ordered serves only after it has started once more
    SwapsRecord     \* a VM changes its pool by one change of its record

VARIABLES
    state,      \* as stored: serving, draining, rebooting, failed, joining
    pool,       \* as stored: the pools in which a VM has a record
    permit,     \* as stored: whether a VM is out of service by permit
    ordered,    \* as stored: whether its reboot was ordered
    up,         \* whether the VM runs
    boots,      \* how often it has started since its record was last in service, 0 or 1
    sent,       \* reboots on their way to the VM
    excess      \* whether a permit was ever given above the budget

vars == <<state, pool, permit, ordered, up, boots, sent, excess>>

Vms == 1..3
Pools == {"a", "b"}

Init ==
    /\ state = [v \in Vms |-> "serving"]
    /\ pool = [v \in Vms |-> {"a"}]
    /\ permit = [v \in Vms |-> FALSE]
    /\ ordered = [v \in Vms |-> FALSE]
    /\ up = [v \in Vms |-> TRUE]
    /\ boots = [v \in Vms |-> 0]
    /\ sent = [v \in Vms |-> FALSE]
    /\ excess = FALSE

Out(p) == {v \in Vms : p \in pool[v] /\ state[v] \in {"draining", "rebooting", "failed"}}
Counted(p) == IF CountsFailed THEN Out(p) ELSE {v \in Out(p) : permit[v]}

Drain(v) ==
    /\ state[v] = "serving"
    /\ \A p \in pool[v] : Cardinality(Counted(p)) < Budget
    /\ excess' = (excess \/ \E p \in pool[v] : Cardinality(Out(p)) >= Budget)
    /\ state' = [state EXCEPT ![v] = "draining"]
    /\ permit' = [permit EXCEPT ![v] = TRUE]
    /\ UNCHANGED <<pool, ordered, up, boots, sent>>

Cancel(v) ==
    /\ state[v] = "draining"
    /\ state' = [state EXCEPT ![v] = "serving"]
    /\ permit' = [permit EXCEPT ![v] = FALSE]
    /\ UNCHANGED <<pool, ordered, up, boots, sent, excess>>

\* The order is stored before the reboot is sent, and the reboot may arrive at any later time.
Reboot(v) ==
    /\ state[v] = "draining"
    /\ state' = [state EXCEPT ![v] = "rebooting"]
    /\ ordered' = [ordered EXCEPT ![v] = TRUE]
    /\ boots' = [boots EXCEPT ![v] = 0]
    /\ sent' = [sent EXCEPT ![v] = TRUE]
    /\ UNCHANGED <<pool, permit, up, excess>>

Arrive(v) ==
    /\ sent[v]
    /\ sent' = [sent EXCEPT ![v] = FALSE]
    /\ up' = [up EXCEPT ![v] = FALSE]
    /\ UNCHANGED <<state, pool, permit, ordered, boots, excess>>

Boot(v) ==
    /\ ~up[v]
    /\ up' = [up EXCEPT ![v] = TRUE]
    /\ boots' = [boots EXCEPT ![v] = 1]
    /\ UNCHANGED <<state, pool, permit, ordered, sent, excess>>

\* The VM is thought to have failed, rightly or not.
Fail(v) ==
    /\ state[v] # "failed"
    /\ state' = [state EXCEPT ![v] = "failed"]
    /\ UNCHANGED <<pool, permit, ordered, up, boots, sent, excess>>

Serve(v) ==
    /\ state[v] \in {"rebooting", "failed", "joining"}
    /\ up[v]
    /\ ordered[v] /\ WaitsForBoot => boots[v] = 1
    /\ state' = [state EXCEPT ![v] = "serving"]
    /\ permit' = [permit EXCEPT ![v] = FALSE]
    /\ ordered' = [ordered EXCEPT ![v] = FALSE]
    /\ boots' = [boots EXCEPT ![v] = 0]
    /\ UNCHANGED <<pool, up, sent, excess>>

Move(v) ==
    /\ state[v] = "draining"
    /\ pool[v] = {"a"}
    /\ pool' = [pool EXCEPT ![v] = IF SwapsRecord THEN {"b"} ELSE {"a", "b"}]
    /\ state' = [state EXCEPT ![v] = "joining"]
    /\ permit' = [permit EXCEPT ![v] = FALSE]
    /\ UNCHANGED <<ordered, up, boots, sent, excess>>

Next ==
    \/ \E v \in Vms : Drain(v) \/ Cancel(v) \/ Reboot(v) \/ Move(v)
    \/ \E v \in Vms : Arrive(v) \/ Boot(v) \/ Fail(v) \/ Serve(v)

InvOnePool == \A v \in Vms : Cardinality(pool[v]) = 1
InvBudget == ~excess
\* A VM goes down by our order only while its record says that it is out of service.
InvPermitted == \A v \in Vms : sent[v] => state[v] \in {"rebooting", "failed"}
====
