package rig

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mintspring/model"
	"mintspring/rig/audit"
	"mintspring/standin"
)

// Query is one first try with all that came of it. Times are Unix ms.
type Query struct {
	Due      float64 // when it was to be sent
	Done     float64
	Workload int
	Tenant   int
	Key      string
	Tries    int
	Kind     audit.Kind // of the last try
	InSLO    bool
	Late     float64 // how much later than due the rig sent it
}

// load is the clients of one run.
type load struct {
	x     *Experiment
	front *front
	rate  atomic.Uint64 // bits of the multiple that steps set

	keys  []string
	zipf  []float64 // share of the keys up to each
	work  []float64 // share of the workloads up to each
	tens  []float64
	bytes string

	mu      sync.Mutex
	tries   []audit.Try
	queries []Query
	running sync.WaitGroup
}

func newLoad(x *Experiment, f *front, seed uint64) *load {
	l := &load{x: x, front: f, bytes: strings.Repeat("v", x.Load.Bytes)}
	l.scale(1)
	rng := rand.New(rand.NewPCG(seed, 11))
	sum := 0.0
	for i := range x.Load.Keys {
		l.keys = append(l.keys, fmt.Sprintf("%016x", rng.Uint64()))
		sum += 1 / math.Pow(float64(i+1), x.Load.Zipf)
		l.zipf = append(l.zipf, sum)
	}
	total := 0.0
	for _, w := range x.Workloads {
		total += w.Share
		l.work = append(l.work, total)
	}
	total = 0
	for _, t := range x.Tenants {
		total += t.Share
		l.tens = append(l.tens, total)
	}
	return l
}

func (l *load) scale(times float64) { l.rate.Store(math.Float64bits(times)) }

// pick finds the place of a draw among shares that add up.
func pick(sums []float64, u float64) int {
	i := sort.SearchFloat64s(sums, u*sums[len(sums)-1])
	return min(i, len(sums)-1)
}

// run sends queries until the end, and returns when all have come to theirs. Arrivals wait for no answer.
func (l *load) run(from, until time.Time, seed uint64, progress func(done float64)) {
	rng := rand.New(rand.NewPCG(seed, 13))
	due := from
	for n := uint64(0); ; n++ {
		rate := l.x.Load.Rate * math.Float64frombits(l.rate.Load())
		due = due.Add(time.Duration(rng.ExpFloat64() / rate * 1e9))
		if due.After(until) {
			break
		}
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		if progress != nil && n%64 == 0 {
			progress(float64(due.Sub(from)) / float64(until.Sub(from)))
		}
		q := Query{Due: float64(due.UnixNano()) / 1e6, Workload: pick(l.work, rng.Float64()), Tenant: pick(l.tens, rng.Float64()),
			Key: l.keys[pick(l.zipf, rng.Float64())]}
		q.Late = standin.Now() - q.Due
		mine := rand.New(rand.NewPCG(seed, n+1<<20))
		l.running.Add(1)
		go func() {
			defer l.running.Done()
			l.play(&q, n, mine)
			l.mu.Lock()
			l.queries = append(l.queries, q)
			l.mu.Unlock()
		}()
	}
	l.running.Wait()
}

// play sends a query and, where its workload allows that, its retries.
func (l *load) play(q *Query, n uint64, rng *rand.Rand) {
	w := &l.x.Workloads[q.Workload]
	mark := ""
	if w.effect == audit.Deduplicated {
		mark = fmt.Sprintf("m%08x%016x", n, rng.Uint64())
	}
	firstSent := standin.Now()
	for try := 0; ; try++ {
		q.Tries++
		t, a := l.try(q, w, mark, try, rng)
		q.Done, q.Kind = standin.Now(), t.Kind
		if t.Kind == audit.Completed {
			q.InSLO = q.Done-q.Due <= w.SLO.Ms()
			return
		}
		again := t.Kind == audit.Rejected || w.effect == audit.Idempotent || t.Sent == 0 ||
			w.effect == audit.Deduplicated && q.Done-firstSent < w.DedupSpan.Ms()/2
		if !again || try >= l.x.Load.Retries {
			return
		}
		wait := l.x.Load.RetryWait.Ms() * (0.5 + rng.Float64())
		if a.Wait > 0 && l.x.Load.Honour {
			wait = a.Wait
		}
		time.Sleep(time.Duration(wait * 1e6))
	}
}

