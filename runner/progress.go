package runner

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/table"
)

// Limits of the table, and what follows from them.
const (
	// defaultRowBytes limits the value of a row if the settings don't.
	defaultRowBytes = 65536
	// maxCommitBytes limits the values of a commit, which are base64 in the 1 MB that the table takes.
	maxCommitBytes = 700 << 10
	// maxCommitEntries limits the checks, writes and removals of a commit.
	maxCommitEntries = 100
	// commitBytesPerSecond limits the rate at which large records are written, and encodePauseFactor how many times as long as their encoding the
	// pause after it is.
	commitBytesPerSecond = 1 << 20
	encodePauseFactor    = 4
	// minPacedBytes is the size of a commit from which it is followed by a pause.
	minPacedBytes = 64 << 10
	// setAsideDelay is after how long a job whose progress the table doesn't take is tried again.
	setAsideDelay = 5 * time.Second
)

// segmentSeparator stands between a job's id and the number of a segment in the name of that row.
const segmentSeparator = "/"

func (r *Runner) progressKey(job string) table.Key {
	return table.Key{Table: TableRuns, Partition: r.cfg.Epoch.Group, Name: job}
}

// segmentKey returns the key of a segment; the first one has the number 1.
func (r *Runner) segmentKey(job string, n int) table.Key {
	return r.progressKey(job + segmentSeparator + strconv.Itoa(n))
}

// parseSegment returns the job and the number of a segment from the name of its row; ok is false if that is no segment.
func parseSegment(name string) (job string, n int, ok bool) {
	job, number, ok := strings.Cut(name, segmentSeparator)
	if !ok {
		return "", 0, false
	}
	n, err := strconv.Atoi(number)
	return job, n, err == nil && n > 0
}

// encodeProgress returns the stored form of a job's progress. One that is larger than a row is compressed and split into segments, and its row
// has only what others read.
func encodeProgress(p *graph.Progress, rowBytes int) (row []byte, segments [][]byte, err error) {
	row, err = p.Encode()
	if err != nil || len(row) <= rowBytes {
		return row, nil, err
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(row); err != nil {
		return nil, nil, err
	}
	if err := w.Close(); err != nil {
		return nil, nil, err
	}
	segments = slices.Collect(slices.Chunk(compressed.Bytes(), rowBytes))
	head := graph.Progress{
		State: p.State, Queue: p.Queue, Team: p.Team, Reason: p.Reason, Token: p.Token, Done: graph.Done{Segments: len(segments)},
	}
	row, err = head.Encode()
	return row, segments, err
}

// decodeProgress parses the stored form of a job's progress.
func decodeProgress(row []byte, segments map[int][]byte) (*graph.Progress, error) {
	p, err := graph.DecodeProgress(row)
	if err != nil || p.Done.Segments == 0 {
		return p, err
	}
	var compressed bytes.Buffer
	for n := range p.Done.Segments {
		segment, ok := segments[n+1]
		if !ok {
			return nil, &MissingSegmentError{Segment: n + 1, Segments: p.Done.Segments}
		}
		compressed.Write(segment)
	}
	r, err := gzip.NewReader(&compressed)
	if err != nil {
		return nil, fmt.Errorf("progress: %w", err)
	}
	raw, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("progress: %w", err)
	}
	return graph.DecodeProgress(raw)
}

// MissingSegmentError says that a row with a part of a job's progress is missing.
type MissingSegmentError struct {
	Segment, Segments int
}

// Error names the segment.
func (e *MissingSegmentError) Error() string {
	return fmt.Sprintf("progress: segment %d of %d is missing", e.Segment, e.Segments)
}

// progressTx is the transaction that stores the first changes of a batch.
type progressTx struct {
	table.Tx
	// numChanges is how many changes it stores, and segments the number of segments that each of them has then.
	numChanges int
	segments   map[string]int
	// bytes is the size of the values.
	bytes int
}

// buildTx returns the transaction that stores as many of the changes as fit, at least one, while the lease is held.
func (r *Runner) buildTx(changes []cell.Change) (progressTx, error) {
	tx := progressTx{Tx: table.Tx{Checks: []table.Check{r.cfg.Epoch.Check()}}, segments: map[string]int{}}
	for _, ch := range changes {
		row, segments, err := encodeProgress(ch.Progress, r.rowBytes())
		if err != nil {
			return tx, err
		}
		writes := []table.Write{{Key: r.progressKey(ch.Job), Value: row}}
		for n, segment := range segments {
			writes = append(writes, table.Write{Key: r.segmentKey(ch.Job, n+1), Value: segment})
		}
		size := 0
		for _, w := range writes {
			size += len(w.Value)
		}
		var removes []table.Key
		for n := len(segments); n < r.segments[ch.Job]; n++ {
			removes = append(removes, r.segmentKey(ch.Job, n+1))
		}
		// The renewal of the lease may be added.
		entries := len(tx.Checks) + len(tx.Writes) + len(tx.Removes) + 1 + len(writes) + len(removes) + 1
		if tx.numChanges > 0 && (entries > maxCommitEntries || tx.bytes+size > maxCommitBytes) {
			break
		}
		tx.Checks = append(tx.Checks, table.Check{Key: r.progressKey(ch.Job), Version: ch.Version})
		tx.Writes, tx.Removes = append(tx.Writes, writes...), append(tx.Removes, removes...)
		tx.numChanges, tx.bytes, tx.segments[ch.Job] = tx.numChanges+1, tx.bytes+size, len(segments)
	}
	return tx, nil
}

func (r *Runner) rowBytes() int {
	if r.cfg.RowBytes > 0 {
		return r.cfg.RowBytes
	}
	return defaultRowBytes
}

// sendingSegments records that a commit is about to be sent, which may take effect without an answer.
func (r *Runner) sendingSegments(tx *progressTx) {
	for job, n := range tx.segments {
		if n > r.segments[job] {
			r.segments[job] = n
		}
	}
}

// storedSegments records that a commit has taken effect.
func (r *Runner) storedSegments(tx *progressTx) {
	for job, n := range tx.segments {
		if r.segments[job] = n; n == 0 {
			delete(r.segments, job)
		}
	}
}

// setAside leaves a job out of commits for a time, since the table doesn't take its progress, which would keep that of all other jobs from being
// stored.
func (r *Runner) setAside(job string, size int, err error) {
	r.log.WithError(err).WithField("job", job).WithField("bytes", size).Error("the table does not take the progress of a job; the job is set aside")
	r.cell.SetAside(job, true)
	time.AfterFunc(setAsideDelay, func() {
		r.cell.SetAside(job, false)
		r.wakeCommit()
	})
}

// commitPause returns the pause after a commit of large records, given how long it took to encode them.
func commitPause(size int, encoding time.Duration) time.Duration {
	if size < minPacedBytes {
		return 0
	}
	return max(encodePauseFactor*encoding, time.Duration(float64(size)/commitBytesPerSecond*float64(time.Second)))
}
