@0xd3b7c2a95e1f4086;

# A host sends one call on a connection. A request is answered by frames until
# the end, a question for a target, by its key, by one frame.
# Texts of HTTP are data: they need not be valid UTF-8. An empty text is none.

struct Call {
  union {
    request @0 :Request;
    question @1 :Text;
  }
}

struct Request {
  identity @0 :Data;
  method @1 :Data;
  path @2 :Data;
  headers @3 :List(Header);
  body @4 :Data;
  hostName @5 :Data;
  key @6 :Data;
  service @7 :Text;
  leftMs @8 :UInt32;
  dueInMs @9 :Int32;
  hasDue @10 :Bool;
  resumeAfter @11 :Data;
  beganAs @12 :Data;
  prompt @13 :Prompt;
  sends @14 :UInt16;
  runs @15 :UInt16;
  firstRecorded @16 :Bool;
  counted @17 :Bool;
  version @18 :Text;
  sender @19 :Text;
  hasPrompt @20 :Bool;
  prefilled @21 :Bool;
}

struct Header {
  name @0 :Data;
  value @1 :Data;
}

struct Prompt {
  tokens @0 :UInt32;
  maxGenerated @1 :UInt32;
  identities @2 :List(Text);
  partTokens @3 :List(UInt32);
}

struct Frame {
  union {
    head @0 :Head;
    data @1 :Data;
    end @2 :End;
    alive @3 :Void;
    reach @4 :Reach;
  }
}

enum Reach {
  unknown @0;
  reached @1;
  unreached @2;
}

struct Head {
  status @0 :UInt16;
  headers @1 :List(Header);
  signed @2 :Bool;
  version @3 :Text;
}

struct End {
  outcome @0 :Outcome;
  reason @1 :Text;
  retryAfterMs @2 :UInt32;
  elsewhere @3 :Bool;
  status @4 :UInt16;
  # What was done for an unfinished request; older builds leave it out.
  sends @5 :UInt16;
  firstRecorded @6 :Bool;
  prefilled @7 :Bool;
  runs @8 :UInt16;
  counted @9 :Bool;
}

enum Outcome {
  delivered @0;
  refused @1;
  failed @2;
  timedOut @3;
  cutOff @4;
}
