@0xd1b7c8a2f4e35961;
# The protocol between an entry and the owner of a pool of workers, and the heartbeats of all processes.
#
# A job is handed over whole, and its call is answered when the job has ended, or when it is stored if it is kept. A call that is given up, by a release
# or by the loss of its connection, cancels the job.

struct Step {
  count @0 :UInt32;
  cpuMillis @1 :UInt64;
  memoryMegabytes @2 :UInt64;
  accelerators @3 :UInt64;
  estimateMicros @4 :UInt64;
  after @5 :List(UInt32);
  requiredLabel @6 :Text;
  # Empty for none.
  dataRack @7 :Text;
  # Empty for none.
  mostPerWorker @8 :UInt32;
  # 0 for no limit.
  first @9 :UInt32;
}

struct Job {
  id @0 :UInt64;
  entry @1 :Text;
  # The process that asks. When it is not heard any more, its jobs are cancelled.
  text @2 :Text;
  steps @3 :List(Step);
  service @4 :Text;
  route @5 :Text;
  priority @6 :UInt32;
  attempts @7 :UInt32;
  stretch @8 :Float64;
  goalMicros @9 :UInt64;
  timeLeftMicros @10 :UInt64;
  waitedMicros @11 :UInt64;
  pool @12 :Text;
  firm @13 :Bool;
  kept @14 :Bool;
}

struct Outcome {
  union {
    completed @0 :Void;
    failed @1 :Void;
    refused @2 :Refusal;
    givenUp @3 :Void;
    accepted @4 :Void;
  }
}

struct Refusal {
  kind @0 :Text;
  retryAfterMicros @1 :UInt64;
  fits @2 :UInt32;
}

interface PoolPort {
  run @0 (job :Job) -> (outcome :Outcome);
  offer @1 (job :Job) -> (fits :UInt32);
  # How many of a job's tasks the pool could take in time now. The job has no text.
}

struct PoolNews {
  pool @0 :Text;
  fence @1 :UInt64;
  capacity @2 :UInt64;
  free @3 :UInt64;
  backlogMicros @4 :UInt64;
  held @5 :List(Text);
  # Workers that an owner still uses while it hands its pool over.
  yielding @6 :Bool;
}

struct Heartbeat {
  node @0 :Text;
  incarnation @1 :UInt64;
  leaving @2 :Bool;
  hears @3 :List(UInt32);
  # Digests of the names of the processes that are heard: names would be most of a heartbeat's bytes.
  pools @4 :List(PoolNews);
  dataCentre @5 :Text;
  cores @6 :Float64;
  linkBytes @7 :Float64;
  # What its link carries each way, in bytes a second.
  reading @8 :ListReading;
  # What it has read of the list of workers itself; left out by a process that has not lately.
}

struct ListReading {
  version @0 :UInt64;
  ageMicros @1 :UInt64;
  digest @2 :UInt64;
  # Of what lasts of all entries.
}
