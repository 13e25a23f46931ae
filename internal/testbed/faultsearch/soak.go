package faultsearch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mintspring/internal/config/tomlfile"
	"mintspring/internal/testbed/experiment"
)

// Streams separate the random numbers of soak runs from others under the same seed, and those of what operators do from the rest.
const (
	soakStream      = 37
	operationStream = 38
	systemStream    = 39
)

// Sizes and times of a soak run. It is played with real processes, several at a time.
const (
	soakSettle         = 1500 * time.Millisecond
	soakLength         = 9 * time.Second
	soakFirstFault     = 300 * time.Millisecond
	soakLastFault      = 5500 * time.Millisecond
	soakHoldUp         = 150 * time.Millisecond // the longest that the protocol's page allows for
	soakKeys           = 200
	soakValueBytes     = 80
	soakHorizon        = 4 * time.Second // what a stop, and the start after it, take together at most
	soakStandby        = 4800 * time.Millisecond
	lastStandby        = 1500 * time.Millisecond // when it begins at the latest, so that its end is seen too
	lastTakeover       = 4500 * time.Millisecond
	soakOriginFailures = 0.3
	soakCrowd          = 300                   // connections, which is more than a node has descriptors
	soakStartup        = 80 * time.Millisecond // about what a successor takes until it serves
	operationsIn       = 3                     // one run in so many has operators that do more than stop nodes
)

// signalPauses are the times between two signals of a series.
var signalPauses = []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond}

// soakServerFaults and soakSystemFaults are the faults beside which nodes are signalled.
var (
	soakServerFaults = []string{"kill", "replace", "drain", "halt", "halt", "slow", "reset", "refuse", "cut", "errors", "resets", "half_answers", "spoilt", "lost_answers"}
	soakSystemFaults = []string{"discovery_down", "discovery_silent", "discovery_late", "discovery_moves", "discovery_anew", "server_clocks"}
)

// GenerateSoak returns the soak run of a seed: a small fleet whose nodes are stopped and started, signalled in series and held up, while
// servers and the discovery service have faults, and clients go on using their connections until these end. Nothing but its rules is
// expected of it.
func GenerateSoak(seed uint64) (*experiment.Experiment, error) {
	s := sampler{rand.New(rand.NewPCG(seed, soakStream))}
	x := &experiment.Experiment{
		Name: fmt.Sprint("soak-", seed), About: "A soak run.", Seed: seed,
		Settle: tomlfile.Duration(soakSettle), Length: tomlfile.Duration(soakLength),
	}
	s.soakFleet(x)
	operations := sampler{rand.New(rand.NewPCG(seed, operationStream))}
	operated := operations.IntN(operationsIn) == 0
	for node := range x.Nodes.Count {
		if operated {
			operations.soakOperations(x, node)
		} else {
			s.soakStops(x, node)
		}
	}
	for range 2 + s.IntN(4) {
		x.Steps = append(x.Steps, s.soakServerFault(x))
	}
	for range s.IntN(3) {
		x.Steps = append(x.Steps, s.soakSystemFault())
	}
	slices.SortStableFunc(x.Steps, func(a, b experiment.Step) int { return cmp.Compare(a.Time, b.Time) })
	return normalize(x)
}

// soakFaultPlans are faults of system calls beside which soak runs can be played, in the form of syscalltrace.ParseFaultPlan: those that
// Linux documents for sockets, once in a while or for a moment.
var soakFaultPlans = []string{
	"calls=accept,errno=ECONNABORTED,share=0.05",
	"calls=accept,errno=ENFILE,from=2s,for=300ms,every=2s",
	"calls=accept,errno=ENOBUFS,share=0.05",
	"calls=connect+socket,errno=ENOBUFS,share=0.05",
	"calls=connect,errno=EADDRNOTAVAIL,from=2s,for=700ms,every=2s",
	"calls=socket,errno=EMFILE,from=2s,for=700ms,every=2s",
	"calls=connect,errno=ENETUNREACH,from=2s,for=700ms,every=2s",
	"calls=connect+socket,errno=ENFILE,for=400ms,every=2s", // also as a process starts
	"calls=open,errno=EMFILE,path=node-,for=300ms,every=1s",
	"calls=read+write,errno=short,share=0.2",
	"calls=read+write,errno=EINTR,share=0.05",
	"calls=wait,errno=EINTR,share=0.05",
	"calls=server-read,errno=ETIMEDOUT,share=0.005",
	"calls=server-read,errno=EHOSTUNREACH,share=0.005",
	"calls=server-write,errno=ENOBUFS,share=0.01",
}

// SoakFaultPlan returns the plan of failing system calls of a seed.
func SoakFaultPlan(seed uint64) string {
	s := sampler{rand.New(rand.NewPCG(seed, systemStream))}
	return fmt.Sprintf("%s,seed=%d", soakFaultPlans[s.IntN(len(soakFaultPlans))], seed)
}

