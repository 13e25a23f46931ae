package replica

import (
	"os"
	"time"

	"mintspring/internal/clock"
	"mintspring/internal/cluster/idempotency"
	"mintspring/internal/cluster/idempotency/storage"
)

// verificationsPerRetention is the maximum number of verifications of the closed segments within the retention of a record.
const verificationsPerRetention = 8

// diskJobKind is the kind of a diskJob.
type diskJobKind uint8

const (
	appendJob  diskJobKind = iota // append and sync entries
	verifyJob                     // read the closed segments and check them
	rewriteJob                    // write all records into a new segment
	recoverJob                    // write all records into a new segment after a write error
)

// diskJob is one job for the disk's goroutine.
type diskJob struct {
	kind            diskJobKind
	entries, header [][]byte
	coveredBatch    idempotency.Ready // only of recoverJob: the last batch whose changes entries includes
}

// diskResult is the result of a diskJob.
type diskResult struct {
	job            diskJob
	err            error
	corruptSegment string // only of verifyJob: the path of the first corrupt segment; "": none
}

// disk runs jobs on the data directory, one at a time, on its own goroutine. Only the member's goroutine accesses the fields other than the
// channels, except that the disk's goroutine uses store while a job runs.
type disk struct {
	store   *storage.Store
	jobs    chan diskJob
	results chan diskResult

	busy           bool // a job is running
	failed         bool // a write has failed; nothing is stored until a recovery succeeds
	recoveryRetry  retryTimer
	verifyAt       float64 // when the next verifyJob is due; 0: not scheduled yet
	corruptSegment string  // the segment that makes a rewriteJob necessary; "": none

	syncs       int // number of appendJobs
	entries     int // entries in all appendJobs
	largestSync int // most entries in one appendJob
}

// openDisk opens the data directory, if one is configured, and returns its contents. If it cannot be opened, openDisk logs the error and
// returns an empty state.
func (r *Replica) openDisk() *idempotency.StoredState {
	stored := idempotency.NewStoredState()
	if r.config.DataDir == "" {
		return stored
	}
	store, err := r.config.openStore(stored)
	if err != nil {
		r.dataDirErr = err
		r.log.WithError(err).Error("data directory cannot be used, storing no idempotency records")
		return idempotency.NewStoredState()
	}
	if delay := r.config.SyncDelay; delay > 0 {
		store.Sync = func(f *os.File) error {
			time.Sleep(delay)
			return f.Sync()
		}
	}
	r.config.Core.StorageIncarnation = store.Incarnation()
	r.disk = &disk{store: store, jobs: make(chan diskJob, 1), results: make(chan diskResult, 1)}
	return stored
}

// openStore opens the data directory and reads it into stored.
func (c *Config) openStore(stored *idempotency.StoredState) (*storage.Store, error) {
	owner := storage.Owner{Group: c.Group, Member: c.Core.Self}
	limits := storage.Limits{Retention: clock.Duration(c.Core.RetentionMs), MaxBytes: c.MaxBytes}
	return storage.Open(c.DataDir, owner, c.Core.Incarnation, limits, stored)
}

// CheckDataDir opens and closes the data directory, and returns the error if it cannot be opened.
func (c *Config) CheckDataDir() error {
	store, err := c.openStore(idempotency.NewStoredState())
	if err == nil {
		store.Close()
	}
	return err
}

// DataDirError returns the error with which opening the data directory failed at the start, nil if it was opened or none is configured.
func (r *Replica) DataDirError() error { return r.dataDirErr }

// stores reports whether the member can store records.
func (r *Replica) stores() bool { return r.disk != nil && !r.disk.failed }

// recovering reports whether a recoverJob is running. Batches that arrive meanwhile are queued until it ends.
func (r *Replica) recovering() bool { return r.disk != nil && r.disk.failed && r.disk.busy }

// runJobs runs jobs until the jobs channel is closed.
func (d *disk) runJobs() {
	for job := range d.jobs {
		result := diskResult{job: job}
		switch job.kind {
		case appendJob:
			result.err = d.store.Append(job.entries, job.header)
		case verifyJob:
			result.corruptSegment = d.store.CorruptSegment()
		case rewriteJob:
			result.err = d.store.Rewrite(job.entries, job.header)
		case recoverJob:
			result.err = d.store.Recover(job.entries, job.header)
		}
		d.results <- result
	}
}

// resultChannel returns the channel of job results, nil if there is no disk.
func (d *disk) resultChannel() <-chan diskResult {
	if d == nil {
		return nil
	}
	return d.results
}