// try sends one query once. A connection that the node closed while the query crossed it is no loss: the client sends
// it once more on a new one.
func (l *load) try(q *Query, w *WorkloadPart, mark string, try int, rng *rand.Rand) (audit.Try, answer) {
	limit := w.Timeout.Ms() * l.x.Load.TryShare
	o := order{Key: q.Key, ID: fmt.Sprintf("%016x", rng.Uint64()), Write: w.Write,
		Extra: fmt.Sprintf("c=%s,t=%s,d=%d", w.Name, l.x.Tenants[q.Tenant].Name, int(limit))}
	if mark != "" {
		o.Extra += ",k=" + mark
	}
	if try > 0 && l.x.Load.MarkRetries {
		o.Extra += ",r=1"
	}
	if w.Write {
		o.Value = l.bytes
	}
	t := audit.Try{ID: o.ID, Mark: mark, Effect: w.effect, Span: w.DedupSpan.Ms()}
	var a answer
	for attempt := 0; attempt < 4; attempt++ {
		no, c, err := l.front.take(attempt > 0)
		if err != nil {
			continue // the node is dead, or the machine short of ports: nothing was sent
		}
		start := time.Now()
		var sent, answered float64
		a, sent, answered, err = c.ask(o, start.Add(time.Duration((limit+300)*1e6)))
		t.Node = model.NodeID(no)
		if sent == 0 {
			c.net.Close()
			l.front.failed(no)
			continue
		}
		t.Sent, t.Deadline = sent, sent+limit
		if err != nil {
			c.net.Close()
			timedOut := errors.Is(err, os.ErrDeadlineExceeded)
			// A node that was killed may have carried the query on; one that is up has closed between two queries.
			if !timedOut && c.used && attempt == 0 && lives(l.front.addrs[no]) {
				continue
			}
			if !timedOut {
				l.front.failed(no)
			}
			break
		}
		t.Kind, t.Answered = a.Kind, answered
		t.More = c.r.Buffered() > 0
		t.Foreign = a.Kind == audit.Completed && !strings.HasPrefix(a.Value, q.Key+"|")
		l.front.give(no, c, t.More || l.x.Load.Connections == "drop")
		break
	}
	if t.Sent > 0 {
		l.mu.Lock()
		l.tries = append(l.tries, t)
		l.mu.Unlock()
	}
	return t, a
}

// front deals clients' connections out to nodes, and notices after a while that one is dead.
type front struct {
	addrs  []string
	notice time.Duration

	mu   sync.Mutex
	next int
	dead []time.Time // since when a node seems to be; zero: it does not
	asks []bool      // it is being asked whether it is back
	out  []bool      // it has said no: nothing new is opened to it, and what is open stays in use
	idle [][]*client
}

func newFront(addrs []string, notice time.Duration) *front {
	return &front{addrs: addrs, notice: notice, dead: make([]time.Time, len(addrs)),
		asks: make([]bool, len(addrs)), out: make([]bool, len(addrs)), idle: make([][]*client, len(addrs))}
}

// take gives a connection to the node whose turn it is.
func (f *front) take(anew bool) (int, *client, error) {
	f.mu.Lock()
	no := f.next % len(f.addrs)
	for range f.addrs {
		if no = f.next % len(f.addrs); f.out[no] && (anew || len(f.idle[no]) == 0) {
			f.next++
			continue
		}
		if f.dead[no].IsZero() || time.Since(f.dead[no]) < f.notice {
			break
		}
		f.next++
		if !f.asks[no] {
			f.asks[no] = true
			go f.look(no)
		}
	}
	f.next++
	var c *client
	if k := len(f.idle[no]); k > 0 && !anew {
		c = f.idle[no][k-1]
		f.idle[no] = f.idle[no][:k-1]
	}
	f.mu.Unlock()
	if c != nil {
		return no, c, nil
	}
	c, err := dial(f.addrs[no])
	if err != nil {
		f.failed(no)
	}
	return no, c, err
}

// use has a node used again, or not any more.
func (f *front) use(no int, is bool) {
	f.mu.Lock()
	f.out[no] = !is
	f.mu.Unlock()
}

// look asks a dead node whether it is back.
func (f *front) look(no int) {
	back := pings(f.addrs[no])
	if !back {
		time.Sleep(50 * time.Millisecond)
	}
	f.mu.Lock()
	if f.asks[no] = false; back {
		f.dead[no] = time.Time{}
	}
	f.mu.Unlock()
}

func (f *front) failed(no int) {
	f.mu.Lock()
	if f.dead[no].IsZero() {
		f.dead[no] = time.Now()
	}
	for _, c := range f.idle[no] {
		c.net.Close()
	}
	f.idle[no] = nil
	f.mu.Unlock()
}

func (f *front) give(no int, c *client, drop bool) {
	c.used = true
	f.mu.Lock()
	f.dead[no] = time.Time{}
	if !drop {
		f.idle[no] = append(f.idle[no], c)
	}
	f.mu.Unlock()
	if drop {
		if tcp, ok := c.net.(*net.TCPConn); ok {
			tcp.SetLinger(0) // a port in TIME_WAIT for each query would run out of them
		}
		c.net.Close()
	}
}

func (f *front) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, cs := range f.idle {
		for _, c := range cs {
			c.net.Close()
		}
	}
}
