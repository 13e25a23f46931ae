package model

// slots is how many pieces a window is counted in.
const slots = 24

// pressure is the work that was sent within a window that slides, and the part of it that came with a mark.
type pressure struct {
	window float64 // ms
	no     [slots]int64
	sent   [slots]float64
	marked [slots]float64
}

func newPressure(window float64) pressure {
	p := pressure{window: window}
	for i := range p.no {
		p.no[i] = -1
	}
	return p
}

// add counts work, in ms of a core, and returns what the window holds now.
func (p *pressure) add(now, work float64, mark bool) (sent, marked float64) {
	no := int64(now / p.window * slots)
	at := int(no % slots)
	if p.no[at] != no {
		p.no[at], p.sent[at], p.marked[at] = no, 0, 0
	}
	p.sent[at] += work
	if mark {
		p.marked[at] += work
	}
	for i := range p.no {
		if p.no[i] > no-slots {
			sent += p.sent[i]
			marked += p.marked[i]
		}
	}
	return sent, marked
}
