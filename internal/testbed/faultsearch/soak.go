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

// PCG streams of soak runs, of their operators' actions, of their system call faults, of their clients that write bursts, of duplicate
// responses, of stalls and of pauses. They keep the random numbers of each independent of others with the same seed.
const (
	soakStream      = 37
	operationStream = 38
	syscallStream   = 39
	burstStream     = 40
	duplicateStream = 41
	stallStream     = 42
	pauseStream     = 43
)

// Sizes and times of a soak run. Several runs with real processes share a machine.
const (
	soakSettle          = 1500 * time.Millisecond
	soakLength          = 9 * time.Second
	soakFirstFault      = 300 * time.Millisecond
	soakLastFault       = 5500 * time.Millisecond
	soakPause           = 150 * time.Millisecond // the longest pause of a process that the protocol allows
	soakKeys            = 200
	soakValueBytes      = 80
	maxRestartTime      = 4 * time.Second // upper bound on a stop and the start after it
	standbyDuration     = 4800 * time.Millisecond
	lastStandby         = 1500 * time.Millisecond // latest start of a standby, so that it ends within the run
	lastTakeover        = 4500 * time.Millisecond
	originFailureShare  = 0.3
	floodConnections    = 300                   // more connections than a node has descriptors
	successorStartup    = 80 * time.Millisecond // approximate time from a successor's start until it serves
	maxBurstClients     = 2                     // for each node
	maxDuplicateDelayMs = 18                    // "some milliseconds" (the operators' page of the standing test), with some for the fakes' own timers
	operationsOdds      = 3                     // one in this many runs has operations beyond stopping nodes

	minLargeValueBytes, maxLargeValueBytes = 66_000, 160_000
	largeValueLoadDivisor                  = 3
	maxLargeValueClients                   = 3 // persistent clients for each node
	maxStallPauseMs                        = 1500
)

// signalPauses are the possible intervals between two signals to a node.
var signalPauses = []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond}

// soakServerFaults and soakSystemFaults are the faults that can occur while nodes are signalled. A fault listed twice is twice as likely.
var (
	soakServerFaults = []string{"kill", "replace", "drain", "halt", "halt", "slow", "reset", "refuse", "cut", "errors", "resets", "half_answers", "spoilt", "lost_answers"}
	soakSystemFaults = []string{"discovery_down", "discovery_silent", "discovery_late", "discovery_moves", "discovery_anew", "server_clocks"}
)

