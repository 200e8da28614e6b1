@0xc0f3a1d27be49615;
# The protocol between entries and dispatchers.
#
# An entry opens a session to a dispatcher and hands over its own port. On one session calls arrive in order, so a
# withdrawal is seen after the offer that it withdraws. A new session of the same entry ends the older one: what
# is still in its socket is then turned away.

struct Attempt {
  incarnation @0 :UInt64;
  serial @1 :UInt64;
  task @2 :UInt32;
  attempt @3 :UInt32;
}

struct Offer {
  attempt @0 :Attempt;
  customer @1 :Text;
  kind @2 :Text;
  share @3 :UInt32;
  timeLeftMicros @4 :UInt64;
  expectedMicros @5 :UInt64;
  payload @6 :Data;
  jobTasksLeft @7 :UInt32;
}

struct Slots {
  # What an entry needs to know to place its next task.
  limit @0 :UInt32;
  running @1 :UInt32;
  queued @2 :UInt32;
}

struct Verdict {
  union {
    started @0 :Void;
    queued @1 :Void;
    notRun @2 :Text;
  }
}

struct AttemptEnd {
  attempt @0 :Attempt;
  union {
    done @1 :Data;
    failed @2 :Void;
    notRun @3 :Text;
    unknown @4 :Text;
  }
  ranMicros @5 :UInt64;
}

struct Withdrawal {
  union {
    notRun @0 :Void;
    # The attempt was not started and never will be.
    running @1 :Void;
    # It runs or ran; its end is on the way on this session.
  }
}

struct ClaimAnswer {
  union {
    body @0 :Data;
    gone @1 :Void;
  }
}

interface EntryPort {
  claim @0 (attempt :Attempt) -> (answer :ClaimAnswer);
  # A slot is free for a queued attempt. A body may be sent once only.
  ended @1 (ends :List(AttemptEnd), slots :Slots) -> ();
  slots @2 (slots :Slots) -> ();
  # Sent when the picture changed much since the last message.
  outcome @3 (serial :UInt64) -> (found :Bool, status :UInt16, json :Data);
  # The caller-facing answer of a submission of this entry as it stands.
  run @4 (serial :UInt64, json :Data) -> (status :UInt16, json :Data);
  # Runs a request under a ticket or key whose authority this entry is, or gives the answer that it has.
}

interface DispatcherPort {
  open @0 (entry :EntryPort, incarnation :UInt64, session :UInt64) -> (session :SessionPort, dispatcher :UInt64, slots :Slots);
  find @1 (incarnation :UInt64) -> (entry :EntryPort, found :Bool);
  # Finds the entry of another VM, so that entries need no connections to each other.
  beat @2 (view :MemberView) -> (view :MemberView);
  # The heartbeat among dispatchers; the answer counts as one the other way.
  contracts @3 (since :UInt64) -> (loaded :Bool, head :UInt64, rows :List(ContractRow));
  # `loaded` is false while the sender holds no complete set that is as new as its peers'.
  grant @4 (batch :AskBatch) -> (answered :Bool, batch :ReplyBatch);
  # Leases parts of customers' concurrency in this data centre, from the customers' home dispatcher.
  ping @5 (revision :UInt64) -> (view :MemberView, slots :Slots, centre :CentreView);
  # What an entry asks to know that the dispatcher is alive. `centre` is there when the entry's revision is another
  # than the dispatcher's.
  handover @6 (report :HandoverReport) -> ();
  # What a leaving owner of endpoints still has running there.
  vms @7 () -> (json :Data);
  # The platform's VM list as this dispatcher last read it, as JSON; empty when it never did.
}

struct MemberView {
  address @0 :Text;
  dataCentre @1 :Text;
  incarnation @2 :UInt64;
  stopping @3 :Bool;
  head @4 :UInt64;
  # The newest contract head that the sender holds.
}

struct CentreView {
  # A data centre as one of its dispatchers sees it.
  revision @0 :UInt64;
  # Never 0; goes up with each change in the life of the dispatcher.
  owners @1 :List(Text);
  listed @2 :List(Text);
  slots @3 :List(CentreSlots);
}

struct CentreSlots {
  dataCentre @0 :Text;
  slots @1 :UInt32;
}

struct AskBatch {
  home @0 :Text;
  holder @1 :UInt64;
  holderAddress @2 :Text;
  serial @3 :UInt64;
  asks @4 :List(GrantAsk);
}

struct GrantAsk {
  customer @0 :Text;
  want @1 :UInt32;
  held @2 :UInt32;
  inUse @3 :UInt32;
}

struct ReplyBatch {
  serial @0 :UInt64;
  termMicros @1 :UInt64;
  replies @2 :List(GrantReply);
}

struct GrantReply {
  customer @0 :Text;
  union {
    granted :group {
      count @1 :UInt32;
      share @2 :UInt32;
    }
    notHome @3 :Void;
  }
}

struct HandoverReport {
  from @0 :Text;
  incarnation @1 :UInt64;
  serial @2 :UInt64;
  counts @3 :List(HandoverCount);
}

struct HandoverCount {
  endpoint @0 :Text;
  timeLeftMicros @1 :List(UInt64);
}

struct ContractRow {
  customer @0 :Text;
  version @1 :UInt64;
  head @2 :UInt64;
  json @3 :Data;
}

interface SessionPort {
  offer @0 (batch :UInt64, offers :List(Offer)) -> (verdicts :List(Verdict), slots :Slots);
  # Batches of one session are numbered from 1.
  withdraw @1 (afterBatch :UInt64, attempts :List(Attempt)) -> (withdrawals :List(Withdrawal), slots :Slots);
  # `afterBatch` is the last batch sent before. A dispatcher that has not seen it confirms nothing.
}
