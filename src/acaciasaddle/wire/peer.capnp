@0xe7c1f08dd2f6a35b;
# Messages between entry hosts. Fields mirror the data classes of _messages.py and of the model. The
# codec derives the names used here from the Python names, except for fields whose metadata has a
# wire_name. The variants call and reply and the fields of Row and OnceRecord are named in the code
# of the codec. The names on both sides have to change together.

struct PeerMessage {
  union {
    hello :group {
      member @0 :Text;
      dataCentre @1 :Text;
      peerAddress @2 :Text;
    }
    heartbeat :group {
      clockUs @3 :Int64;
      configVersion @4 :Int64;
      revision @5 :Int64;
    }
    heartbeatAck :group {
      echoUs @6 :Int64;
      configVersion @7 :Int64;
      revision @8 :Int64;
      vouch @9 :Bool;
    }
    rows :group {
      rows @10 :List(Row);
      revision @11 :Int64;
    }
    openWork :group {
      stream @12 :UInt64;
      request @13 :WorkRequest;
    }
    workHead :group {
      stream @14 :UInt64;
      status @15 :UInt16;
      headers @16 :List(Text);
    }
    workData :group {
      stream @17 :UInt64;
      chunk @18 :Data;
    }
    workEnd :group {
      stream @19 :UInt64;
    }
    workCredit :group {
      stream @20 :UInt64;
      size @21 :UInt32;
    }
    workReset :group {
      stream @22 :UInt64;
      reason @23 :Text;
    }
    workRefused @24 :WorkRefused;
    call :group {
      callId @25 :UInt64;
      call @26 :Call;
    }
    reply :group {
      callId @27 :UInt64;
      reply @28 :Reply;
      more @32 :Bool;
    }
    part :group {
      last @29 :Bool;
      chunk @30 :Data;
    }
    leaving @31 :Void;
  }
}

struct Row {
  key @0 :Text;
  version @1 :Int64;
  revision @2 :Int64;
  value @3 :Data;  # JSON object in UTF-8
}

struct WorkRequest {
  requestId @0 :Text;
  service @1 :Text;
  unit @2 :Text;
  upstream @3 :Text;
  key @4 :Text;
  kind @5 :Text;
  rank @6 :Text;
  once @7 :Bool;
  bulky @8 :Bool;
  caller @9 :Text;
  idempotencyKey @10 :Text;
  method @11 :Text;
  target @12 :Text;
  headers @13 :List(Text);  # alternating names and values
  bodyLength @14 :Int64;
  budgetMs @15 :Int64;
  attempt @16 :UInt32;
}

struct WorkRefused {
  stream @0 :UInt64;
  notOwner @1 :Bool;
  outcome @2 :Text;
  status @3 :UInt16;
  reason @4 :Text;
  step @5 :Text;
  peer @6 :Text;
  retryAfterMs @7 :Int64;
}

struct OnceRecord {
  unit @0 :Text;
  caller @1 :Text;
  idempotencyKey @2 :Text;
  state @3 :Text;
  ageMs @4 :Int64;
  status @5 :UInt16;
  headers @6 :List(Text);
  hasBody @7 :Bool;
  body @8 :Data;
}

struct Call {
  union {
    rowsSince :group {
      revision @0 :Int64;
    }
    keepRows :group {
      rows @1 :List(Row);
    }
    keepRecords :group {
      upstream @2 :Text;
      term @3 :Int64;
      records @4 :List(OnceRecord);
      complete @5 :Bool;
      memorySinceMs @6 :Int64;
    }
    release :group {
      previous @7 :Text;
      upstream @8 :Text;
      units @9 :List(Text);
      epochs @10 :List(Int64);
      records @11 :List(OnceRecord);
      memorySinceMs @12 :Int64;
    }
    askRelease :group {
      previous @13 :Text;
      upstream @14 :Text;
      units @15 :List(Text);
    }
    handover :group {
      upstream @16 :Text;
      term @17 :Int64;
    }
    takenOver :group {
      upstreams @18 :List(Text);
      terms @19 :List(Int64);
    }
    askLoad :group {
      upstreams @20 :List(Text);
    }
  }
}

struct Reply {
  union {
    done @0 :Void;
    failed :group {
      reason @1 :Text;
      step @2 :Text;
    }
    rowsPart :group {
      rows @3 :List(Row);
      revision @4 :Int64;
    }
    loads :group {
      busyPermille @5 :List(Int64);
    }
  }
}
