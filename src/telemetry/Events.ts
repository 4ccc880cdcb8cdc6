/**
 * Numbers of the log events. Each folder has a block of one hundred. docs/EVENTS.md has a row for each event, and
 * Telemetry.test.ts compares the two. A number is never reused for another event.
 */
export enum EventId {
    // 1xx: process
    ProcessStarted = 100,
    ProcessStopping = 101,
    ProcessStopped = 102,
    InvariantBroken = 103,
    ServiceFailed = 104,
    ServiceRestarted = 105,
    /** A service had unfinished work when its drain ended. */
    StopLeftWork = 106,
    SecondSignal = 107,
    LogLinesLeftOut = 108,
    /** A task that nobody awaits has thrown. */
    BackgroundTaskFailed = 109,
    MetricRejected = 113,
    ServerOverloaded = 114,
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
    /** A new replicated group was bootstrapped. */
    GroupFounded = 401,
    LeaderElected = 402,
    LeaderSteppedDown = 403,
    ReplicaOutOfService = 404,
    ReplicaDiskHangs = 405,
    // 5xx: membership
    HostStateChanged = 500,
    HostRestarted = 501,
    /** A host's view of the other hosts became certain or uncertain. */
    ViewCertaintyChanged = 502,
    // 6xx: endpoints
    EndpointOwned = 600,
    EndpointReleased = 601,
    EndpointHandedOver = 602,
    EndpointStateChanged = 603,
    SlotLeaseExpired = 604,
    OwnerEpochHeld = 605,
    OwnerEpochLost = 606,
    /** An engine accepted an order, such as to load a model. */
    EngineOrdered = 607,
    EngineOrderFailed = 608,
    /** An endpoint has said in a reply that it is leaving. */
    EndpointSaysLeaving = 609,
    /** An endpoint has asked for a time without requests. */
    EndpointPaused = 610,
    EndpointPauseIgnored = 611,
    EndpointLimitChanged = 612,
    EndpointLimitUnreadable = 613,
    EndpointBrittlenessChanged = 614,
    // 7xx: records
    RecordsSessionEnded = 700,
    RecordsSessionExpired = 701,
    ClaimMade = 702,
    ClaimEnded = 703,
    ClaimReleased = 704,
    /** The outcome of a claim is unknown, so a release was sent for it. */
    ClaimUnanswered = 705,
    JobTaken = 710,
    JobJournalled = 711,
    JobEnded = 712,
    JobLeaseLost = 713,
    CrashReported = 720,
    /** A host updated its copy of the quarantine marks. */
    MarksRefreshed = 721,
    // 8xx: pipeline and routing
    RequestStarted = 800,
    RequestEnded = 801,
    StageStarted = 802,
    StageEnded = 803,
    /** A request was rejected by admission control. */
    RequestShed = 805,
    EndpointCrashSeen = 806,
    HedgeSent = 807,
    StreamResumed = 808,
    RetryBudgetEmpty = 809,
    ClaimOutcomeNotRecorded = 810,
    StreamJoinFailed = 811,
    /** Sequence numbers are missing between two cache events of an engine. */
    PrefixIndexGap = 812,
    /** Cached prefix blocks were imported by another engine. */
    CacheMoved = 813,
    // 9xx: entry
    RequestRefused = 900,
    ReadinessChanged = 901,
    OperatorAction = 902,
    // 92x: rollouts
    RolloutOrdered = 920,
    RolloutStepped = 921,
    /** The leader or an operator has ended a roll-out, with its verdict. */
    RolloutEnded = 922,
    RolloutsInForce = 923,
    /** The view of an entry host has become too old for a version that is rolled out, or recent again. */
    RolloutViewFreshness = 924,
    RolloutReportUnreadable = 925,
    // 94x: load
    LoadStatementIgnored = 940,
    LoadReportIgnored = 941,
    LoadDigestIgnored = 942,
    FleetLoadUsable = 943,
    FleetLoadUnusable = 944,
    // 96x: admission
    CapacityScarce = 960,
    CapacityRegained = 961,
    // 10xx: fleet
    EndpointListLost = 1000,
    EndpointListRegained = 1001,
    EndpointListChanged = 1002,
    FleetStateConfirmed = 1003,
    FleetStateUnconfirmed = 1004,
    CrashMarksNotRecorded = 1005,
    ControlMemberChange = 1006,
    ControlHostLost = 1007,
    ControlHostRegained = 1008,
    DeploymentInForce = 1009,
    DeploymentUnreadable = 1010,
    FleetViewChanged = 1011,
    DeploymentChangeEnded = 1012,
    SettingsReloaded = 1013,
    SettingsUnreadable = 1014,
    CrashesReported = 1015,
    PartsCleared = 1016,
    PartJudged = 1017,
    /** An entry of a list of endpoints names no endpoint and is left out. */
    EndpointEntryUnreadable = 1018,
    OperatorCallAbandoned = 1030,
    /** An order was committed behind a newer one of the same data centre, and has changed nothing. */
    DataCentreOrderStale = 1033,
    // 11xx: gateway
    GatewayRequestTaken = 1100,
    GatewayRequestEnded = 1101,
    EndpointAttemptEnded = 1102,
    EndpointSuspected = 1103,
    /** The HTTP server reported an error on a caller's connection. */
    CallerBroken = 1104,
    EndpointCrashed = 1105,
    /** This host closed the connection of a request that it had read whole, before the answer was complete. */
    RequestCutOff = 1106,
    /** This host closed a caller's connection, other than after an answer that said so. */
    CallerConnectionClosed = 1107,
    /** An exception ended the handling of a request, which is answered all the same. */
    RequestFailed = 1108,
    /** A second attempt was started beside a slow one. */
    RequestHedged = 1110,
    /** A caller took none of its data for too long, or its data took up memory that others need. */
    SlowCallerDisconnected = 1111,
    /** A reply of an endpoint did not carry the id of the request that was sent last. */
    EndpointReplyRejected = 1112,
    /** A reply without a length or chunks has ended with its connection; what shows whether it is whole. */
    ReplyEndChecked = 1113,
    /** A request stays at an endpoint that sends nothing, since no other one can take it. */
    SilentAttemptKept = 1116,
    // 12xx: gather
    PiecesSubmitted = 1200,
    PiecesEnded = 1201,
    BatchEnded = 1202,
    GathererLost = 1203,
    BatchEndpointSuspected = 1204,
    ResultsNotFreed = 1205,
    ResultsLost = 1206,
    /** Results could not be sent to their submitter; they stay unused until they expire. */
    ResultsUndelivered = 1207,
    SubmissionsNotWithdrawn = 1208,
    StorageLearned = 1209,
    // 13xx: limits
    PermitLenderRole = 1300,
    PermitLenderLost = 1301,
    PermitDenied = 1302,
    /** A brittle endpoint has turned a request away, and fewer of its places are lent. */
    PlacesReduced = 1303,
    // 14xx: streams
    StreamOriginFound = 1400,
    StreamOriginUnknown = 1401,
    StreamOriginsNotKept = 1402,
    // 15xx: paths
    EndpointPathLost = 1500,
    CutOffFromEndpoints = 1501,
    EndpointPathRegained = 1502,
    DetourTried = 1503,
}
