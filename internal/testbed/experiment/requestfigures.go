package experiment

import (
	"slices"
	"sort"

	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/invariants"
)

// eachRequest calls f for the requests that were due in a window.
func (r *Run) eachRequest(w measureWindow, f func(*Request)) {
	first := sort.Search(len(r.Requests), func(i int) bool { return r.Requests[i].DueMs >= w.fromMs })
	for i := first; i < len(r.Requests) && r.Requests[i].DueMs < w.toMs; i++ {
		if request := &r.Requests[i]; w.includesClass(request.Class) {
			f(request)
		}
	}
}

// requestCount returns the number of requests that were due in a window.
func (r *Run) requestCount(w measureWindow) (count int) {
	r.eachRequest(w, func(*Request) { count++ })
	return count
}

// objectiveShare returns the share of the priority weight of all requests that belongs to requests completed within their latency objective.
func (r *Run) objectiveShare(w measureWindow) float64 {
	total, met := 0.0, 0.0
	r.eachRequest(w, func(request *Request) {
		weight := r.Experiment.Classes[request.Class].PriorityWeight
		if total += weight; request.MetObjective {
			met += weight
		}
	})
	return ratioOrZero(met, total)
}

// outcomeShare measures the share of requests with an outcome.
func outcomeShare(outcome invariants.Outcome) func(*Run, measureWindow) float64 {
	return func(r *Run, w measureWindow) float64 {
		total, matching := 0, 0
		r.eachRequest(w, func(request *Request) {
			if total++; request.Outcome == outcome {
				matching++
			}
		})
		return ratioOrZero(float64(matching), float64(total))
	}
}

// latencyQuantile measures a quantile of the time from due to response of completed requests, in ms.
func latencyQuantile(percent float64) func(*Run, measureWindow) float64 {
	return func(r *Run, w measureWindow) float64 {
		latencies := NewLatencies()
		r.eachRequest(w, func(request *Request) {
			if request.Outcome == invariants.Completed {
				latencies.Record(request.DoneMs - request.DueMs)
			}
		})
		return latencies.Quantile(percent)
	}
}

// attemptsPerRequest returns the mean number of attempts that clients made for a request.
func (r *Run) attemptsPerRequest(w measureWindow) float64 {
	requests, attempts := 0, 0
	r.eachRequest(w, func(request *Request) { requests, attempts = requests+1, attempts+request.Attempts })
	return ratioOrZero(float64(attempts), float64(requests))
}

// executionsPerRequest returns the mean number of executions at servers for a request.
func (r *Run) executionsPerRequest(w measureWindow) float64 {
	executions := r.countExecutions(w, func(*ExecutionRecord) bool { return true })
	return ratioOrZero(float64(executions), float64(r.requestCount(w)))
}

// wrongKeysAfterDetection counts wrong responses that a node could have avoided: the node sent the request to a server after it had
// detected a duplicate response of the same server.
func (r *Run) wrongKeysAfterDetection(measureWindow) float64 {
	count := 0
	for _, wrong := range r.WrongKeyResponses {
		if slices.ContainsFunc(r.DuplicateDetections, func(d fakes.DuplicateDetection) bool {
			return d.Node == wrong.Node && d.Server == wrong.Server && d.AtMs < wrong.SentAt
		}) {
			count++
		}
	}
	return float64(count)
}
