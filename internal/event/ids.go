package event

// Events of the area process.
const (
	Started      ID = 101
	Stopping     ID = 102
	Stopped      ID = 103
	PortTaken    ID = 104
	Listening    ID = 105
	HandlerPanic ID = 106
	StartFailed  ID = 107
	StopForced   ID = 108
	Ready        ID = 109
	NotReady     ID = 110
)

// Events of the area settings and keys.
const (
	SettingsInvalid     ID = 201
	SettingsMissing     ID = 202
	CertificateInvalid  ID = 203
	CertificateExpiring ID = 204
	CertificateExpired  ID = 205
	KeySecretInvalid    ID = 206
	OperatorsInvalid    ID = 207
	SettingsLoaded      ID = 208
	SettingsReloaded    ID = 209
	SettingsRefused     ID = 210
)

// Events of the area membership and ownership.
const (
	MemberJoined     ID = 301
	MemberFailed     ID = 302
	MemberLeaving    ID = 303
	MemberLeft       ID = 304
	MemberReplaced   ID = 305
	Paused           ID = 306
	CatchingUp       ID = 307
	CaughtUp         ID = 308
	StateChanged     ID = 309
	ZoneSilent       ID = 310
	PoolOwned        ID = 311
	PoolReleased     ID = 312
	PoolAdopted      ID = 313
	PoolReturned     ID = 314
	GrantLapsed      ID = 315
	GrantRenewed     ID = 316
	IsolationChanged ID = 317
)

// Events of the area configuration.
const (
	ConfigInForce      ID = 402
	ConfigOlderIgnored ID = 403
	ChangeApplied      ID = 404
	ChangeConflict     ID = 405
	ChangeRefused      ID = 406
	ChangeUncertain    ID = 407
	ConfigInvalid      ID = 410
)

// Events of the area platform.
const (
	PlatformAbsent      ID = 501
	PlatformUnreachable ID = 502
	PlatformBack        ID = 503
	PlatformThrottled   ID = 504
	EntryUnreadable     ID = 505
	RegistrationFailed  ID = 506
	PlatformCallFailed  ID = 507
)

// Events of the area peers.
const (
	PeerUnauthenticated ID = 601
	PeerVersion         ID = 602
	PeerMalformed       ID = 603
	PeerOversized       ID = 604
	PeerConnected       ID = 605
	PeerLost            ID = 606
	PeerImpostor        ID = 607
	PeerUnreachable     ID = 609
	BeatRefused         ID = 610
	ChangesPartial      ID = 611
)

// Events of the area traffic and upstreams.
const (
	NoUpstream       ID = 701
	UpstreamLive     ID = 702
	UpstreamLeaving  ID = 703
	UpstreamSuspect  ID = 704
	UpstreamDown     ID = 705
	UpstreamCold     ID = 706
	UpstreamBroken   ID = 707
	UpstreamMismatch ID = 708
	UpstreamDrained  ID = 709
	ShiftStarted     ID = 711
	ShiftEnded       ID = 712
	ShiftAtCap       ID = 713
	LinkAtCap        ID = 714
	HeadroomUsedUp   ID = 715
	DrainStarted     ID = 716
	DrainEnded       ID = 717
	CallersOverLimit ID = 718
	AnswerCut        ID = 719
	Decision         ID = 720
	RequestServed    ID = 721
	RequestFailed    ID = 722
	AttemptAnswered  ID = 723
	AttemptFailed    ID = 724
	UpstreamReported ID = 725
	UpstreamGone     ID = 726
	RequestRefused   ID = 727
	RequestLate      ID = 728
	ZoneReach        ID = 729
)

// Events of the area idempotency keys.
const (
	KeyTableFull   ID = 801
	KeysHandedOver ID = 802
	KeysTaken      ID = 803
	HandoverFailed ID = 804
	KeyConflict    ID = 805
	KeyForged      ID = 806
	ClaimLost      ID = 807
	ClaimUncertain ID = 808
)

// Events of the area operators.
const (
	OperatorRefused ID = 901
	OperatorLimited ID = 902
	OperatorCommand ID = 903
	OperatorFailed  ID = 904
)
