@0xd1b7c8a2f4e35961;
# The protocol between an entry and the owner of a pool of workers, and the heartbeats of all processes.
#
# A job is sent as a whole, or in parts if it is divided among pools. The call is answered when the job has ended or, if
# the job is kept, when it is stored. A call that the caller drops, or whose connection is lost, cancels the job. So does
# the end of its lease: a call or a renewal confirms, as of its time of sending, all calls that are open on its
# connection, and the owner ends those that are not confirmed for the length of the lease.

struct Step {
  # A step of a job: tasks with the same demand.
  count @0 :UInt32;
  # The number of tasks.
  cpuMillis @1 :UInt64;
  # The demand of each task, in thousandths of a core.
  memoryMegabytes @2 :UInt64;
  accelerators @3 :UInt64;
  estimateMicros @4 :UInt64;
  # A rough estimate of a task's run time on a worker of mean speed.
  after @5 :List(UInt32);
  # The indices of the earlier steps whose tasks must all be done before this step begins.
  requiredLabel @6 :Text;
  # A label that the worker must have. Empty for none.
  dataRack @7 :Text;
  # The rack of the data. Empty for none.
  mostPerWorker @8 :UInt32;
  # The most tasks of this step on one worker. 0 for no limit.
  first @9 :UInt32;
  # The index of the first task: more than 0 in a part of a job that is divided among pools.
}

struct Job {
  id @0 :UInt64;
  entry @1 :Text;
  # The process that sends the job.
  text @2 :Text;
  # The text that each task's worker gets.
  steps @3 :List(Step);
  service @4 :Text;
  route @5 :Text;
  priority @6 :UInt32;
  # 0 comes first.
  attempts @7 :UInt32;
  # The number of failed runs of one task after which the job has failed.
  stretch @8 :Float64;
  goalMicros @9 :UInt64;
  # The latency objective is the critical path times `stretch`, plus `goalMicros`.
  timeLeftMicros @10 :UInt64;
  # The time that the customer still waits.
  waitedMicros @11 :UInt64;
  # The age of the customer's request.
  pool @12 :Text;
  firm @13 :Bool;
  # Whether this is a part of a job that is divided among pools. It is not refused because of its predicted end.
  kept @14 :Bool;
  # Whether the job is stored when it is accepted, and answered before its end.
  sentAtMicros @15 :UInt64;
  # The receiver's time since boot when the call was sent, or less: what the sender knows from the receiver's heartbeats.
  originDataCentre @16 :Text;
  # The data centre of the process that sends the job. Empty from older processes, and then the receiver's own.
  retryInMicros @17 :UInt64;
  # The time before which the customer does not submit the job again. 0 from older processes.
  attemptId @18 :UInt64;
  # The attempt at the job, which its parts share. 0 from older processes.
}

struct Outcome {
  union {
    completed @0 :Void;
    failed @1 :Void;
    refused @2 :Refusal;
    # No task of the job has run or will run.
    givenUp @3 :Void;
    # Some tasks may have run.
    accepted @4 :Void;
    # The job is stored and will run.
  }
}

struct Refusal {
  kind @0 :Text;
  retryAfterMicros @1 :UInt64;
  fits @2 :UInt32;
  # The number of tasks that would have ended in time.
}

enum Presence {
  # Whether pools may have runs of a job.
  unknown @0;
  absent @1;
  present @2;
}

interface PoolPort {
  run @0 (job :Job) -> (outcome :Outcome);
  # Runs a job to its end.
  offer @1 (job :Job) -> (fits :UInt32);
  # Returns how many of a job's tasks the pool could currently run in time. Reserves nothing. The job has no text.
  renew @2 (sentAtMicros :UInt64) -> (clockMicros :UInt64);
  # Confirms all calls of `run` that are open on this connection. Both times are of the receiver's clock since boot: the
  # time of sending, as in a job, and the present time.
  presence @3 (job :UInt64, pool :Text, attemptId :UInt64) -> (presence :Presence);
  # Returns whether any pool of the receiver may have runs of another attempt at a job. Unknown if the receiver does not
  # own the given pool. An `attemptId` of 0, as older processes send, is no attempt's, so that all attempts count.
}

struct PoolNews {
  # What an owner publishes about a pool.
  pool @0 :Text;
  fence @1 :UInt64;
  # The owner's fencing token.
  capacity @2 :UInt64;
  # The processor capacity of the usable workers, in thousandths of a core.
  free @3 :UInt64;
  # The free part of `capacity`, in thousandths of a core.
  backlogMicros @4 :UInt64;
  # The time that the waiting work takes on all usable workers.
  held @5 :List(Text);
  # The workers that the owner still uses while it hands the pool over.
  yielding @6 :Bool;
  # Whether the owner hands the pool over.
  startProfile @7 :Data;
  # How many tasks could start how soon, in the encoding of the crate `pool`. Empty if the owner has no data yet.
}

struct Heartbeat {
  node @0 :Text;
  incarnation @1 :UInt64;
  leaving @2 :Bool;
  # Whether the sender is about to stop.
  hears @3 :List(UInt32);
  # The pool owners whose heartbeats the sender receives, as digests of their names: the names themselves would make up
  # most of a heartbeat's bytes.
  pools @4 :List(PoolNews);
  dataCentre @5 :Text;
  cores @6 :Float64;
  # The sender's processor share.
  linkBytes @7 :Float64;
  # The rate of the sender's network link in each direction, in bytes per second.
  reading @8 :ListReading;
  # The sender's own last reading of the list of workers; left out if it has no recent one.
  clockMicros @9 :UInt64;
  # The sender's time since boot, including time in which it was suspended. Calls to the sender state this time.
}

struct ListReading {
  version @0 :UInt64;
  # The version of the store up to which the list was read.
  ageMicros @1 :UInt64;
  # The time since that reading.
  digest @2 :UInt64;
  # A digest of the lasting part of all entries of the list, without the workers' liveness updates.
}
