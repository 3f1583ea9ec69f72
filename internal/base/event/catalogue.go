package event

import "github.com/sirupsen/logrus"

// Start and shutdown of a daemon, 100 to 199.
var (
	Started      = define(100, logrus.InfoLevel, "daemon started")
	ShuttingDown = define(101, logrus.InfoLevel, "daemon is shutting down")
	Stopped      = define(102, logrus.InfoLevel, "daemon stopped")
	Resumed      = define(103, logrus.WarnLevel, "daemon resumed after a pause")
	Dumped       = define(104, logrus.InfoLevel, "state dumped on request")
	WorkEnded    = define(105, logrus.InfoLevel, "daemon has ended its work")
	// HandlerPanicked is logged by the listeners of all daemons.
	HandlerPanicked = define(106, logrus.ErrorLevel, "handler of a request panicked")
	StopUnnoticed   = define(107, logrus.WarnLevel, "requests still arrive at a leaving daemon")
)

// Documents: config, fleet and slice table, 200 to 299.
var (
	ConfigInForce    = define(200, logrus.InfoLevel, "config revision in force")
	RevisionRefused  = define(202, logrus.ErrorLevel, "document older than the one in force refused")
	FleetInForce     = define(203, logrus.InfoLevel, "fleet revision in force")
	TableInForce     = define(204, logrus.InfoLevel, "slice table in force")
	DocumentRestored = define(206, logrus.WarnLevel, "document in force written back, the store held an older revision")
	DocumentRejected = define(205, logrus.ErrorLevel, "platform document cannot be read")
)

// Connection to the platform, 300 to 399.
var (
	PlatformUnreachable = define(300, logrus.WarnLevel, "platform unreachable")
	PlatformReachable   = define(301, logrus.InfoLevel, "platform reachable again")
	LeaseExpired        = define(302, logrus.WarnLevel, "lease expired, acquiring a new one")
	GraceExpired        = define(303, logrus.ErrorLevel, "isolated beyond the grace period, serving open queues only")
	IsolationEnded      = define(304, logrus.InfoLevel, "no longer isolated, serving all queues")
)

// Connections to peers, 400 to 499.
var (
	PeerUp      = define(400, logrus.InfoLevel, "peer connected")
	PeerDown    = define(401, logrus.WarnLevel, "peer connection lost")
	PeerRefused = define(402, logrus.ErrorLevel, "peer message refused")
	// PeerUnreachable is logged once until the peer is connected.
	PeerUnreachable = define(403, logrus.WarnLevel, "peer connection failed")
)

// Minions and maintenance, 500 to 599.
var (
	MinionEjected      = define(500, logrus.WarnLevel, "minion ejected because of its failure rate")
	MinionReadmitted   = define(501, logrus.InfoLevel, "minion readmitted after a successful probe")
	ResponseMismatched = define(502, logrus.ErrorLevel, "answer to another attempt dropped")
	StewardAcquired    = define(510, logrus.InfoLevel, "steward lease acquired")
	StewardLost        = define(511, logrus.WarnLevel, "steward lease lost")
	StepWritten        = define(512, logrus.InfoLevel, "maintenance step written")
	WavePaused         = define(513, logrus.WarnLevel, "maintenance wave paused")
	DrainBlocked       = define(514, logrus.WarnLevel, "drain is blocked")
	MovePlanned        = define(515, logrus.InfoLevel, "move of an instance to another pool planned")
)

