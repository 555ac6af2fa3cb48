@0xc9d3a1f4b6e27085;

struct PeerUpdate {
  host @0 :Text;
  zone @1 :Text;
  front @2 :Text;
  address @3 :Text;
  incarnation @4 :UInt64;
  ready @5 :Bool;
  leaving @6 :Bool;
  unixMs @7 :UInt64;
  loads @8 :List(Load);
  dispatches @9 :DispatchTable;
  crashes @10 :List(Crash);
  usage @11 :List(Usage);
  catalogueVersion @12 :UInt64;
  catalogueAgeMs @13 :UInt32;
  targetsDigest @14 :UInt64;
  targetsAgeMs @15 :UInt32;
  targets @16 :List(Target);
  departures @17 :List(UInt64);
  report @18 :ZoneReport;
  storeEra @19 :UInt64;
  sealedThrough @20 :UInt64;
  capacity @21 :UInt32;
  rateLimits @22 :RateLimitTable;
  origins @23 :OriginTable;
  unreached @24 :List(UInt64);
  rateObservations @25 :RateObservationTable;
}

# Tables are parallel lists, which are decoded faster than lists of structs.

struct ZoneReport {
  hosts @0 :List(UInt64);
  ageMs @1 :List(UInt32);
  flags @2 :List(UInt8);
  loadHosts @3 :List(UInt16);
  hostLoads @4 :LoadTable;
  sum @5 :LoadTable;
  newHosts @6 :List(Identity);
  unreachedHosts @7 :List(UInt16);
  unreachedServices @8 :List(UInt64);
}

struct LoadTable {
  targets @0 :List(UInt64);
  running @1 :List(UInt16);
  tokens @2 :List(UInt32);
}

struct Identity {
  host @0 :Text;
  zone @1 :Text;
  front @2 :Text;
  address @3 :Text;
  incarnation @4 :UInt64;
  capacity @5 :UInt32;
}

struct Target {
  identity @0 :Text;
  gone @1 :Bool;
  bornMs @2 :UInt64;
  service @3 :Text;
  address @4 :Text;
  zone @5 :Text;
  slots @6 :UInt32;
  leaving @7 :Bool;
  reclaimable @8 :Bool;
  stage @9 :Text;
  weightsVersion @10 :Int64;
  softwareVersion @11 :Text;
}

struct Usage {
  window @0 :UInt64;
  counts @1 :List(Count);
}

struct Count {
  team @0 :Text;
  requests @1 :UInt32;
}

struct Load {
  target @0 :UInt64;
  running @1 :UInt16;
  tokens @2 :List(UInt32);
}

struct DispatchTable {
  targets @0 :List(UInt64);
  partCounts @1 :List(UInt16);
  parts @2 :List(Text);
  tokens @3 :List(UInt32);
}

struct RateLimitTable {
  targets @0 :List(UInt64);
  perS @1 :List(UInt32);
  observedMs @2 :List(UInt64);
}

struct RateObservationTable {
  targets @0 :List(UInt64);
  tokensPerS @1 :List(UInt32);
  weights @2 :List(UInt8);
}

struct OriginTable {
  versions @0 :List(Text);
  streams @1 :List(UInt64);
  places @2 :List(UInt16);
}

struct Crash {
  fingerprint @0 :UInt64;
  crash @1 :Text;
  ageMs @2 :UInt32;
  cleared @3 :Bool;
}
