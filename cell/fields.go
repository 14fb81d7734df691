package cell

// Keys of the log fields that tie the log lines of a job together.
const (
	fieldJob    = "job"
	fieldTask   = "task"
	fieldRun    = "run"
	fieldWorker = "worker"
	fieldReason = "why"
	fieldPlaced = "placed"
	fieldTook   = "took"
	fieldTeam   = "team"
	// fieldSilent is how long a worker has not answered a poll.
	fieldSilent = "silent"
	// fieldLeaseAge is how long ago the group's lease was renewed: beyond elect.TakeoverTimeout another host may run the group.
	fieldLeaseAge = "lease-age"
)