func (d *disk) start(job diskJob) {
	d.busy = true
	d.jobs <- job
}

// close waits for the running job, ends the disk's goroutine and closes the data directory.
func (d *disk) close() {
	if d.busy {
		<-d.results
	}
	close(d.jobs)
	d.store.Close()
}

// startSync hands all queued batches to the disk if it is idle. If no queued batch has entries, their messages are sent at once, because
// all earlier batches are synced already.
func (r *Replica) startSync() {
	for r.stores() && !r.disk.busy && len(r.queuedBatches) > 0 {
		job := diskJob{kind: appendJob}
		for _, ready := range r.queuedBatches {
			job.entries = append(job.entries, ready.Entries...)
		}
		r.syncingBatches, r.queuedBatches = r.queuedBatches, nil
		if len(job.entries) > 0 {
			job.header = r.core.FileHeader()
			r.disk.countSync(len(job.entries))
			r.disk.start(job)
			return
		}
		r.handleSynced(nil)
		r.collectReady()
	}
}

func (d *disk) countSync(entries int) {
	d.syncs++
	d.entries += entries
	d.largestSync = max(d.largestSync, entries)
}

// startVerification periodically starts a verification of the closed segments. If the last one found a corrupt segment, it starts a rewrite
// of all records from memory instead.
func (r *Replica) startVerification() {
	if !r.stores() || r.disk.busy {
		return
	}
	now := r.clock.Now()
	interval := max(r.config.Core.AntiEntropyIntervalMs, r.config.Core.RetentionMs/verificationsPerRetention)
	switch {
	case r.disk.corruptSegment != "":
		r.disk.corruptSegment = ""
		r.disk.start(diskJob{kind: rewriteJob, entries: r.core.RecordEntries(), header: r.core.FileHeader()})
	case r.disk.verifyAt == 0:
		r.disk.verifyAt = now + interval
	case now >= r.disk.verifyAt:
		r.disk.verifyAt = now + interval
		r.disk.start(diskJob{kind: verifyJob})
	}
}

// startRecovery starts a rewrite of all records after a write has failed, and retries it with backoff.
func (r *Replica) startRecovery() {
	if r.disk == nil || !r.disk.failed || r.disk.busy || r.clock.Now() < r.disk.recoveryRetry.dueAt {
		return
	}
	// The records in memory include every change since the failure, so that the recovery covers all batches up to this one.
	batch := r.core.Ready()
	r.send(batch.Messages)
	r.disk.start(diskJob{kind: recoverJob, entries: r.core.RecordEntries(), header: r.core.FileHeader(), coveredBatch: batch})
}

func (r *Replica) handleRecovered(result diskResult) {
	if result.err != nil {
		r.disk.recoveryRetry.recordFailure(r.clock.Now())
		r.queuedBatches = nil // the next attempt covers them
		r.log.WithError(result.err).Debug("recovery of the data directory failed, will retry")
		return
	}
	r.disk.failed, r.disk.recoveryRetry = false, retryTimer{}
	r.core.RestoreStorage(result.job.coveredBatch)
	r.log.WithField("records", len(result.job.entries)).Info("data directory works again, storing idempotency records")
}

func (r *Replica) handleDiskResult(result diskResult) {
	r.disk.busy = false
	switch {
	case result.job.kind == recoverJob:
		r.handleRecovered(result)
	case result.err != nil:
		r.handleSynced(result.err)
	case result.job.kind == appendJob:
		r.handleSynced(nil)
	case result.job.kind == rewriteJob:
		r.log.WithField("records", len(result.job.entries)).Info("rewrote all idempotency records")
	case result.corruptSegment != "":
		r.disk.corruptSegment = result.corruptSegment
		r.log.WithField("file", result.corruptSegment).Error("segment file is corrupt, rewriting all idempotency records from memory")
	}
}

// handleSynced sends the messages that depend on the batches that are now synced. After a sync error these messages are never sent, and the
// member stores and promises nothing until startRecovery succeeds.
func (r *Replica) handleSynced(err error) {
	synced := r.syncingBatches
	r.syncingBatches = nil
	if err != nil {
		r.log.WithError(err).Error("data directory failed, storing no idempotency records until it works")
		r.core.FailStorage()
		r.disk.failed, r.queuedBatches = true, nil
		r.disk.recoveryRetry.recordFailure(r.clock.Now())
		return
	}
	for _, ready := range synced {
		r.core.Advance(ready)
		r.send(ready.MessagesAfterSync)
	}
}
