@0xc0f3a1d27be49615;
# The protocol between entries and dispatchers, and among dispatchers.
#
# An entry opens a session with a dispatcher and passes its own port, on which the dispatcher calls it. The calls of one
# session arrive in the order sent, so a withdrawal arrives after the offer that it withdraws. A new session of an entry
# ends its older sessions: offers on them that are still unread in a socket are rejected as not run.

struct Attempt {
  # The id of one attempt to run a task.
  incarnation @0 :UInt64;
  # The incarnation of the entry.
  serial @1 :UInt64;
  # The number of the submission at that entry.
  task @2 :UInt32;
  # The index of the task in the submission.
  attempt @3 :UInt32;
}

struct Offer {
  # A task that an entry offers to a dispatcher.
  attempt @0 :Attempt;
  customer @1 :Text;
  kind @2 :Text;
  share @3 :UInt32;
  # The customer's weight in fair queueing.
  timeLeftMicros @4 :UInt64;
  # The time left until the deadline when the offer is sent. The clocks of two processes cannot be compared.
  expectedMicros @5 :UInt64;
  # The run time that the entry expects.
  payload @6 :Data;
  # The bytes for the endpoint.
  jobTasksLeft @7 :UInt32;
  # Neither written nor read.
}

struct Slots {
  # A dispatcher's slot counts, summed over its endpoints. Entries choose the dispatcher of their next task by them.
  limit @0 :UInt32;
  running @1 :UInt32;
  queued @2 :UInt32;
}

struct Verdict {
  # A dispatcher's reply to one offer.
  union {
    started @0 :Void;
    queued @1 :Void;
    # The task waits for a slot. The dispatcher has dropped its body and claims it from the entry when a slot is free.
    notRun @2 :Text;
    # The task did not run; the text is the reason.
  }
}

struct AttemptEnd {
  # How an attempt ended.
  attempt @0 :Attempt;
  union {
    done @1 :Data;
    # The result.
    failed @2 :Void;
    notRun @3 :Text;
    # The task did not start; the text is the reason.
    unknown @4 :Text;
    # The task may have started; the text is the reason.
  }
  ranMicros @5 :UInt64;
  # How long the attempt ran.
}

struct Withdrawal {
  # A dispatcher's reply to the withdrawal of one attempt.
  union {
    notRun @0 :Void;
    # The attempt was not started and never will be.
    running @1 :Void;
    # The attempt runs, or its end is being reported on this session, or the dispatcher can confirm nothing.
  }
}

struct ClaimAnswer {
  # An entry's answer to a claim.
  union {
    body @0 :Data;
    gone @1 :Void;
    # The entry no longer has the attempt.
  }
}

interface EntryPort {
  # The calls that an entry answers.
  claim @0 (attempt :Attempt) -> (answer :ClaimAnswer);
  # Requests the body of a queued attempt for which a slot is free. A body may be sent only once.
  ended @1 (ends :List(AttemptEnd), slots :Slots) -> ();
  # Reports how attempts ended. The reply confirms that the entry has processed the report.
  slots @2 (slots :Slots) -> ();
  # Reports the dispatcher's slot counts. Sent when the slot limit has changed.
  outcome @3 (serial :UInt64) -> (found :Bool, status :UInt16, json :Data);
  # Returns the current answer to the caller of a submission of this entry: the HTTP status and the body.
  run @4 (serial :UInt64, json :Data) -> (status :UInt16, json :Data);
  # Runs a request under a ticket or key whose authority is this entry, or returns the answer that it already has.
}

interface DispatcherPort {
  # The calls that a dispatcher answers for entries and other dispatchers.
  open @0 (entry :EntryPort, incarnation :UInt64, session :UInt64) -> (session :SessionPort, dispatcher :UInt64, slots :Slots);
  # Opens a session. `incarnation` is that of the entry, and `dispatcher` that of the dispatcher.
  find @1 (incarnation :UInt64) -> (entry :EntryPort, found :Bool);
  # Finds an entry that has a session with this dispatcher, so that entries need no connections to each other.
  beat @2 (view :MemberView) -> (view :MemberView);
  # The heartbeat between dispatchers. The answer counts as a heartbeat in the other direction.
  contracts @3 (since :UInt64) -> (loaded :Bool, head :UInt64, rows :List(ContractRow));
  # Returns the contract rows changed after the head number `since`. `loaded` is false while the answering dispatcher
  # holds no complete set that is as new as its peers'; the rows must then be ignored.
  grant @4 (batch :AskBatch) -> (answered :Bool, batch :ReplyBatch);
  # Requests leases on parts of customers' concurrency in this data centre from the customers' home dispatcher.
  ping @5 (revision :UInt64) -> (view :MemberView, slots :Slots, centre :CentreView);
  # Checks that the dispatcher is alive. `revision` is that of the entry's view of the data centre; `centre` is set if
  # the dispatcher's view has another revision.
  handover @6 (report :HandoverReport) -> ();
  # Reports the tasks that a leaving owner of endpoints still runs on them.
  vms @7 () -> (json :Data);
  # Returns the platform's VM list as last read by this dispatcher, as a JSON array; empty if it has not read the list.
}

