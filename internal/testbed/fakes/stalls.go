package fakes

import (
	"bytes"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"
)

const (
	// slowResponsePieces is the number of pieces in which a slow response is written.
	slowResponsePieces = 4
	// slowReadSize is how many bytes of a command a server reads at a time while it reads slowly.
	slowReadSize = 16 << 10
	// respValueEnd is the length of the line end behind a value in RESP.
	respValueEnd = 2
	// pauseStream is the PCG stream of pauses, which keeps them independent of other random numbers with the same seed.
	pauseStream = 43
)

// piece is a part of a response that is written after a pause.
type piece struct {
	bytes []byte
	pause time.Duration
}

// splitSlowly splits a response into pieces with pauses between them.
func splitSlowly(response []byte, pause time.Duration) []piece {
	pieces := make([]piece, slowResponsePieces)
	for i := range pieces {
		from, to := i*len(response)/slowResponsePieces, (i+1)*len(response)/slowResponsePieces
		pieces[i] = piece{bytes: response[from:to], pause: pause}
	}
	pieces[0].pause = 0
	return pieces
}

// responsePause returns for how long a response pauses, and how much of it is written before; 0: it does not pause. Both depend on the request alone,
// so that another attempt at another server pauses for as long.
func (f *Faults) responsePause(requestID string, response []byte, value string) (pause time.Duration, written int) {
	if f.Paused == 0 || value == "" {
		return 0, 0
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, requestID) // writing to a hash never fails
	rng := rand.New(rand.NewPCG(hash.Sum64(), pauseStream))
	if rng.Float64() >= f.Paused {
		return 0, 0
	}
	head := bytes.Index(response, []byte(value))
	return msDuration(f.PauseMs * rng.Float64()), []int{head, head, 1 + rng.IntN(head)}[rng.IntN(3)]
}

// drawStallPoint draws how much of a response is written before its server falls silent: the head, with or without the first byte of the value;
// half of it; all of the value but its last byte; or, in RESP, the value and some of what follows it.
func drawStallPoint(rng *rand.Rand, response []byte, value string) int {
	start := bytes.Index(response, []byte(value))
	if value == "" || start < 0 {
		return len(response) / 2
	}
	end := start + len(value)
	points := []int{start, start, start + 1, len(response) / 2, end - 1, min(end, len(response)-1), min(end+respValueEnd, len(response)-1)}
	return points[rng.IntN(len(points))]
}

// slowReader reads commands, those of many bytes with pauses between pieces while the server's fault SlowReads is active.
type slowReader struct {
	reader io.Reader
	server *Server
	closed <-chan struct{} // of the connection
	filled bool            // the last read returned as much as it could: more of the command has probably arrived
	paused float64         // ms of pauses within the current command
}

// Read implements io.Reader.
func (r *slowReader) Read(b []byte) (int, error) {
	pause := r.server.drawReadPause()
	if pause > 0 && r.filled {
		begunMs := NowMs()
		select {
		case <-time.After(pause):
		case <-r.closed:
		}
		r.paused += NowMs() - begunMs
	}
	limit := len(b)
	if pause > 0 {
		limit = min(limit, slowReadSize)
	}
	n, err := r.reader.Read(b[:limit])
	r.filled = n == limit
	return n, err
}

// takePaused returns the ms of pauses within the command that was just read, and resets them for the next command.
func (r *slowReader) takePaused() float64 {
	paused := r.paused
	r.paused = 0
	return paused
}

// drawReadPause draws the pause before the next read of a command; 0: none.
func (s *Server) drawReadPause() time.Duration {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.faults.SlowReads == 0 || f.rng.Float64() >= s.faults.SlowReads {
		return 0
	}
	return msDuration(s.faults.PauseMs)
}
