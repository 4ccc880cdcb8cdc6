/**
 * Numbers of the log events. Each folder has a block of one hundred; docs/EVENTS.md has a row for each, and
 * Events.test.ts holds the two against each other. A number, once given, is never used for another event.
 */
export enum EventId {
    // 1xx: process
    ProcessStarted = 100,
    ProcessStopping = 101,
    ProcessStopped = 102,
    InvariantBroken = 103,
    ServiceFailed = 104,
    ServiceRestarted = 105,
    StopLeftWork = 106,
    SecondSignal = 107,
    // 2xx: peer
    PeerConnectionSilent = 200,
    PeerRejected = 201,
    // 3xx: config
    ConfigInForce = 300,
    ConfigFileDiffers = 301,
    ConfigUnusable = 302,
    ConfigSeedInvalid = 303,
    // 4xx: replication
    ReplicaOpened = 400,
    GroupFounded = 401,
    LeaderElected = 402,
    LeaderSteppedDown = 403,
    ReplicaOutOfService = 404,
    ReplicaDiskHangs = 405,
    // 5xx: membership
    HostStateChanged = 500,
    HostRestarted = 501,
    ViewCertaintyChanged = 502,
    // 6xx: endpoints
    EndpointOwned = 600,
    EndpointReleased = 601,
    EndpointHandedOver = 602,
    EndpointStateChanged = 603,
    SlotLeaseExpired = 604,
    OwnerEpochHeld = 605,
    OwnerEpochLost = 606,
    EngineOrdered = 607,
    EngineOrderFailed = 608,
    // 7xx: records
    RecordsSessionEnded = 700,
    RecordsSessionExpired = 701,
    ClaimMade = 702,
    ClaimEnded = 703,
    ClaimReleased = 704,
    ClaimUnanswered = 705,
    JobTaken = 710,
    JobJournalled = 711,
    JobEnded = 712,
    JobLeaseLost = 713,
    CrashReported = 720,
    MarksRefreshed = 721,
    // 8xx: pipeline and routing
    RequestStarted = 800,
    RequestEnded = 801,
    StageStarted = 802,
    StageEnded = 803,
    RequestShed = 805,
    EndpointCrashSeen = 806,
    HedgeSent = 807,
    StreamResumed = 808,
    RetryBudgetEmpty = 809,
    ClaimOutcomeNotRecorded = 810,
    StreamJoinFailed = 811,
    PrefixIndexGap = 812,
    CacheMoved = 813,
    // 9xx: entry
    RequestRefused = 900,
    ReadinessChanged = 901,
    OperatorAction = 902,
}