struct MemberView {
  # A dispatcher as it describes itself.
  address @0 :Text;
  dataCentre @1 :Text;
  incarnation @2 :UInt64;
  stopping @3 :Bool;
  # A stopping dispatcher owns no endpoints and takes no new tasks.
  head @4 :UInt64;
  # The newest contract head that the dispatcher holds.
}

struct CentreView {
  # A data centre as one of its dispatchers sees it.
  revision @0 :UInt64;
  # Never 0. Increases with each change during the life of the dispatcher.
  owners @1 :List(Text);
  # The addresses of the dispatchers that may own endpoints.
  listed @2 :List(Text);
  # The addresses of the system VMs that the VM list or the settings name.
  slots @3 :List(CentreSlots);
}

struct CentreSlots {
  # The slots of a data centre, by which a customer's concurrency is split over data centres.
  dataCentre @0 :Text;
  slots @1 :UInt32;
}

struct AskBatch {
  # An entry's requests for grants to one home dispatcher.
  home @0 :Text;
  # The address of the home dispatcher.
  holder @1 :UInt64;
  # The incarnation of the entry.
  holderAddress @2 :Text;
  # The address of the dispatcher on the entry's VM, which determines base shares.
  serial @3 :UInt64;
  # Increases with every batch of this holder.
  asks @4 :List(GrantAsk);
}

struct GrantAsk {
  # Counts of concurrent tasks of one customer at the entry.
  customer @0 :Text;
  want @1 :UInt32;
  # The number of tasks that the entry has use for.
  held @2 :UInt32;
  # The limit that the entry observes until a reply.
  inUse @3 :UInt32;
  # The number of tasks that run or may run.
}

struct ReplyBatch {
  serial @0 :UInt64;
  # The serial of the batch that is answered.
  termMicros @1 :UInt64;
  # The duration of the grants, counted by the entry from before it sent the batch.
  replies @2 :List(GrantReply);
}

struct GrantReply {
  customer @0 :Text;
  union {
    granted :group {
      count @1 :UInt32;
      # The number of tasks that the entry may run at once.
      share @2 :UInt32;
      # The customer's share in this data centre that the grant is based on.
    }
    notHome @3 :Void;
    # The dispatcher does not consider itself the home of this customer.
  }
}

struct HandoverReport {
  # The tasks that a leaving owner still runs on endpoints that pass to one new owner.
  from @0 :Text;
  incarnation @1 :UInt64;
  serial @2 :UInt64;
  # Increases with each report of that incarnation. Each report replaces the previous one.
  counts @3 :List(HandoverCount);
}

struct HandoverCount {
  endpoint @0 :Text;
  timeLeftMicros @1 :List(UInt64);
  # The time left until the deadline of each running task when the report is sent.
}

struct ContractRow {
  # A customer's contract.
  customer @0 :Text;
  version @1 :UInt64;
  head @2 :UInt64;
  # The sequence number, among the changes of all contracts, of the change that wrote this version.
  json @3 :Data;
}

interface SessionPort {
  # The calls that a dispatcher answers on a session with an entry.
  offer @0 (batch :UInt64, offers :List(Offer)) -> (verdicts :List(Verdict), slots :Slots);
  # Offers tasks with their bodies. The batches of one session are numbered from 1. There is one verdict for each offer,
  # in the same order.
  withdraw @1 (afterBatch :UInt64, attempts :List(Attempt)) -> (withdrawals :List(Withdrawal), slots :Slots);
  # Withdraws attempts. `afterBatch` is the number of the last batch of offers sent before. A dispatcher that has not
  # received every batch up to it does not confirm that an attempt unknown to it has not run.
}
