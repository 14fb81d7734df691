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
)
