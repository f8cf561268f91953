# Messages between entry hosts. Fields are only ever added, with a new
# number, so that two versions understand each other in a rolling upgrade.
@0xd3b0f1c5a7e94a21;

struct Envelope {
  union {
    unknown @0 :Void;
    hello @1 :Hello;
    probe @2 :Probe;
    probeAck @3 :ProbeAck;
    prepare @4 :Prepare;
    prepareAck @5 :PrepareAck;
    commit @6 :Commit;
    abort @7 :Abort;
    stateRequest @8 :StateRequest;
    stateReply @9 :StateReply;
    ask @10 :Ask;
    loan @11 :Loan;
    renew @12 :Renew;
    renewAck @13 :RenewAck;
    return @14 :Return;
    claim @15 :Claim;
    claimAck @16 :ClaimAck;
    claimDone @17 :ClaimDone;
    answerRequest @18 :AnswerRequest;
    answerReply @19 :AnswerReply;
  }
}

struct Hello {
  host @0 :Text;
  incarnation @1 :Text;
  zone @2 :Text;
  protocol @3 :UInt16;
  address @4 :Text;
  port @5 :UInt16;
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
  silent @4 :List(Text);
}

struct Prepare {
  version @0 :UInt64;
  token @1 :Text;
  restrictions @2 :Data;  # compressed JSON
  maker @3 :Text;
}

struct PrepareAck {
  token @0 :Text;
  ok @1 :Bool;
}

struct Commit {
  state @0 :Data;  # compressed JSON
  rowVersion @1 :UInt64;
  baseVersion @2 :UInt64;
  difference @3 :Data;  # compressed JSON
}

struct Abort {
  token @0 :Text;
}

struct StateRequest {
  version @0 :UInt64;
}

struct StateReply {
  state @0 :Data;  # compressed JSON
  rowVersion @1 :UInt64;
  differences @2 :List(Commit);
}

struct Usage {
  pool @0 :Text;
  team @1 :Text;
  slotSeconds @2 :Float64;
  running @3 :UInt32;
  waiting @4 :UInt32;
}

struct Ask {
  askId @0 :UInt64;
  kind @1 :Text;  # "team" or "pool"; "usage" only reports usage
  name @2 :Text;
  count @3 :UInt32;
  rank @4 :Float64;
  waitedMs @5 :UInt32;
  usage @6 :List(Usage);
}

struct Loan {
  loanId @0 :UInt64;
  askId @1 :UInt64;
  limitKey @2 :Text;
  count @3 :UInt32;
  maxRunMs @4 :UInt32;
  version @5 :UInt64;
  limit @6 :UInt32;
}

struct Renew {
  seq @0 :UInt64;
  loanIds @1 :List(UInt64);
}

struct RenewAck {
  seq @0 :UInt64;
  loanIds @1 :List(UInt64);
}

struct Return {
  loanId @0 :UInt64;
  count @1 :UInt32;
}

struct Claim {
  seq @0 :UInt64;
  team @1 :Text;
  requestId @2 :Text;
  digest @3 :Text;
  runMs @4 :UInt32;
}

struct ClaimAck {
  seq @0 :UInt64;
  outcome @1 :Text;
  host @2 :Text;
  status @3 :UInt16;
}

struct ClaimDone {
  team @0 :Text;
  requestId @1 :Text;
  verdict @2 :Text;
  status @3 :UInt16;
  seq @4 :UInt64;
}

struct AnswerRequest {
  seq @0 :UInt64;
  team @1 :Text;
  requestId @2 :Text;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct AnswerReply {
  seq @0 :UInt64;
  found @1 :Bool;
  status @2 :UInt16;
  headers @3 :List(Header);
  body @4 :Data;
  outcome @5 :Text;
}
