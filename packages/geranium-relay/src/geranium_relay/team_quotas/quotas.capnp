@0xb1f04c7d92ae5638;

# A datagram between a host and its quota broker, of at most 1,200 bytes.
# Hosts and teams are named by hashes.

struct Message {
  sender @0 :UInt64;
  incarnation @1 :UInt64;
  union {
    delegation @2 :Delegation;
    heard @3 :Heard;
    ask @4 :Ask;
    answer @5 :Answer;
  }
}

struct Delegation {
  share @0 :Float64;
  brokerIncarnation @1 :UInt64;
  brokerTimeS @2 :Float64;
}

struct Heard {
  timeS @0 :Float64;
}

struct Ask {
  number @0 :UInt64;
  team @1 :UInt64;
  costs @2 :List(UInt64);
  reserve @3 :Float64;
}

struct Answer {
  number @0 :UInt64;
  granted @1 :Float64;
  fill @2 :Float64;
  retryFromS @3 :Float64;
  retryUntilS @4 :Float64;
}
