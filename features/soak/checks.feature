Feature: Checks of a soak
  Guards against a soak that passes because its checks detect nothing. Each check gets records that
  break its promise, and similar records that keep it.

  Scenario Outline: records of <broken> break the rule <rule>, those of <kept> do not
    Then records of <broken> give the finding "<rule>"
    And records of <kept> give no finding

    Examples:
      | rule                  | broken                                       | kept                                    |
      | two-owners            | a grant while another lease runs             | a grant after another lease ended       |
      | two-owners            | a grant after a release of other keys        | a grant after a release                 |
      | two-owners            | a grant while a restarted owner's lease runs | a grant after the owner's process ended |
      | run-twice             | a deposit that ran twice                     | a read that ran twice                   |
      | not-run-but-ran       | a refused request that ran                   | a failed request that ran               |
      | completed-without-run | a request that completed without a run       | a completed request that ran            |
      | lost-at-stop          | a request sent 3.1 s after a stop and cut    | a request sent 2.9 s after a stop and cut |
      | lost-at-stop          | a running request cut 4 s after a stop       | a request answered 4 s after a stop     |
      | lost-at-stop          | a running request cut 4 s after a stop       | a running request cut by a kill after a stop |
      | lost-at-stop          | a request without a run, closed after 0.5 s  | a request without a run, closed at once |
      | lost-at-stop          | a request without a run, closed after 0.5 s  | a request whose connection was refused after 0.5 s |
      | lost-at-stop          | a request without a run, closed after 0.5 s  | a request closed after 0.5 s, seen 0.4 s late |
      | lost-at-stop          | a request that was turned away and cut at once | a request without a run, closed at once |
      | lost-at-stop          | a request answered with 502 while it ran, 2 s after a stop | a request answered with 502 after it ran, 2 s after a stop |
      | lost-at-stop          | a request answered with 502 while it ran, 2 s after a stop | a request answered with 504 while it ran, once its time was over |
      | lost-at-stop          | a request answered with 502 while it ran, 2 s after a stop | a request answered with 502 while it ran, after its upstream was killed |
      | lost                  | four requests on kept connections that were passed on and cut | three requests on kept connections that were passed on and cut |
      | lost                  | four requests on kept connections that were passed on and cut | four requests on new connections that were passed on and cut |
      | lost                  | four requests on kept connections that were passed on and cut | four requests that their callers gave up |
      | lost                  | four requests without a key that were cut while the store was down | four requests with a key that were cut while the store was down |
      | lost-at-reload        | a request sent 1.9 s after SIGHUP and closed after 0.5 s | a request sent 2.1 s after SIGHUP and closed after 0.5 s |
      | lost-at-reload        | a request at work that is cut after SIGHUP   | a request closed at once after SIGHUP   |
      | lost-at-reload        | a request at work that is cut after SIGHUP   | a request at work that is cut after SIGHUP once its time was over |
      | lost-at-reload        | a request at work that is cut after SIGHUP   | a request at work that is cut after SIGHUP and a kill |
      | lost-at-change        | a request closed 2.9 s after a change        | a request closed 3.1 s after a change   |
      | lost-at-change        | a request closed 2.9 s after a change        | a request closed beside a change after seven tenths of its time |
      | lost-at-change        | a request closed 2.9 s after a change        | a request closed 2.9 s after a change by a host that cuts as many at other times |
      | lost-at-change        | a request closed 2.9 s after a change        | a request closed 2.9 s after a change, 2.9 s after the store was unavailable |
      | used-after-leaving    | a request sent 2.1 s after a leaving answer  | a request sent 1.9 s after a leaving answer |
      | used-after-leaving    | a request sent 2.1 s after a leaving answer  | a request sent 2.1 s after it to a later start |
      | sent-in-pause         | three requests in the rest of a pause        | two requests in the rest of a pause     |
      | sent-in-pause         | three requests in the rest of a pause        | three requests within 0.5 s of it       |
      | sent-in-pause         | three requests in the rest of a pause        | three requests after a pause that a host which had given up was told of |
      | sent-in-pause         | three requests in the rest of a pause        | three requests in a pause in which their host was stopped |
      | sent-in-pause         | three requests in the rest of a pause        | three requests in a pause with a fault on the way |
      | foreign-answer        | a response to another request                | a completed request that ran            |

  Scenario Outline: a soak that waits for pauses counts only those in which the check can find a request
    Then records of <records> have <count> judged pauses

    Examples:
      | records                                                                 | count |
      | three requests in the rest of a pause                                   | 1     |
      | two requests in the rest of a pause                                     | 1     |
      | three requests after a pause that a host which had given up was told of | 0     |
      | three requests in a pause in which their host was stopped               | 0     |
      | three requests in a pause with a fault on the way                       | 0     |
      | three requests in the rest of a pause of 0.4 s                          | 0     |

  Scenario: a seed always gives the same faults, and those of one target do not overlap
    Given the soak's faults of seeds 1 to 20
    Then drawing them again gives the same faults, which differ between seeds
    And faults of one target do not overlap

  Scenario: a seed always gives the same restores, each after the restart of an upstream
    Given the restores of seeds 1 to 20
    Then drawing the restores again gives the same ones, which differ between seeds
    And an upstream is started again 0.5 to 3 s before each restore

  Scenario: a soak tells what followed each restore
    Then the keys without an owner, the outcomes and the calls after two restores are counted

  Scenario: a seed always gives the same planned work, and a SIGHUP goes with each stop
    Given the planned work of seeds 1 to 20
    Then drawing it again gives the same work, which differs between seeds
    And each stop has a SIGHUP within 1 s, of its own host or another
    And the idle limit goes up and down from change to change