// soakFleet draws the fleet, the classes of requests and the load.
func (s sampler) soakFleet(x *experiment.Experiment) {
	x.Fleet.Zones = []string{"a", "b"}[:1+s.IntN(2)]
	group := experiment.ServerGroup{Count: 3 + s.IntN(4)}
	group.Cores, group.CacheObjects, group.MaxConnections = 4, soakKeys/2, 200
	group.WarmWithin = tomlfile.Duration(6 * time.Second)
	x.Fleet.Groups = []experiment.ServerGroup{group}
	x.Fleet.Origin.Cores = 8
	x.Fleet.DiscoveryDelay = ms(20 + 400*s.Float64())
	x.Nodes.Count = 2 + s.IntN(2)
	x.Nodes.Sockets = 256
	x.Rules.Hedging = s.IntN(2) == 0
	x.Rules.DrainGrace = ms(300 + 400*s.Float64())
	x.Load.Rate, x.Load.Keys, x.Load.ValueBytes, x.Load.Retries = 60+s.Float64()*120, soakKeys, soakValueBytes, s.IntN(3)
	x.Load.WarmCaches = true
	x.Load.PersistentClients = 4 + s.IntN(12)
	x.Load.EarlyCloseShare = roundToMilli(0.4 * s.Float64())
	x.Classes = s.soakClasses()
}

// soakClasses draws classes of each effect. Deadlines are short in two runs of three.
func (s sampler) soakClasses() []experiment.ClassConfig {
	longest := []float64{350, 800, 2500}[s.IntN(3)]
	class := func(name string, share float64, effect string, write bool) experiment.ClassConfig {
		timeout := longest * (0.6 + 0.4*s.Float64())
		return experiment.ClassConfig{
			Name: name, Share: share, Effect: effect, Write: write, PriorityWeight: 1 + float64(s.IntN(3)),
			LatencyObjective: ms(timeout / 3), Timeout: ms(timeout), CacheWork: ms(2 + 4*s.Float64()), OriginWork: ms(4 + 10*s.Float64()),
			CostSpread: costSpread,
		}
	}
	note := class("note", 0.15, "deduplicated", s.IntN(2) == 0)
	note.DedupWindow = ms(500 + 3000*s.Float64())
	return []experiment.ClassConfig{
		class("read", 0.6, "idempotent", false), note, class("sale", 0.15, "non-idempotent", s.IntN(2) == 0),
		class("touch", 0.1, "idempotent", true),
	}
}

// soakStops draws, for one node, a stop among a series of signals, hold-ups within it, and perhaps a crowd of connections.
func (s sampler) soakStops(x *experiment.Experiment, node int) {
	at := soakFirstFault + time.Duration(s.Int64N(int64(soakLastFault-soakFirstFault)))
	add := func(action string, at time.Duration, value float64, late time.Duration) {
		x.Steps = append(x.Steps, experiment.Step{
			Time: tomlfile.Duration(at).Round(time.Millisecond), Action: action, Node: &node, Value: value, Delay: tomlfile.Duration(late),
		})
	}
	for range s.IntN(3) { // before the stop, within milliseconds of it or long before
		add([]string{"hangup_node", "spoil_node"}[s.IntN(2)], max(soakFirstFault, at-signalPauses[s.IntN(len(signalPauses))]), 0, 0)
	}
	if s.IntN(4) == 0 {
		add("crowd_node", max(soakFirstFault, at-300*time.Millisecond), soakCrowd, soakHorizon)
	}
	if s.IntN(5) == 0 { // killed outright, and back
		add("kill_node", at, 0, 0)
		add("start_node", at+50*time.Millisecond, 0, 0)
		return
	}
	if s.IntN(2) == 0 {
		x.Steps = append(x.Steps, s.soakHang(at)...)
	}
	add("stop_node", at, 0, 0)
	for range s.IntN(3) {
		add("hangup_node", at+signalPauses[s.IntN(len(signalPauses))], 0, 0)
	}
	for _, holdAt := range s.soakHoldUps(at, time.Second) {
		add("hold_node", holdAt, 0, soakHoldUp)
	}
	add("start_node", at+time.Millisecond, 0, 0) // once it has ended
}

