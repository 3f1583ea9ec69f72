package event

import "github.com/sirupsen/logrus"

// Events of the daemon's life, 100 to 199.
var (
	Started = define(100, logrus.InfoLevel, "daemon started")
	Leaving = define(101, logrus.InfoLevel, "daemon is leaving")
	Stopped = define(102, logrus.InfoLevel, "daemon stopped")
	Resumed = define(103, logrus.WarnLevel, "daemon resumed after a pause")
	Dumped  = define(104, logrus.InfoLevel, "state dumped on request")
)

// Events of documents, 200 to 299.
var (
	ConfigInForce    = define(200, logrus.InfoLevel, "config revision in force")
	RevisionRefused  = define(202, logrus.ErrorLevel, "document older than the one in force refused")
	FleetChanged     = define(203, logrus.InfoLevel, "fleet revision in force")
	TableChanged     = define(204, logrus.InfoLevel, "slice table in force")
	DocumentRestored = define(206, logrus.WarnLevel, "document in force written back to an older store")
	DocumentRejected = define(205, logrus.ErrorLevel, "platform document cannot be read")
)

// Events of the platform, 300 to 399.
var (
	PlatformLost = define(300, logrus.WarnLevel, "platform out of reach")
	PlatformBack = define(301, logrus.InfoLevel, "platform reached again")
	LeaseLost    = define(302, logrus.WarnLevel, "lease lapsed, taking a new one")
	GraceEnded   = define(303, logrus.ErrorLevel, "isolated for too long, serving open queues only")
	GraceResumed = define(304, logrus.InfoLevel, "no longer isolated, serving all queues")
)

// Events of peers, 400 to 499.
var (
	PeerUp      = define(400, logrus.InfoLevel, "peer connected")
	PeerDown    = define(401, logrus.WarnLevel, "peer connection lost")
	PeerRefused = define(402, logrus.ErrorLevel, "peer message refused")
)

// Events of minions and maintenance, 500 to 599.
var (
	MinionEjected = define(500, logrus.WarnLevel, "minion ejected for its failure rate")
	MinionReadmit = define(501, logrus.InfoLevel, "minion let back after a probe")
	AnswerCrossed = define(502, logrus.ErrorLevel, "answer of another attempt dropped")
	StewardTaken  = define(510, logrus.InfoLevel, "steward lease taken")
	StewardLost   = define(511, logrus.WarnLevel, "steward lease lost")
	StepWritten   = define(512, logrus.InfoLevel, "maintenance step written")
	WavePaused    = define(513, logrus.WarnLevel, "maintenance wave paused")
	DrainStuck    = define(514, logrus.WarnLevel, "drain is held up")
	MovePlanned   = define(515, logrus.InfoLevel, "instance is moved to another pool")
)

// Events of jobs and cells, 600 to 699.
var (
	JobAccepted   = define(600, logrus.InfoLevel, "job accepted")
	JobRejected   = define(601, logrus.InfoLevel, "job rejected")
	JobCancelled  = define(602, logrus.InfoLevel, "job cancelled")
	JobEnded      = define(603, logrus.InfoLevel, "job ended")
	JobOpen       = define(604, logrus.WarnLevel, "outcome of a request left open")
	JobWaits      = define(605, logrus.InfoLevel, "job waits for room")
	RunOrdered    = define(610, logrus.InfoLevel, "run ordered")
	RunRefused    = define(611, logrus.InfoLevel, "run refused by its endpoint")
	RunOpen       = define(612, logrus.WarnLevel, "order to an endpoint not answered")
	RunStopped    = define(613, logrus.InfoLevel, "run ordered to stop")
	RunStray      = define(614, logrus.WarnLevel, "unknown run found on an endpoint")
	RunEnded      = define(615, logrus.InfoLevel, "run ended")
	CellTaken     = define(620, logrus.InfoLevel, "cell taken over")
	CellReady     = define(621, logrus.InfoLevel, "cell serves")
	CellLeft      = define(622, logrus.InfoLevel, "cell handed over")
	CellLost      = define(623, logrus.WarnLevel, "cell lost")
	CellPaused    = define(624, logrus.WarnLevel, "ownership not certain, cell paused")
	CellResumed   = define(625, logrus.InfoLevel, "ownership certain again, cell goes on")
	StoreLost     = define(630, logrus.WarnLevel, "store out of reach")
	StoreBack     = define(631, logrus.InfoLevel, "store reached again")
	SessionLost   = define(632, logrus.WarnLevel, "session at the store lapsed")
	SessionMade   = define(633, logrus.InfoLevel, "session at the store made")
	SetupInForce  = define(634, logrus.InfoLevel, "configuration in force")
	SetupRefused  = define(635, logrus.ErrorLevel, "configuration cannot be read")
	EntryForeign  = define(636, logrus.WarnLevel, "entry of an endpoint cannot be read")
	WatchRestart  = define(637, logrus.InfoLevel, "watch starts again from a full read")
	EndpointLost  = define(640, logrus.WarnLevel, "endpoint does not answer")
	EndpointBack  = define(641, logrus.InfoLevel, "endpoint answers again")
	EndpointNew   = define(642, logrus.InfoLevel, "endpoint known")
	EndpointLeft  = define(643, logrus.InfoLevel, "endpoint is draining or gone")
	LedgerChanged = define(650, logrus.InfoLevel, "limits of client accounts divided anew")
	WaveSeen      = define(660, logrus.InfoLevel, "maintenance wave seen")
	WaveDone      = define(661, logrus.InfoLevel, "maintenance wave completed")
	MachineDown   = define(662, logrus.InfoLevel, "machine sent to maintenance")
	MachineMoved  = define(663, logrus.InfoLevel, "machine moved to another pool")
	DutyRefused   = define(664, logrus.WarnLevel, "order for a machine refused")
	DutyOpen      = define(665, logrus.WarnLevel, "order for a machine not answered")
	CloudLost     = define(666, logrus.WarnLevel, "list of machines out of reach")
	CloudBack     = define(667, logrus.InfoLevel, "list of machines reached again")
	PoolsSized    = define(668, logrus.InfoLevel, "machines planned to move")
	SettingsRead  = define(670, logrus.InfoLevel, "settings read again")
	LinesDropped  = define(671, logrus.WarnLevel, "log lines dropped")
	PathDetour    = define(673, logrus.WarnLevel, "store asked through a peer")
	PathDirect    = define(674, logrus.InfoLevel, "store asked directly again")
	DetourFailed  = define(675, logrus.WarnLevel, "peer could not reach the store")
	CallFailed    = define(672, logrus.WarnLevel, "call to another entry failed")
)
