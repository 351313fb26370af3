Feature: Streams in a service whose runners have several software versions

  Scenario: A stream that breaks off goes on at the version that began it
    Given a gateway, and two runners each of "v1" and "v2" that break streams off
    When 20 callers ask for streams
    Then each of them gets a whole stream of one version

  Scenario: A stream is cut if no other runner of its version is left
    Given a gateway, and two runners each of "v1" and "v2" that break streams off
    And the runners of "v1" drain once they have begun a stream
    When 20 callers ask for streams
    Then none of them gets events of two versions

  Scenario: Streams are taken up at another gateway
    Given a gateway, and two runners each of "v1" and "v2" that hold streams
    And another gateway
    When 20 callers whose streams have begun take them up at the other gateway
    Then each of them gets a whole stream of one version

  Scenario: Streams are taken up at a gateway that starts after they began
    Given a gateway, and two runners each of "v1" and "v2" that hold streams
    When 20 callers whose streams have begun leave
    And the gateway stops and another one starts
    And they take their streams up at the other gateway
    Then each of them gets a whole stream of one version

  Scenario: A version leaves before its streams are taken up
    Given a gateway, and two runners each of "v1" and "v2" that hold streams
    When 20 callers whose streams have begun leave
    And the runners of "v1" leave
    And the gateway stops and another one starts
    And they take their streams up at the other gateway
    Then none of them gets events of two versions
    And those with events of "v2" get whole streams

  Scenario: A version takes over while no gateway runs
    Given a gateway, and two runners each of "v1" that hold streams
    When 20 callers whose streams have begun leave
    And the gateway stops, runners of "v2" take over, and another gateway starts
    And they take their streams up at the other gateway
    Then each of them is refused as not run

  Scenario: A request that broke off before its first event keeps to its version
    Given a gateway, and two runners each of "v1" and "v2" that hold streams
    And each request without events breaks off once
    When 20 callers ask for streams that are held
    Then all attempts at a stream went to one version

  Scenario: Runners come back under their ids with another version
    Given a gateway, and two runners each of "v1" that hold streams
    When 20 callers whose streams have begun leave
    And the runners come back as "v2" under their ids
    And the gateway stops and another one starts
    And they take their streams up at the other gateway
    Then none of them gets events of two versions

  Scenario: A gateway starts while the store does not answer
    Given a gateway, and two runners each of "v1" and "v2" that hold streams
    When 20 callers whose streams have begun leave
    And the gateway stops, and another one starts that cannot read the records of streams
    And they take their streams up at the other gateway
    Then none of them gets events of two versions

  Scenario: Streams of the only version are taken up after all gateways stopped
    Given a gateway, and two runners each of "v1" that hold streams
    When 20 callers whose streams have begun leave
    And the gateway stops and another one starts
    And they take their streams up at the other gateway
    Then each of them gets a whole stream of one version

  # Guards against a gateway that was cut off or stood still while runners of
  # another version joined, and that takes a stream of theirs to be of the only
  # version that it knows.
  Scenario: Streams are taken up at a gateway that does not know their version
    Given a gateway, and two runners each of "v1" that hold streams
    And another gateway that is told of no more runners
    And two runners of "v2" join
    When 20 callers whose streams have begun take them up at the other gateway
    Then none of them gets events of two versions
    And those with events of "v1" get whole streams

  Scenario: A stream of unknown origin is refused where its version may be unknown
    Given a gateway, and two runners each of "v1" that hold streams
    And another gateway that is told of no more runners
    And two runners of "v2" join
    And the records name no streams from now on
    When 20 callers whose streams have begun take them up at the other gateway
    Then none of them gets events of two versions

  Scenario: A gateway that cannot ask who began a stream does not guess
    Given a gateway, and two runners each of "v1" that hold streams
    And another gateway that is told of no more runners
    And two runners of "v2" join
    And the records of streams can no longer be read
    When 20 callers whose streams have begun take them up at the other gateway
    Then none of them gets events of two versions
