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
