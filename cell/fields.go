package cell

// Fields of log lines, by which a job's life is put together again.
const (
	fieldJob    = "job"
	fieldTask   = "task"
	fieldRun    = "run"
	fieldWorker = "worker"
	fieldWhy    = "why"
	fieldPlaced = "placed"
	fieldTook   = "took"
)
