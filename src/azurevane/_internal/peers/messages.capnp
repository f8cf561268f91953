# Messages between entry hosts. Fields are only ever added, with a new
# number, so that two versions understand each other in a rolling upgrade.
@0xd3b0f1c5a7e94a21;

struct Envelope {
  union {
    unknown @0 :Void;
    hello @1 :Hello;
    probe @2 :Probe;
    probeAck @3 :ProbeAck;
  }
}

struct Hello {
  host @0 :Text;
  incarnation @1 :Text;
  zone @2 :Text;
  protocol @3 :UInt16;
}

struct Probe {
  seq @0 :UInt64;
  version @1 :UInt64;
  prepared @2 :List(Text);
}

struct ProbeAck {
  seq @0 :UInt64;
  version @1 :UInt64;
  prepared @2 :List(Text);
  storeSeen @3 :Bool;
}
