@0xd3a94f1be6207c58;
# Messages between daemons. Ages are in milliseconds, -1 if there is none.

struct Hello {
  host @0 :Text;
  zone @1 :Text;
  incarnation @2 :Text;
  nonce @3 :Data;
  proof @4 :Data;
}

struct Withdrawal {
  operationId @0 :Text;
  baseVersion @1 :UInt64;
  keyDigests @2 :List(Text);
  ageMs @3 :Int64;
}

struct Status {
  host @0 :Text;
  version @1 :UInt64;
  storeAgeMs @2 :Int64;
  quorumAgeMs @3 :Int64;
  votes @4 :Bool;
  leaving @5 :Bool;
  withdrawals @6 :List(Withdrawal);
}

struct EngineDispatch {
  engine @0 :Text;
  requests @1 :UInt32;
  prefillTokens @2 :UInt32;
  kvPieces @3 :UInt32;
  reserved @4 :Bool;
}

# Costs are in prompt tokens.
struct Consumption {
  team @0 :Text;
  served @1 :Float64;
  backlog @2 :Float64;
  queued @3 :Float64;
}

struct ServiceConsumption {
  service @0 :Text;
  daemon @1 :Text;
  large @2 :List(Consumption);
  tail @3 :Consumption;
  tailTeams @4 :UInt32;
}

struct CrashNotice {
  fingerprint @0 :UInt64;
  crashId @1 :Text;
  ageMs @2 :Int64;
  cleared @3 :Bool;
}

# Forecast work, as the number of engines that it keeps busy.
struct ServiceDemand {
  service @0 :Text;
  prefill @1 :Float32;
  decode @2 :Float32;
}

struct News {
  dispatches @0 :List(EngineDispatch);
  consumption @1 :List(ServiceConsumption);
  crashes @2 :List(CrashNotice);
  demand @3 :List(ServiceDemand);
}

struct TeamUsage {
  team @0 :Text;
  promptTokens @1 :UInt64;
  generatedTokens @2 :UInt64;
  requests @3 :UInt64;
}

struct UsageBatch {
  origin @0 :Text;
  sequence @1 :UInt64;
  window @2 :UInt64;
  usage @3 :List(TeamUsage);
}

struct Frame {
  id @0 :UInt64;
  union {
    ping @1 :News;
    status @2 :Status;
    configurationWanted @3 :UInt64;
    configuration @4 :Data;
    announcement @5 :Withdrawal;
    acknowledgement @6 :Bool;
    usage @7 :List(UsageBatch);
    usageWanted @8 :UInt64;
    claim @9 :Data;
    claimAnswer @10 :Data;
  }
}
