package lease

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"mintspring/internal/cluster"
)

// maxIncarnations is the number of incarnations that each contender may have, the first included.
const maxIncarnations = 2

// modelOptions limits the events of a model.
type modelOptions struct {
	contenders, replicas int

	maxEvents   int
	maxTicks    int     // events that advance the time
	tickMillis  float64 // by which each tick advances the time
	ttlMillis   float64
	clockDrifts []float64 // by process, contenders before replicas; 0 for the rest
	maxMessages int       // in flight
	maxRequests int       // of each contender; 0: unlimited

	duplicates bool // messages may be delivered more than once
	releases   bool // contenders may release the lease
	restarts   bool // contenders and replicas may restart
}

// message is a message in flight: a command of a contender to the consensus group, or its result.
type message struct {
	isResult    bool
	contender   int
	incarnation int
	requestID   uint64
	command     Command
	result      Result
}

// modelReplica is a replica that has applied a part of the log.
type modelReplica struct {
	applied int
	state   *State
	expiry  *ExpiryTracker
}

// model is one state of contenders, replicas and the messages between them. It models consensus by its guarantee: one log of commands that each
// replica applies at its own pace. Any replica may append the commands that its tracker reports as due, as if it were the leader.
type model struct {
	options *modelOptions

	now          float64
	ticks        int
	clients      []*Client
	incarnations []int
	log          []Command
	state        *State // with the whole log applied
	replicas     []modelReplica
	messages     []message

	highestToken Token   // under which a contender has acted
	lastActor    Process // that acted under highestToken
}

// event is a transition from one state of the model to the next.
type event struct {
	description string
	apply       func(m *model)
}

const modelLease = "task"

func newModel(options *modelOptions) *model {
	m := &model{options: options, state: NewState()}
	for i := range options.contenders {
		m.clients = append(m.clients, m.newClient(i, 1))
		m.incarnations = append(m.incarnations, 1)
	}
	for range options.replicas {
		m.replicas = append(m.replicas, modelReplica{state: NewState(), expiry: NewExpiryTracker()})
	}
	return m
}

func (m *model) newClient(contender, incarnation int) *Client {
	p := Process{Node: cluster.NodeID(contender), Incarnation: cluster.Incarnation(incarnation)}
	return NewClient(modelLease, p, m.options.ttlMillis)
}

// clockOf returns the time on the clock of a process. Processes are numbered with the contenders first, then the replicas.
func (m *model) clockOf(process int) float64 {
	drift := 0.0
	if process < len(m.options.clockDrifts) {
		drift = m.options.clockDrifts[process]
	}
	return m.now * (1 + drift)
}

func (m *model) replicaClock(replica int) float64 { return m.clockOf(len(m.clients) + replica) }

func cloneState(s *State) *State {
	clone := &State{LastToken: s.LastToken, Leases: map[string]*Lease{}}
	for name, l := range s.Leases {
		c := *l
		c.Waiters, c.ExpiredHolders, c.Progress = slices.Clone(l.Waiters), slices.Clone(l.ExpiredHolders), slices.Clone(l.Progress)
		clone.Leases[name] = &c
	}
	return clone
}

func cloneTracker(t *ExpiryTracker) *ExpiryTracker {
	return &ExpiryTracker{observed: maps.Clone(t.observed)}
}

// clone returns a copy that events may change. It shares the clients, states and trackers with m: events replace these by changed copies.
func (m *model) clone() *model {
	clone := *m
	clone.clients = slices.Clone(m.clients)
	clone.incarnations = slices.Clone(m.incarnations)
	clone.replicas = slices.Clone(m.replicas)
	clone.messages = slices.Clone(m.messages)
	clone.log = slices.Clip(m.log)
	return &clone
}

// mutableClient replaces the client of a contender by a copy, and returns the copy for an event to change.
func (m *model) mutableClient(contender int) *Client {
	c := *m.clients[contender]
	c.sentAt = maps.Clone(c.sentAt)
	m.clients[contender] = &c
	return &c
}

// commit appends a command to the log and returns its result.
func (m *model) commit(c Command) Result {
	m.log = append(m.log, c)
	m.state = cloneState(m.state)
	return m.state.Apply(c)
}

// key returns a string that differs between states from which different events can follow.
func (m *model) key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v|%d|%v|", m.now, m.highestToken, m.lastActor)
	for i, c := range m.clients {
		fmt.Fprintf(&b, "%d,%d,%d,%v,%d,%d;", m.incarnations[i], c.token, c.releasedToken, c.validUntil, c.lastRequestID, len(c.sentAt))
		for id := uint64(1); id <= c.lastRequestID; id++ {
			if at, pending := c.sentAt[id]; pending {
				fmt.Fprintf(&b, "%d@%v ", id, at)
			}
		}
	}
	for _, c := range m.log {
		fmt.Fprintf(&b, "/%d,%d,%d,%d,%d", c.Kind, c.Process.Node, c.Process.Incarnation, c.Token, c.Renewals)
	}
	for _, r := range m.replicas {
		o := r.expiry.observed[modelLease]
		fmt.Fprintf(&b, "|%d,%d,%v,%v", r.applied, o.renewals, o.held, o.sinceMillis)
	}
	messages := make([]string, 0, len(m.messages))
	for _, msg := range m.messages {
		messages = append(messages, fmt.Sprint(msg.isResult, msg.contender, msg.incarnation, msg.requestID, msg.command.Kind, msg.command.Token,
			msg.result.OK, msg.result.Token, msg.result.Held, msg.result.Holder))
	}
	slices.Sort(messages)
	b.WriteString(strings.Join(messages, "&"))
	return b.String()
}

