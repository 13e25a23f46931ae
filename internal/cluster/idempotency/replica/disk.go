package replica

import (
	"os"
	"time"

	"mintspring/internal/clock"
	"mintspring/internal/cluster/idempotency"
	"mintspring/internal/cluster/idempotency/storage"
)

// verificationsPerRetention is how many times the closed segments are read again, at most, while a record is retained.
const verificationsPerRetention = 8

// diskJobKind is what the disk has to do.
type diskJobKind uint8

const (
	appendJob  diskJobKind = iota // append and sync entries
	verifyJob                     // read the closed segments again
	rewriteJob                    // write all records into another segment
	recoverJob                    // the same after a write has failed
)

// diskJob is one job for the disk's goroutine.
type diskJob struct {
	kind            diskJobKind
	entries, header [][]byte
	covers          idempotency.Ready // of recoverJob: the last batch before its entries were collected
}

// diskResult is what became of a job.
type diskResult struct {
	job            diskJob
	err            error
	corruptSegment string // of verifyJob: the path of a segment that does not hold what was written
}

// disk runs jobs on the data directory on a goroutine of its own, one at a time. All fields but the channels belong to the member's goroutine, and the
// store to whichever has the job.
type disk struct {
	store   *storage.Store
	jobs    chan diskJob
	results chan diskResult

	busy           bool // there is a job
	failed         bool // a write has failed, and nothing is stored until a recovery has succeeded
	recovery       retryTimer
	verifyAt       float64 // when the next verifyJob is due; 0: not set yet
	corruptSegment string  // a rewriteJob is due

	syncs       int // appendJobs
	entries     int // that these had
	largestSync int
}

// openDisk opens the data directory, if there is one, and returns what it holds. One that cannot be used is logged.
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

// CheckDataDir opens the data directory and closes it again.
func (c *Config) CheckDataDir() error {
	store, err := c.openStore(idempotency.NewStoredState())
	if err == nil {
		store.Close()
	}
	return err
}

// DataDirError returns why the data directory could not be opened at the start; nil: it was, or there is none.
func (r *Replica) DataDirError() error { return r.dataDirErr }

// stores reports whether the member stores records.
func (r *Replica) stores() bool { return r.disk != nil && !r.disk.failed }

// recovering reports whether all records are being written anew after a failure. What has to be stored meanwhile waits for that.
func (r *Replica) recovering() bool { return r.disk != nil && r.disk.failed && r.disk.busy }

// loop runs jobs until there will be no more.
func (d *disk) loop() {
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

// resultsOf returns the channel of results, nil without a disk.
func (d *disk) resultsOf() <-chan diskResult {
	if d == nil {
		return nil
	}
	return d.results
}

func (d *disk) start(job diskJob) {
	d.busy = true
	d.jobs <- job
}

// close waits for the job under way, ends the goroutine and closes the data directory.
func (d *disk) close() {
	if d.busy {
		<-d.results
	}
	close(d.jobs)
	d.store.Close()
}

// startSync hands all batches that wait to the disk, if it is idle. Batches without entries wait for those before them alone, which are synced then.
func (r *Replica) startSync() {
	for r.stores() && !r.disk.busy && len(r.unsynced) > 0 {
		job := diskJob{kind: appendJob}
		for _, ready := range r.unsynced {
			job.entries = append(job.entries, ready.Entries...)
		}
		r.syncing, r.unsynced = r.unsynced, nil
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

// startVerification has closed segments read again now and then, and all records written again from memory where one is corrupt.
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

// startRecovery has all records written anew, now and then, after a write has failed.
func (r *Replica) startRecovery() {
	if r.disk == nil || !r.disk.failed || r.disk.busy || r.clock.Now() < r.disk.recovery.dueAt {
		return
	}
	// What was to be stored since the failure is in memory. This batch has the number up to which all is covered.
	covers := r.core.Ready()
	r.send(covers.Messages)
	r.disk.start(diskJob{kind: recoverJob, entries: r.core.RecordEntries(), header: r.core.FileHeader(), covers: covers})
}

func (r *Replica) handleRecovered(result diskResult) {
	if result.err != nil {
		r.disk.recovery.failed(r.clock.Now())
		r.unsynced = nil // the next attempt covers it
		r.log.WithError(result.err).Debug("data directory still fails")
		return
	}
	r.disk.failed, r.disk.recovery = false, retryTimer{}
	r.core.RestoreStorage(result.job.covers)
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

// handleSynced sends what waited for the batches that are synced now. After an error the member stores and promises nothing until its data
// directory works again (startRecovery). What waited for the sync that failed is never sent.
func (r *Replica) handleSynced(err error) {
	synced := r.syncing
	r.syncing = nil
	if err != nil {
		r.log.WithError(err).Error("data directory failed, storing no idempotency records until it works")
		r.core.FailStorage()
		r.disk.failed, r.unsynced = true, nil
		r.disk.recovery.failed(r.clock.Now())
		return
	}
	for _, ready := range synced {
		r.core.Advance(ready)
		r.send(ready.MessagesAfterSync)
	}
}