// GenerateSoak returns the soak run that a seed determines: a small fleet whose nodes are stopped, started, signalled repeatedly and paused
// while servers and the discovery service have faults. Clients keep using their connections until these end. The run has to follow the
// rules of package invariants and has no other expectations.
func GenerateSoak(seed uint64) (*experiment.Experiment, error) {
	s := sampler{rand.New(rand.NewPCG(seed, soakStream))}
	x := &experiment.Experiment{
		Name: fmt.Sprint("soak-", seed), About: "A soak run.", Seed: seed,
		Settle: tomlfile.Duration(soakSettle), Length: tomlfile.Duration(soakLength),
	}
	s.soakFleet(x)
	bursts := sampler{rand.New(rand.NewPCG(seed, burstStream))}
	x.Load.BurstClients = bursts.IntN(maxBurstClients + 1)
	operations := sampler{rand.New(rand.NewPCG(seed, operationStream))}
	hasOperations := operations.IntN(operationsOdds) == 0
	for node := range x.Nodes.Count {
		if hasOperations {
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
	duplicates := sampler{rand.New(rand.NewPCG(seed, duplicateStream))}
	duplicates.soakDuplicates(x)
	stalls := sampler{rand.New(rand.NewPCG(seed, stallStream))}
	stalls.soakStalls(x)
	pauses := sampler{rand.New(rand.NewPCG(seed, pauseStream))}
	pauses.soakPausedResponses(x)
	slices.SortStableFunc(x.Steps, func(a, b experiment.Step) int { return cmp.Compare(a.Time, b.Time) })
	return normalize(x)
}

// soakFaultPlans are system call faults that can be injected into soak runs, in the format of syscalltrace.ParseFaultPlan. They are errors
// that Linux documents for sockets, injected at random or for short periods.
var soakFaultPlans = []string{
	"calls=accept,errno=ECONNABORTED,share=0.05",
	"calls=accept,errno=ENFILE,from=2s,for=300ms,every=2s",
	"calls=accept,errno=ENOBUFS,share=0.05",
	"calls=connect+socket,errno=ENOBUFS,share=0.05",
	"calls=connect,errno=EADDRNOTAVAIL,from=2s,for=700ms,every=2s",
	"calls=socket,errno=EMFILE,from=2s,for=700ms,every=2s",
	"calls=connect,errno=ENETUNREACH,from=2s,for=700ms,every=2s",
	"calls=connect+socket,errno=ENFILE,for=400ms,every=2s", // from the start of the process
	"calls=open,errno=EMFILE,path=node-,for=300ms,every=1s",
	"calls=read+write,errno=short,share=0.2",
	"calls=read+write,errno=EINTR,share=0.05",
	"calls=wait,errno=EINTR,share=0.05",
	"calls=server-read,errno=ETIMEDOUT,share=0.005",
	"calls=server-read,errno=EHOSTUNREACH,share=0.005",
	"calls=server-write,errno=ENOBUFS,share=0.01",
}

// SoakFaultPlan returns the system call fault plan that a seed determines.
func SoakFaultPlan(seed uint64) string {
	s := sampler{rand.New(rand.NewPCG(seed, syscallStream))}
	return fmt.Sprintf("%s,seed=%d", soakFaultPlans[s.IntN(len(soakFaultPlans))], seed)
}

// soakFleet draws the fleet, the request classes and the load.
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

// soakClasses draws request classes that cover each effect. Timeouts are short in two of three runs.
func (s sampler) soakClasses() []experiment.ClassConfig {
	maxTimeoutMs := []float64{350, 800, 2500}[s.IntN(3)]
	class := func(name string, share float64, effect string, write bool) experiment.ClassConfig {
		timeout := maxTimeoutMs * (0.6 + 0.4*s.Float64())
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

// soakStops draws, for one node, a stop or kill with a restart. It may add other signals, pauses and a flood of connections around it.
func (s sampler) soakStops(x *experiment.Experiment, node int) {
	at := soakFirstFault + time.Duration(s.Int64N(int64(soakLastFault-soakFirstFault)))
	addStep := func(action string, at time.Duration, value float64, delay time.Duration) {
		x.Steps = append(x.Steps, experiment.Step{
			Time: tomlfile.Duration(at).Round(time.Millisecond), Action: action, Node: &node, Value: value, Delay: tomlfile.Duration(delay),
		})
	}
	for range s.IntN(3) { // up to 700 ms before the stop
		addStep([]string{"hangup_node", "spoil_node"}[s.IntN(2)], max(soakFirstFault, at-signalPauses[s.IntN(len(signalPauses))]), 0, 0)
	}
	if s.IntN(4) == 0 {
		addStep("crowd_node", max(soakFirstFault, at-300*time.Millisecond), floodConnections, maxRestartTime)
	}
	if s.IntN(5) == 0 { // killed instead of stopped, then started again
		addStep("kill_node", at, 0, 0)
		addStep("start_node", at+50*time.Millisecond, 0, 0)
		return
	}
	if s.IntN(2) == 0 {
		x.Steps = append(x.Steps, s.soakServerHang(at)...)
	}
	addStep("stop_node", at, 0, 0)
	for range s.IntN(3) {
		addStep("hangup_node", at+signalPauses[s.IntN(len(signalPauses))], 0, 0)
	}
	for _, pauseAt := range s.soakPauses(at, time.Second) {
		addStep("hold_node", pauseAt, 0, soakPause)
	}
	addStep("start_node", at+time.Millisecond, 0, 0) // takes effect once the node has stopped
}

// soakOperations draws operations on one node: either up to three hot restarts or a period on standby, together with reloads of changed or
// invalid settings, pauses, exclusions of servers and a flood of connections.
func (s sampler) soakOperations(x *experiment.Experiment, node int) {
	addStep := func(action string, at time.Duration, duration tomlfile.Duration) *experiment.Step {
		x.Steps = append(x.Steps, experiment.Step{Time: tomlfile.Duration(at).Round(time.Millisecond), Action: action, Node: &node, Duration: duration})
		return &x.Steps[len(x.Steps)-1]
	}
	randomBetween := func(from, to time.Duration) time.Duration { return from + time.Duration(s.Int64N(int64(to-from))) }
	at := randomBetween(soakFirstFault, lastTakeover)
	if s.IntN(3) == 0 {
		at = randomBetween(soakFirstFault, lastStandby)
		addStep("standby_node", at, tomlfile.Duration(standbyDuration))
	} else {
		for i := range 1 + s.IntN(3) { // each waits for the one before to complete
			addStep("replace_node", at+time.Duration(i)*signalPauses[s.IntN(len(signalPauses))], 0)
		}
	}
	if s.IntN(2) == 0 {
		retuneAt := max(soakFirstFault, at+randomBetween(-time.Second, time.Second))
		addStep("retune_node", retuneAt, ms(1500+2000*s.Float64()))
		x.Steps = append(x.Steps, experiment.Step{ // makes writes fail that may be retried before the reload and not after it
			Time: tomlfile.Duration(retuneAt).Round(time.Millisecond), Action: []string{"errors", "resets"}[s.IntN(2)], Server: "origin",
			Value: originFailureShare, Duration: tomlfile.Duration(standbyDuration),
		})
	}
	for range s.IntN(3) {
		addStep([]string{"hangup_node", "spoil_node"}[s.IntN(2)], max(soakFirstFault, at+randomBetween(-time.Second, time.Second)), 0)
	}
	for _, pauseAt := range s.soakPauses(at, []time.Duration{successorStartup, time.Second}[s.IntN(2)]) {
		addStep("hold_node", pauseAt, 0).Delay = tomlfile.Duration(soakPause)
	}
	for range s.IntN(3) {
		step := addStep("exclude", max(soakFirstFault, at+randomBetween(-2*time.Second, time.Second)), ms(1000+3000*s.Float64()))
		step.Server = fmt.Sprint("box-", s.IntN(x.CacheCount()))
	}
	if s.IntN(3) == 0 {
		step := addStep("crowd_node", max(soakFirstFault, at+randomBetween(-time.Second, successorStartup)), 0)
		step.Value, step.Delay = floodConnections, tomlfile.Duration(maxRestartTime)
	}
}

// soakPauses draws the times of at most two pauses of a node within a period. The node runs for at least soakPause between them, because
// two consecutive pauses would amount to a longer one than the protocol allows.
func (s sampler) soakPauses(from time.Duration, within time.Duration) (times []time.Duration) {
	for range s.IntN(3) {
		times = append(times, from+time.Duration(s.Int64N(int64(within))))
	}
	slices.Sort(times)
	if len(times) == 2 {
		times[1] = max(times[1], times[0]+2*soakPause)
	}
	return times
}

// soakServerHang makes a share of the caches and the origin hang throughout a stop.
func (s sampler) soakServerHang(stopAt time.Duration) []experiment.Step {
	at := tomlfile.Duration(max(soakFirstFault, stopAt-200*time.Millisecond)).Round(time.Millisecond)
	duration := ms(1000 + 2500*s.Float64())
	return []experiment.Step{
		{Time: at, Action: "halt", Share: roundToMilli(0.3 + 0.7*s.Float64()), Duration: duration},
		{Time: at, Action: "halt", Server: "origin", Duration: duration},
	}
}

// soakServerFault draws a fault of one cache or of a share of the caches.
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
		step.Value = 30 // slows responses beyond the timeout of an attempt
	case "replace", "reset":
		step.Duration = 0
	}
	return step
}

// soakSystemFault draws a fault of the discovery service or of the servers' clocks.
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