// violation returns a description of the invariant that the state violates, or "". It records the highest token under which a contender acts.
func (m *model) violation() string {
	acting := -1
	for i, c := range m.clients {
		if !c.MayAct(m.clockOf(i), 0) {
			continue
		}
		if acting >= 0 {
			return fmt.Sprintf("contenders %d and %d may both act at %.0f ms, under tokens %d and %d", acting, i, m.now, m.clients[acting].token, c.token)
		}
		acting = i
		if c.token < m.highestToken || c.token == m.highestToken && c.Process != m.lastActor {
			return fmt.Sprintf("contender %d may act under token %d at %.0f ms, after another contender acted under token %d", i, c.token, m.now, m.highestToken)
		}
		m.highestToken, m.lastActor = c.token, c.Process
	}
	return ""
}

// events returns all events that may happen next.
func (m *model) events() []event {
	var all []event
	if m.ticks < m.options.maxTicks {
		all = append(all, event{fmt.Sprintf("%.0f ms pass", m.options.tickMillis), func(m *model) {
			m.now += m.options.tickMillis
			m.ticks++
		}})
	}
	for i := range m.clients {
		all = append(all, m.contenderEvents(i)...)
	}
	for k := range m.messages {
		all = append(all, m.deliveryEvents(k)...)
	}
	for k := range m.replicas {
		all = append(all, m.replicaEvents(k)...)
	}
	return all
}

func (m *model) contenderEvents(i int) []event {
	var all []event
	canSend := len(m.messages) < m.options.maxMessages && (m.options.maxRequests == 0 || m.clients[i].lastRequestID < uint64(m.options.maxRequests))
	if canSend {
		all = append(all, event{fmt.Sprintf("contender %d sends a request", i), func(m *model) {
			id, c := m.mutableClient(i).NextRequest(m.clockOf(i))
			m.messages = append(m.messages, message{contender: i, incarnation: m.incarnations[i], requestID: id, command: c})
		}})
	}
	if canSend && m.options.releases && m.clients[i].MayAct(m.clockOf(i), 0) {
		all = append(all, event{fmt.Sprintf("contender %d releases the lease", i), func(m *model) {
			c := m.mutableClient(i).Release()
			m.messages = append(m.messages, message{contender: i, incarnation: m.incarnations[i], command: c})
		}})
	}
	if m.options.restarts && m.incarnations[i] < maxIncarnations {
		all = append(all, event{fmt.Sprintf("contender %d restarts", i), func(m *model) {
			m.incarnations[i]++
			m.clients[i] = m.newClient(i, m.incarnations[i])
		}})
	}
	return all
}

// deliveryEvents returns the deliveries of a message. With duplicates, one of them leaves the message in flight to be delivered again.
func (m *model) deliveryEvents(k int) []event {
	msg := m.messages[k]
	description := fmt.Sprintf("the group commits command %d of contender %d", msg.command.Kind, msg.contender)
	if msg.isResult {
		description = fmt.Sprintf("contender %d receives the result of request %d", msg.contender, msg.requestID)
	}
	all := []event{{description, func(m *model) {
		m.messages = slices.Delete(m.messages, k, k+1)
		m.deliver(msg)
	}}}
	if m.options.duplicates {
		all = append(all, event{description + ", and the message stays in flight", func(m *model) { m.deliver(msg) }})
	}
	return all
}

func (m *model) deliver(msg message) {
	if msg.isResult {
		// A later incarnation of the contender receives the result too: it has the same address, and may have a pending request with the same ID.
		m.mutableClient(msg.contender).HandleResult(msg.requestID, msg.result)
		return
	}
	r := m.commit(msg.command)
	if msg.requestID > 0 && len(m.messages) < m.options.maxMessages+1 {
		m.messages = append(m.messages, message{isResult: true, contender: msg.contender, incarnation: msg.incarnation, requestID: msg.requestID, result: r})
	}
}

func (m *model) replicaEvents(k int) []event {
	var all []event
	r := m.replicas[k]
	if r.applied < len(m.log) {
		all = append(all, event{fmt.Sprintf("replica %d applies the log", k), func(m *model) {
			r := &m.replicas[k]
			r.state, r.expiry = cloneState(r.state), cloneTracker(r.expiry)
			for ; r.applied < len(m.log); r.applied++ {
				r.state.Apply(m.log[r.applied])
			}
			r.expiry.Observe(m.replicaClock(k), r.state)
		}})
	}
	if due := cloneTracker(r.expiry).DueCommands(m.replicaClock(k), r.state); len(due) > 0 {
		all = append(all, event{fmt.Sprintf("replica %d, as the leader or a former one, commits %d due commands", k, len(due)), func(m *model) {
			r := &m.replicas[k]
			r.expiry = cloneTracker(r.expiry)
			for _, c := range r.expiry.DueCommands(m.replicaClock(k), r.state) {
				m.commit(c)
			}
		}})
	}
	if m.options.restarts && len(m.log) > 0 {
		all = append(all, event{fmt.Sprintf("replica %d restarts", k), func(m *model) {
			r := &m.replicas[k]
			r.expiry = NewExpiryTracker()
			r.expiry.Observe(m.replicaClock(k), r.state)
		}})
	}
	return all
}