// soakOperations draws what operators do to one node: it is replaced by other processes, one after the other, or put on standby and called
// back; meanwhile it gets other settings and bad ones, and leaves out a server.
func (s sampler) soakOperations(x *experiment.Experiment, node int) {
	add := func(action string, at time.Duration, duration tomlfile.Duration) *experiment.Step {
		x.Steps = append(x.Steps, experiment.Step{Time: tomlfile.Duration(at).Round(time.Millisecond), Action: action, Node: &node, Duration: duration})
		return &x.Steps[len(x.Steps)-1]
	}
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(s.Int64N(int64(to-from))) }
	at := between(soakFirstFault, lastTakeover)
	if s.IntN(3) == 0 {
		at = between(soakFirstFault, lastStandby)
		add("standby_node", at, tomlfile.Duration(soakStandby))
	} else {
		for i := range 1 + s.IntN(3) { // one waits for the one before
			add("replace_node", at+time.Duration(i)*signalPauses[s.IntN(len(signalPauses))], 0)
		}
	}
	if s.IntN(2) == 0 {
		retuneAt := max(soakFirstFault, at+between(-time.Second, time.Second))
		add("retune_node", retuneAt, ms(1500+2000*s.Float64()))
		x.Steps = append(x.Steps, experiment.Step{ // writes fail that may be repeated before, and not after
			Time: tomlfile.Duration(retuneAt).Round(time.Millisecond), Action: []string{"errors", "resets"}[s.IntN(2)], Server: "origin",
			Value: soakOriginFailures, Duration: tomlfile.Duration(soakStandby),
		})
	}
	for range s.IntN(3) {
		add([]string{"hangup_node", "spoil_node"}[s.IntN(2)], max(soakFirstFault, at+between(-time.Second, time.Second)), 0)
	}
	for _, holdAt := range s.soakHoldUps(at, []time.Duration{soakStartup, time.Second}[s.IntN(2)]) {
		add("hold_node", holdAt, 0).Delay = tomlfile.Duration(soakHoldUp)
	}
	for range s.IntN(3) {
		step := add("exclude", max(soakFirstFault, at+between(-2*time.Second, time.Second)), ms(1000+3000*s.Float64()))
		step.Server = fmt.Sprint("box-", s.IntN(x.CacheCount()))
	}
	if s.IntN(3) == 0 {
		step := add("crowd_node", max(soakFirstFault, at+between(-time.Second, soakStartup)), 0)
		step.Value, step.Delay = soakCrowd, tomlfile.Duration(soakHorizon)
	}
}

// soakHoldUps draws when a node is held up within a time, twice at most. Between two of these it runs for as long as it stood still: one
// right after the other would be a longer one than the protocol's page allows for.
func (s sampler) soakHoldUps(from time.Duration, within time.Duration) (times []time.Duration) {
	for range s.IntN(3) {
		times = append(times, from+time.Duration(s.Int64N(int64(within))))
	}
	slices.Sort(times)
	if len(times) == 2 {
		times[1] = max(times[1], times[0]+2*soakHoldUp)
	}
	return times
}

// soakHang has caches and the origin hang through the whole of a stop.
func (s sampler) soakHang(stopAt time.Duration) []experiment.Step {
	at := tomlfile.Duration(max(soakFirstFault, stopAt-200*time.Millisecond)).Round(time.Millisecond)
	duration := ms(1000 + 2500*s.Float64())
	return []experiment.Step{
		{Time: at, Action: "halt", Share: roundToMilli(0.3 + 0.7*s.Float64()), Duration: duration},
		{Time: at, Action: "halt", Server: "origin", Duration: duration},
	}
}

// soakServerFault draws a fault of caches.
func (s sampler) soakServerFault(x *experiment.Experiment) experiment.Step {
	step := experiment.Step{
		Action: soakServerFaults[s.IntN(len(soakServerFaults))],
		Time:   tomlfile.Duration(soakFirstFault + time.Duration(s.Int64N(int64(soakLastFault-soakFirstFault)))).Round(time.Millisecond),
		Server: fmt.Sprint("box-", s.IntN(x.CacheCount())), Duration: ms(300 + 2700*s.Float64()),
	}
	if s.IntN(2) == 0 {
		step.Server, step.Share = "", roundToMilli(0.2+0.3*s.Float64())
	}
	switch step.Action {
	case "errors", "resets", "half_answers", "spoilt", "lost_answers":
		step.Value = roundToMilli(0.05 + 0.4*s.Float64())
	case "slow":
		step.Value = 30 // longer than an attempt may be silent
	case "replace", "reset":
		step.Duration = 0
	}
	return step
}

// soakSystemFault draws a fault of the discovery service or of clocks.
func (s sampler) soakSystemFault() experiment.Step {
	step := experiment.Step{
		Action:   soakSystemFaults[s.IntN(len(soakSystemFaults))],
		Time:     tomlfile.Duration(soakFirstFault + time.Duration(s.Int64N(int64(soakLastFault-soakFirstFault)))).Round(time.Millisecond),
		Duration: ms(500 + 2500*s.Float64()),
	}
	switch step.Action {
	case "discovery_late":
		step.Value = 300 + 2000*s.Float64()
	case "server_clocks":
		step.Value, step.Duration = []float64{3.6e6, -3.6e6, 40_000, -40_000}[s.IntN(4)], 0
	case "discovery_moves", "discovery_anew":
		step.Duration = 0
	}
	return step
}