// Jobs, runs, cells and endpoints, 600 to 699.
var (
	JobAccepted            = define(600, logrus.InfoLevel, "job accepted")
	JobRejected            = define(601, logrus.InfoLevel, "job rejected")
	JobCancelled           = define(602, logrus.InfoLevel, "job cancelled")
	JobEnded               = define(603, logrus.InfoLevel, "job ended")
	JobRequestUnanswered   = define(604, logrus.WarnLevel, "request about a job not answered by the owner of the cell")
	JobWaiting             = define(605, logrus.InfoLevel, "job waits for free capacity")
	RunUnresolved          = define(606, logrus.InfoLevel, "long-running task waits until it is known whether its run exists")
	RunStartOrdered        = define(610, logrus.InfoLevel, "start of a run ordered")
	OrderRefused           = define(611, logrus.InfoLevel, "order refused by the endpoint")
	OrderUnanswered        = define(612, logrus.WarnLevel, "order not answered by the endpoint")
	RunStopOrdered         = define(613, logrus.InfoLevel, "stop of a run ordered")
	OrphanFound            = define(614, logrus.WarnLevel, "orphan run found on an endpoint")
	RunEnded               = define(615, logrus.InfoLevel, "run ended")
	CellTakenOver          = define(620, logrus.InfoLevel, "cell taken over")
	CellServing            = define(621, logrus.InfoLevel, "cell is serving")
	CellHandedOver         = define(622, logrus.InfoLevel, "cell handed over")
	CellLost               = define(623, logrus.WarnLevel, "cell lost")
	CellPaused             = define(624, logrus.WarnLevel, "ownership uncertain, cell paused")
	CellResumed            = define(625, logrus.InfoLevel, "ownership confirmed again, cell resumed")
	CellLoaded             = define(626, logrus.InfoLevel, "state of a cell loaded")
	SnapshotStored         = define(627, logrus.InfoLevel, "snapshot of a cell stored")
	WriteUnanswered        = define(628, logrus.WarnLevel, "write of a cell had attempts without an answer")
	CellEndedUnstored      = define(629, logrus.InfoLevel, "cell ended with records that were not stored")
	StoreUnreachable       = define(630, logrus.WarnLevel, "store unreachable")
	StoreReachable         = define(631, logrus.InfoLevel, "store reachable again")
	SessionExpired         = define(632, logrus.WarnLevel, "store session expired")
	SessionEstablished     = define(633, logrus.InfoLevel, "store session established")
	SetupInForce           = define(634, logrus.InfoLevel, "configuration in force")
	SetupRejected          = define(635, logrus.ErrorLevel, "configuration or maintenance wave rejected")
	EndpointInvalid        = define(636, logrus.WarnLevel, "endpoint registration cannot be decoded")
	WatchRestarted         = define(637, logrus.InfoLevel, "watch restarted with a full read")
	StateIncomplete        = define(638, logrus.ErrorLevel, "stored state of a cell is incomplete, the cell is not served")
	EndpointUnresponsive   = define(640, logrus.WarnLevel, "endpoint does not answer")
	EndpointResponsive     = define(641, logrus.InfoLevel, "endpoint answers again")
	EndpointAdded          = define(642, logrus.InfoLevel, "endpoint added, or its address changed")
	EndpointRemoved        = define(643, logrus.InfoLevel, "endpoint removed from the cell")
	EndpointCrashed        = define(644, logrus.WarnLevel, "endpoint crashed with runs")
	LimitsRedistributed    = define(650, logrus.InfoLevel, "limits of client accounts redistributed among the cells")
	WaveReceived           = define(660, logrus.InfoLevel, "maintenance wave received")
	WaveCompleted          = define(661, logrus.InfoLevel, "maintenance wave completed")
	MaintenanceBegan       = define(662, logrus.InfoLevel, "machine sent to maintenance")
	MachineMoved           = define(663, logrus.InfoLevel, "machine moved to another pool")
	MachineOrderRefused    = define(664, logrus.WarnLevel, "order for a machine refused")
	MachineOrderUnanswered = define(665, logrus.WarnLevel, "order for a machine not answered")
	MachineListUnavailable = define(666, logrus.WarnLevel, "list of machines unavailable")
	MachineListAvailable   = define(667, logrus.InfoLevel, "list of machines available again")
	PoolMovesPlanned       = define(668, logrus.InfoLevel, "moves of machines between pools planned")
	SettingsRead           = define(670, logrus.InfoLevel, "settings file read again")
	SettingsInvalid        = define(676, logrus.WarnLevel, "settings file not applied")
	LinesDropped           = define(671, logrus.WarnLevel, "log lines dropped")
	StoreCallsRelayed      = define(673, logrus.WarnLevel, "calls to the store go through a peer")
	StoreCallsDirect       = define(674, logrus.InfoLevel, "calls to the store are direct again")
	RelayFailed            = define(675, logrus.WarnLevel, "call to the store through a peer failed")
	RunTimesLearned        = define(686, logrus.InfoLevel, "accuracy of predicted run times")
	OperationFailed        = define(672, logrus.WarnLevel, "internal operation failed")
)
